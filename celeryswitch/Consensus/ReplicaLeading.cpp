// The leader's side of Replica: replication, commits, reads and changes of the group.
#include "celeryswitch/Consensus/Replica.h"
#include "celeryswitch/Core/Assert.h"
#include "celeryswitch/Network/MessageCodec.h"

namespace celeryswitch::Consensus {

using Messages::AppendReply;
using Messages::AppendRequest;
using Messages::EntryKind;
using Messages::InstallSnapshot;
using Messages::InstallSnapshotReply;
using Messages::ReplicaInfo;

void Replica::beginLeadership()
{
    this->leader = this->settings.address;
    this->leadership.emplace(this->settings.id, this->replicaLog.lastIndex() + 1);
    this->leadership->groupChanged(this->now, this->replicaLog.group(), this->replicaLog.lastIndex() + 1);
    this->leadership->beginRound(this->now);
    this->heartbeatDue = this->now + this->settings.heartbeatInterval;
    this->appendAsLeader(EntryKind::Empty, "");
}

void Replica::endLeadership()
{
    for (std::uint64_t token : this->leadership->takeAllReads())
        this->actions.notLeader.push_back(token);
    if (this->leadership->replacement)
        this->actions.notLeader.push_back(this->leadership->replacement->token);
    this->leadership.reset();
    this->leader.clear();
    this->actions.hasLostLeadership = true;
}

LogIndex Replica::appendAsLeader(EntryKind kind, std::string payload)
{
    LogEntry entry { this->replicaLog.lastIndex() + 1, this->currentTerm, kind, std::move(payload) };
    this->replicaLog.append(entry);
    this->write(SaveEntries { { std::move(entry) } });
    if (kind == EntryKind::Group)
        this->leadership->groupChanged(this->now, this->replicaLog.group(), this->replicaLog.lastIndex() + 1);
    this->sendToAll();
    return this->replicaLog.lastIndex();
}

void Replica::appendGroup(const ReplicaGroup& group)
{
    this->appendAsLeader(EntryKind::Group, Network::encodeMessage(group));
}

void Replica::broadcast()
{
    this->leadership->beginRound(this->now);
    this->heartbeatDue = this->now + this->settings.heartbeatInterval;
    this->sendToAll();
}

void Replica::sendToAll()
{
    const ReplicaGroup& group = this->replicaLog.group();
    for (const auto* members : { &group.voters, &group.learners }) {
        for (const ReplicaInfo& info : *members) {
            if (Progress* progress = this->leadership->find(info.id))
                this->sendTo(info, *progress);
        }
    }
}

void Replica::sendTo(const ReplicaInfo& info, Progress& progress)
{
    if (progress.transfer || progress.next <= this->replicaLog.snapshot()->lastIndex) {
        this->sendSnapshotPart(info, progress);
        return;
    }
    AppendRequest request { this->settings.id, this->settings.address, this->currentTerm, progress.next - 1,
        *this->replicaLog.termAt(progress.next - 1), this->committedIndex, this->leadership->round(), {} };
    if (progress.next <= this->replicaLog.lastIndex()
        && progress.next - progress.match <= this->settings.unconfirmedEntriesLimit) {
        request.entries = this->replicaLog.slice(progress.next, this->settings.messageBytes);
        progress.next += request.entries.size();
    }
    this->actions.messages.push_back({ info, std::move(request) });
}

void Replica::sendSnapshotPart(const ReplicaInfo& info, Progress& progress)
{
    if (!progress.transfer) {
        const SnapshotPointer& snapshot = this->replicaLog.snapshot();
        progress.transfer = std::make_shared<const std::string>(Network::encodeMessage(*snapshot));
        progress.transferIndex = snapshot->lastIndex;
        progress.transferOffset = 0;
        progress.transferSentAt = {};
    }
    // A part is large and is sent with each broadcast otherwise; an unanswered one is repeated after two heartbeats.
    if (this->now - progress.transferSentAt < 2 * this->settings.heartbeatInterval)
        return;
    progress.transferSentAt = this->now;
    this->actions.messages.push_back({ info,
        InstallSnapshot { this->settings.id, this->settings.address, this->currentTerm, this->leadership->round(),
            progress.transferIndex, progress.transferOffset, progress.transfer->size(),
            progress.transfer->substr(progress.transferOffset, this->settings.messageBytes) } });
}

Progress* Replica::answeredProgress(Term term, const ReplicaId& from, std::uint64_t round)
{
    if (term > this->currentTerm) {
        this->adoptTerm(term, "");
        return nullptr;
    }
    Progress* progress = this->leadership ? this->leadership->find(from) : nullptr;
    if (!progress || term != this->currentTerm)
        return nullptr;
    this->leadership->answered(*progress, round);
    return progress;
}

void Replica::receive(const AppendReply& reply)
{
    Progress* progress = this->answeredProgress(reply.term, reply.from, reply.round);
    if (!progress)
        return;
    if (reply.isAccepted) {
        progress->match = std::max(progress->match, reply.matchIndex);
        progress->next = std::max(progress->next, progress->match + 1);
    } else if (reply.matchIndex < progress->match) {
        // Overtaken by a newer answer. Sending at once would also never end with a replica whose disk was set back.
        return;
    } else {
        progress->next = std::min(reply.matchIndex, this->replicaLog.lastIndex()) + 1;
    }
    if (progress->transfer)
        return;
    const bool hasMore = progress->next <= this->replicaLog.lastIndex();
    if (!reply.isAccepted || hasMore) {
        const ReplicaGroup& group = this->replicaLog.group();
        for (const auto* members : { &group.voters, &group.learners }) {
            for (const ReplicaInfo& info : *members) {
                if (info.id == reply.from)
                    this->sendTo(info, *progress);
            }
        }
    }
}

void Replica::receive(const InstallSnapshotReply& reply)
{
    Progress* progress = this->answeredProgress(reply.term, reply.from, reply.round);
    if (!progress)
        return;
    if (!progress->transfer || reply.lastIndex != progress->transferIndex)
        return;
    if (reply.isInstalled) {
        progress->match = std::max(progress->match, reply.lastIndex);
        progress->next = progress->match + 1;
        progress->transfer.reset();
    } else {
        progress->transferOffset = std::min<std::uint64_t>(reply.receivedBytes, progress->transfer->size());
        progress->transferSentAt = {};
    }
    const ReplicaGroup& group = this->replicaLog.group();
    for (const auto* members : { &group.voters, &group.learners }) {
        for (const ReplicaInfo& info : *members) {
            if (info.id == reply.from)
                this->sendTo(info, *progress);
        }
    }
}

void Replica::advanceAsLeader()
{
    const ReplicaGroup group = this->replicaLog.group();
    const LogIndex ownIndex
        = this->settings.isSyncedBeforeAcknowledged ? this->durable.value() : this->replicaLog.lastIndex();
    const LogIndex index = this->leadership->majorityIndex(group, ownIndex);
    // An entry of an earlier term that a majority has can still be replaced until one of this term follows it.
    if (index > this->committedIndex
        && (!this->settings.isCommitLimitedToOwnTerm || this->replicaLog.termAt(index) == this->currentTerm))
        this->commitTo(index);
    if (this->isLeaderReady()) {
        for (std::uint64_t token : this->leadership->takeReads(this->leadership->confirmedRound(group)))
            this->actions.confirmedReads.push_back(token);
    }
    // While a broadcast is not confirmed, new reads wait for the next one, which then serves them together.
    if (this->leadership->isRoundWanted() && this->leadership->confirmedRound(group) == this->leadership->round()) {
        this->broadcast();
        if (group.voters.size() == 1 && this->isLeaderReady()) {
            for (std::uint64_t token : this->leadership->takeReads(this->leadership->confirmedRound(group)))
                this->actions.confirmedReads.push_back(token);
        }
    }
    this->continueReplacement();
    const bool isGroupCommitted = this->replicaLog.groupIndex() <= this->committedIndex;
    if (this->leadership && isGroupCommitted && !this->replicaLog.group().hasVoter(this->settings.id))
        this->fire(RoleEvent::GroupChanged);
}

void Replica::continueReplacement()
{
    const std::optional<Leadership::Replacement>& wanted = this->leadership->replacement;
    if (!wanted || !this->isLeaderReady())
        return;
    // Two changes under way at once could give two majorities without a common voter.
    if (this->settings.isGroupChangeSerialized && this->replicaLog.groupIndex() > this->committedIndex)
        return;
    ReplicaGroup group = this->replicaLog.group();
    const auto isReplica = [](const ReplicaId& id) { return [&id](const ReplicaInfo& info) { return info.id == id; }; };
    const ReplicaInfo replacement = wanted->replacement;
    if (!replacement.id.empty() && !group.hasVoter(replacement.id)) {
        if (!group.hasLearner(replacement.id)) {
            group.learners.push_back(replacement);
            this->appendGroup(group);
            return;
        }
        // A voter that still has to catch up would hold up every commit of the larger group.
        const Progress* progress = this->leadership->find(replacement.id);
        if (!progress || progress->match < this->committedIndex)
            return;
        std::erase_if(group.learners, isReplica(replacement.id));
        group.voters.push_back(replacement);
        this->appendGroup(group);
        if (this->settings.isGroupChangeSerialized)
            return;
    }
    if (group.hasVoter(wanted->oldId) || group.hasLearner(wanted->oldId)) {
        std::erase_if(group.voters, isReplica(wanted->oldId));
        std::erase_if(group.learners, isReplica(wanted->oldId));
        this->appendGroup(group);
        return;
    }
    if (this->replicaLog.groupIndex() <= this->committedIndex) {
        this->actions.replaced.push_back(wanted->token);
        this->leadership->replacement.reset();
    }
}

}
