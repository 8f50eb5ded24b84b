// Replication, commits, reads and group changes in Replica, as leader.
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
    this->electionsInARow = 0;
    this->currentLeaderAddress = this->settings.address;
    this->leaderState.emplace(this->settings.id, this->replicaLog.lastIndex() + 1);
    this->leaderState->updateGroup(this->now, this->replicaLog.group(), this->replicaLog.lastIndex() + 1);
    this->leaderState->beginRound(this->now);
    this->nextHeartbeat = this->now + this->settings.heartbeatInterval;
    this->appendAsLeader(EntryKind::Empty, "");
}

void Replica::endLeadership()
{
    for (std::uint64_t token : this->leaderState->takeAllReads())
        this->actions.notLeader.push_back(token);
    if (this->leaderState->replacement)
        this->actions.notLeader.push_back(this->leaderState->replacement->token);
    this->leaderState.reset();
    this->currentLeaderAddress.clear();
    this->actions.hasLostLeadership = true;
}

LogIndex Replica::appendAsLeader(EntryKind kind, std::string payload)
{
    LogEntry entry { this->replicaLog.lastIndex() + 1, this->currentTerm, kind, std::move(payload) };
    this->replicaLog.append(entry);
    this->write(SaveEntries { { std::move(entry) } });
    if (kind == EntryKind::Group)
        this->leaderState->updateGroup(this->now, this->replicaLog.group(), this->replicaLog.lastIndex() + 1);
    this->sendToAll();
    return this->replicaLog.lastIndex();
}

void Replica::appendGroup(const ReplicaGroup& group)
{
    this->appendAsLeader(EntryKind::Group, Network::encodeMessage(group));
}

void Replica::broadcast()
{
    this->leaderState->beginRound(this->now);
    this->nextHeartbeat = this->now + this->settings.heartbeatInterval;
    this->sendToAll();
}

void Replica::sendToAll()
{
    const ReplicaGroup& group = this->replicaLog.group();
    for (const auto* members : { &group.voters, &group.learners }) {
        for (const ReplicaInfo& info : *members) {
            if (Progress* progress = this->leaderState->find(info.id))
                this->sendTo(info, *progress);
        }
    }
}

void Replica::sendTo(const ReplicaInfo& info, Progress& progress)
{
    if (progress.encodedSnapshot || progress.nextIndex <= this->replicaLog.snapshot()->lastIndex) {
        this->sendSnapshotChunk(info, progress);
        return;
    }
    AppendRequest request { this->settings.id, this->settings.address, this->currentTerm, progress.nextIndex - 1,
        *this->replicaLog.termAt(progress.nextIndex - 1), this->committedIndex, this->leaderState->round(), {} };
    if (progress.nextIndex <= this->replicaLog.lastIndex()
        && progress.nextIndex - progress.matchIndex <= this->settings.unconfirmedEntriesLimit) {
        request.entries = this->replicaLog.slice(progress.nextIndex, this->settings.messageBytes);
        progress.nextIndex += request.entries.size();
    }
    this->actions.messages.push_back({ info, std::move(request) });
}

void Replica::sendSnapshotChunk(const ReplicaInfo& info, Progress& progress)
{
    if (!progress.encodedSnapshot) {
        const SnapshotPointer& snapshot = this->replicaLog.snapshot();
        progress.encodedSnapshot = std::make_shared<const std::string>(Network::encodeMessage(*snapshot));
        progress.snapshotIndex = snapshot->lastIndex;
        progress.snapshotOffset = 0;
        progress.chunkSentAt = {};
    }
    // Limits resending: a chunk is large and would otherwise be sent with each broadcast. A chunk without a reply is
    // sent again after two heartbeat intervals.
    if (this->now - progress.chunkSentAt < 2 * this->settings.heartbeatInterval)
        return;
    progress.chunkSentAt = this->now;
    this->actions.messages.push_back({ info,
        InstallSnapshot { this->settings.id, this->settings.address, this->currentTerm, this->leaderState->round(),
            progress.snapshotIndex, progress.snapshotOffset, progress.encodedSnapshot->size(),
            progress.encodedSnapshot->substr(progress.snapshotOffset, this->settings.messageBytes) } });
}

Progress* Replica::recordReply(Term term, const ReplicaId& from, std::uint64_t round)
{
    if (term > this->currentTerm) {
        this->adoptTerm(term, "");
        return nullptr;
    }
    Progress* progress = this->leaderState ? this->leaderState->find(from) : nullptr;
    if (!progress || term != this->currentTerm)
        return nullptr;
    this->leaderState->recordReply(*progress, round);
    return progress;
}

