// The receiving side of replication in Replica.
#include "celeryswitch/Consensus/Replica.h"
#include "celeryswitch/Consensus/StoredCodec.h"
#include "celeryswitch/Core/Assert.h"

namespace celeryswitch::Consensus {

using Messages::AppendReply;
using Messages::AppendRequest;
using Messages::InstallSnapshot;
using Messages::InstallSnapshotReply;

void Replica::followLeader(const std::string& address)
{
    this->fire(RoleEvent::LeaderSeen);
    this->leader = address;
    this->leaderSeenAt = this->now;
}

void Replica::receive(AppendRequest& request)
{
    AppendReply answer { this->settings.id, this->currentTerm, request.round, false, 0 };
    if (request.term < this->currentTerm) {
        this->reply(request.from, answer);
        return;
    }
    if (request.term > this->currentTerm)
        this->adoptTerm(request.term, "");
    answer.term = this->currentTerm;
    this->followLeader(request.leaderAddress);
    const std::optional<Term> known = this->replicaLog.termAt(request.previousIndex);
    const bool isBeforeSnapshot = request.previousIndex < this->replicaLog.snapshot()->lastIndex;
    if (!isBeforeSnapshot && known != request.previousTerm) {
        // Committed entries are equal everywhere, so the leader can go on from there.
        answer.matchIndex = known ? this->committedIndex : this->replicaLog.lastIndex();
        this->reply(request.from, answer);
        return;
    }
    const LogIndex lastSent = request.previousIndex + request.entries.size();
    const bool hasEntries = !request.entries.empty();
    if (!this->storeEntries(request.entries))
        return;
    this->commitTo(std::max(this->committedIndex, std::min(request.commitIndex, lastSent)));
    answer.isAccepted = true;
    answer.matchIndex = lastSent;
    if (!hasEntries && this->settings.isSyncedBeforeAcknowledged)
        answer.matchIndex = std::min(lastSent, this->durable.value());
    this->replyOnceSynced(request.from, answer, hasEntries && this->settings.isSyncedBeforeAcknowledged);
}

bool Replica::storeEntries(std::vector<LogEntry>& entries)
{
    const LogIndex groupBefore = this->replicaLog.groupIndex();
    SaveEntries stored;
    for (LogEntry& entry : entries) {
        if (entry.index <= this->replicaLog.snapshot()->lastIndex)
            continue;
        const std::optional<Term> known = this->replicaLog.termAt(entry.index);
        if (known == entry.term)
            continue;
        if (known) {
            if (entry.index <= this->committedIndex) {
                this->handle(
                    StorageFailed { "the leader's log contradicts committed entry " + std::to_string(entry.index) });
                return false;
            }
            this->replicaLog.truncateFrom(entry.index);
            this->durable.truncated(entry.index);
            this->write(ForgetEntries { entry.index });
        }
        this->replicaLog.append(entry);
        stored.entries.push_back(std::move(entry));
    }
    if (!stored.entries.empty())
        this->write(std::move(stored));
    if (this->replicaLog.groupIndex() != groupBefore)
        this->fire(RoleEvent::GroupChanged);
    return true;
}

void Replica::receive(InstallSnapshot& request)
{
    InstallSnapshotReply answer { this->settings.id, this->currentTerm, request.round, request.lastIndex, 0, false };
    if (request.term < this->currentTerm) {
        this->reply(request.from, answer);
        return;
    }
    if (request.term > this->currentTerm)
        this->adoptTerm(request.term, "");
    answer.term = this->currentTerm;
    this->followLeader(request.leaderAddress);
    if (request.lastIndex <= this->committedIndex) {
        answer.isInstalled = true;
        answer.receivedBytes = request.totalBytes;
        this->replyOnceSynced(request.from, answer, this->settings.isSyncedBeforeAcknowledged);
        return;
    }
    const std::pair<Term, LogIndex> identity { request.term, request.lastIndex };
    if (this->incomingSnapshotOf != identity) {
        this->incomingSnapshotOf = identity;
        this->incomingSnapshot.clear();
    }
    if (request.offset == this->incomingSnapshot.size())
        this->incomingSnapshot += request.bytes;
    answer.receivedBytes = this->incomingSnapshot.size();
    if (this->incomingSnapshot.size() < request.totalBytes) {
        this->reply(request.from, answer);
        return;
    }
    Core::Result<Snapshot> decoded = decodeStored<Snapshot>(this->incomingSnapshot);
    this->incomingSnapshot.clear();
    this->incomingSnapshotOf = {};
    if (!decoded)
        return;
    this->committedIndex = request.lastIndex;
    this->installSnapshot(std::make_shared<const Snapshot>(std::move(decoded).value()));
    this->actions.restore = this->replicaLog.snapshot();
    answer.isInstalled = true;
    this->replyOnceSynced(request.from, answer, this->settings.isSyncedBeforeAcknowledged);
}

void Replica::installSnapshot(SnapshotPointer snapshot)
{
    const LogIndex groupBefore = this->replicaLog.groupIndex();
    this->replicaLog.replaceSnapshot(std::move(snapshot));
    this->durable.truncated(this->replicaLog.lastIndex() + 1);
    const LogIndex first = this->replicaLog.snapshot()->lastIndex + 1;
    this->write(SaveSnapshot { this->replicaLog.snapshot(), this->currentTerm, this->votedFor,
        first <= this->replicaLog.lastIndex() ? this->replicaLog.slice(first, SIZE_MAX) : std::vector<LogEntry>() });
    if (this->replicaLog.groupIndex() != groupBefore && !this->leadership)
        this->fire(RoleEvent::GroupChanged);
}

}
