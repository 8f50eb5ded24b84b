// Replication in Replica, as follower.
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
    this->currentLeaderAddress = address;
    this->leaderContactTime = this->now;
    this->electionsInARow = 0;
}

void Replica::receive(AppendRequest& request)
{
    AppendReply reply { this->settings.id, this->currentTerm, request.round, false, 0 };
    if (request.term < this->currentTerm) {
        this->sendReply(request.from, reply);
        return;
    }
    if (request.term > this->currentTerm)
        this->adoptTerm(request.term, "");
    reply.term = this->currentTerm;
    this->followLeader(request.leaderAddress);
    const std::optional<Term> knownTerm = this->replicaLog.termAt(request.previousIndex);
    const bool isBeforeSnapshot = request.previousIndex < this->replicaLog.snapshot()->lastIndex;
    if (!isBeforeSnapshot && knownTerm != request.previousTerm) {
        // Committed entries are identical on all replicas, so the leader can continue from the commit index.
        reply.matchIndex = knownTerm ? this->committedIndex : this->replicaLog.lastIndex();
        this->sendReply(request.from, reply);
        return;
    }
    const LogIndex lastSentIndex = request.previousIndex + request.entries.size();
    const bool hasEntries = !request.entries.empty();
    if (!this->storeEntries(request.entries))
        return;
    this->advanceCommitIndex(std::max(this->committedIndex, std::min(request.commitIndex, lastSentIndex)));
    // An entry of the leader's term comes after all that earlier leaders have committed.
    this->hasCaughtUp = this->hasCaughtUp
        || (this->committedIndex >= request.commitIndex
            && this->replicaLog.termAt(this->committedIndex) == this->currentTerm);
    reply.isAccepted = true;
    reply.matchIndex = lastSentIndex;
    if (!hasEntries && this->settings.isSyncedBeforeAcknowledged)
        reply.matchIndex = std::min(lastSentIndex, this->durableIndex.value());
    this->replyAfterSync(request.from, reply, hasEntries && this->settings.isSyncedBeforeAcknowledged);
}

bool Replica::storeEntries(std::vector<LogEntry>& entries)
{
    const LogIndex previousGroupIndex = this->replicaLog.groupIndex();
    SaveEntries newEntries;
    for (LogEntry& entry : entries) {
        if (entry.index <= this->replicaLog.snapshot()->lastIndex)
            continue;
        const std::optional<Term> knownTerm = this->replicaLog.termAt(entry.index);
        if (knownTerm == entry.term)
            continue;
        if (knownTerm) {
            if (entry.index <= this->committedIndex) {
                this->handle(
                    StorageFailed { "the leader's log contradicts committed entry " + std::to_string(entry.index) });
                return false;
            }
            this->replicaLog.truncateFrom(entry.index);
            this->durableIndex.recordTruncation(entry.index);
            this->write(TruncateEntries { entry.index });
        }
        this->replicaLog.append(entry);
        newEntries.entries.push_back(std::move(entry));
    }
    if (!newEntries.entries.empty())
        this->write(std::move(newEntries));
    if (this->replicaLog.groupIndex() != previousGroupIndex)
        this->fire(RoleEvent::GroupChanged);
    return true;
}

void Replica::receive(InstallSnapshot& request)
{
    InstallSnapshotReply reply { this->settings.id, this->currentTerm, request.round, request.lastIndex, 0, false };
    if (request.term < this->currentTerm) {
        this->sendReply(request.from, reply);
        return;
    }
    if (request.term > this->currentTerm)
        this->adoptTerm(request.term, "");
    reply.term = this->currentTerm;
    this->followLeader(request.leaderAddress);
    if (request.lastIndex <= this->committedIndex) {
        reply.isInstalled = true;
        reply.receivedBytes = request.totalBytes;
        this->replyAfterSync(request.from, reply, this->settings.isSyncedBeforeAcknowledged);
        return;
    }
    const std::pair<Term, LogIndex> identity { request.term, request.lastIndex };
    if (this->incomingSnapshotId != identity) {
        this->incomingSnapshotId = identity;
        this->incomingSnapshot.clear();
    }
    if (request.offset == this->incomingSnapshot.size())
        this->incomingSnapshot += request.bytes;
    reply.receivedBytes = this->incomingSnapshot.size();
    if (this->incomingSnapshot.size() < request.totalBytes) {
        this->sendReply(request.from, reply);
        return;
    }
    Core::Result<Snapshot> decoded = decodeStored<Snapshot>(this->incomingSnapshot);
    this->incomingSnapshot.clear();
    this->incomingSnapshotId = {};
    if (!decoded)
        return;
    this->committedIndex = request.lastIndex;
    this->installSnapshot(std::make_shared<const Snapshot>(std::move(decoded).value()));
    this->actions.snapshotToRestore = this->replicaLog.snapshot();
    reply.isInstalled = true;
    this->replyAfterSync(request.from, reply, this->settings.isSyncedBeforeAcknowledged);
}

void Replica::installSnapshot(SnapshotPointer snapshot)
{
    const LogIndex previousGroupIndex = this->replicaLog.groupIndex();
    this->replicaLog.replaceSnapshot(std::move(snapshot));
    this->durableIndex.recordTruncation(this->replicaLog.lastIndex() + 1);
    const LogIndex first = this->replicaLog.snapshot()->lastIndex + 1;
    this->write(SaveSnapshot { this->replicaLog.snapshot(), this->currentTerm, this->votedFor,
        first <= this->replicaLog.lastIndex() ? this->replicaLog.slice(first, SIZE_MAX) : std::vector<LogEntry>() });
    if (this->replicaLog.groupIndex() != previousGroupIndex && !this->leaderState)
        this->fire(RoleEvent::GroupChanged);
}

}