void Replica::receive(const AppendReply& reply)
{
    Progress* progress = this->recordReply(reply.term, reply.from, reply.round);
    if (!progress)
        return;
    if (reply.isAccepted) {
        progress->matchIndex = std::max(progress->matchIndex, reply.matchIndex);
        progress->nextIndex = std::max(progress->nextIndex, progress->matchIndex + 1);
    } else if (reply.matchIndex < progress->matchIndex) {
        // Stale rejection: a later reply was processed first. Resending here would also never end if the replica's disk
        // was reverted to an older state.
        return;
    } else {
        progress->nextIndex = std::min(reply.matchIndex, this->replicaLog.lastIndex()) + 1;
    }
    if (progress->encodedSnapshot)
        return;
    const bool hasMore = progress->nextIndex <= this->replicaLog.lastIndex();
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
    Progress* progress = this->recordReply(reply.term, reply.from, reply.round);
    if (!progress)
        return;
    if (!progress->encodedSnapshot || reply.lastIndex != progress->snapshotIndex)
        return;
    if (reply.isInstalled) {
        progress->matchIndex = std::max(progress->matchIndex, reply.lastIndex);
        progress->nextIndex = progress->matchIndex + 1;
        progress->encodedSnapshot.reset();
    } else {
        progress->snapshotOffset = std::min<std::uint64_t>(reply.receivedBytes, progress->encodedSnapshot->size());
        progress->chunkSentAt = {};
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
        = this->settings.isSyncedBeforeAcknowledged ? this->durableIndex.value() : this->replicaLog.lastIndex();
    const LogIndex index = this->leaderState->majorityIndex(group, ownIndex);
    // An entry of an earlier term can still be overwritten, even on a majority, until an entry of this term is
    // committed.
    if (index > this->committedIndex
        && (!this->settings.isCommitLimitedToOwnTerm || this->replicaLog.termAt(index) == this->currentTerm))
        this->advanceCommitIndex(index);
    if (this->isLeaderReady()) {
        for (std::uint64_t token : this->leaderState->takeConfirmedReads(this->leaderState->confirmedRound(group)))
            this->actions.confirmedReads.push_back(token);
    }
    // Batches reads: while a round is unconfirmed, new reads wait for the next round.
    if (this->leaderState->isNewRoundNeeded()
        && this->leaderState->confirmedRound(group) == this->leaderState->round()) {
        this->broadcast();
        if (group.voters.size() == 1 && this->isLeaderReady()) {
            for (std::uint64_t token : this->leaderState->takeConfirmedReads(this->leaderState->confirmedRound(group)))
                this->actions.confirmedReads.push_back(token);
        }
    }
    this->continueReplacement();
    const bool isGroupCommitted = this->replicaLog.groupIndex() <= this->committedIndex;
    if (this->leaderState && isGroupCommitted && !this->replicaLog.group().hasVoter(this->settings.id))
        this->fire(RoleEvent::GroupChanged);
}

void Replica::continueReplacement()
{
    const std::optional<LeaderState::Replacement>& requested = this->leaderState->replacement;
    if (!requested || !this->isLeaderReady())
        return;
    // Concurrent group changes could result in two majorities without a common voter.
    if (this->settings.isGroupChangeSerialized && this->replicaLog.groupIndex() > this->committedIndex)
        return;
    ReplicaGroup group = this->replicaLog.group();
    const auto isReplica = [](const ReplicaId& id) { return [&id](const ReplicaInfo& info) { return info.id == id; }; };
    const ReplicaInfo replacement = requested->replacement;
    if (!replacement.id.empty() && !group.hasVoter(replacement.id)) {
        if (!group.hasLearner(replacement.id)) {
            group.learners.push_back(replacement);
            this->appendGroup(group);
            return;
        }
        // A voter that lags behind would delay every commit of the larger group, so a learner is promoted only once it
        // has caught up.
        const Progress* progress = this->leaderState->find(replacement.id);
        if (!progress || progress->matchIndex < this->committedIndex)
            return;
        std::erase_if(group.learners, isReplica(replacement.id));
        group.voters.push_back(replacement);
        this->appendGroup(group);
        if (this->settings.isGroupChangeSerialized)
            return;
    }
    if (group.hasVoter(requested->oldId) || group.hasLearner(requested->oldId)) {
        std::erase_if(group.voters, isReplica(requested->oldId));
        std::erase_if(group.learners, isReplica(requested->oldId));
        this->appendGroup(group);
        return;
    }
    if (this->replicaLog.groupIndex() <= this->committedIndex) {
        this->actions.completedReplacements.push_back(requested->token);
        this->leaderState->replacement.reset();
    }
}

}
