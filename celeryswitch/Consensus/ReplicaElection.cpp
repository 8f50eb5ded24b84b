// Elections in Replica, as candidate and as voter.
#include "celeryswitch/Consensus/Replica.h"

#include <algorithm>

namespace celeryswitch::Consensus {

using Messages::VoteReply;
using Messages::VoteRequest;

void Replica::requestPreVotes()
{
    this->currentLeaderAddress.clear();
    this->grantedVotes = { this->settings.id };
    if (!this->settings.isPreVoteUsed) {
        this->fire(RoleEvent::PreVoteWon);
        return;
    }
    this->sendToVoters(VoteRequest {
        this->settings.id, this->currentTerm + 1, this->replicaLog.lastIndex(), this->replicaLog.lastTerm(), true });
    this->countVotes();
}

void Replica::requestVotes()
{
    this->grantedVotes = { this->settings.id };
    ++this->currentTerm;
    this->votedFor = this->settings.id;
    this->messagesAwaitingSync.clear();
    const std::uint32_t factor = 1U << std::min<std::uint32_t>(this->electionsInARow++, 4);
    this->restartElectionTimer(
        std::min(this->settings.candidateTimeoutMinimum * factor, this->settings.electionTimeoutMinimum),
        std::min(this->settings.candidateTimeoutMaximum * factor, this->settings.electionTimeoutMaximum));
    this->write(SaveTerm { this->currentTerm, this->votedFor });
    const VoteRequest request { this->settings.id, this->currentTerm, this->replicaLog.lastIndex(),
        this->replicaLog.lastTerm(), false };
    // Requests are sent only once this replica's own vote is synced, so no other vote can be counted before it.
    for (const Messages::ReplicaInfo& voter : this->replicaLog.group().voters) {
        if (voter.id == this->settings.id)
            continue;
        if (this->settings.isSyncedBeforeVote)
            this->messagesAwaitingSync.emplace_back(this->writtenSequence, OutgoingMessage { voter, request });
        else
            this->actions.messages.push_back({ voter, request });
    }
    if (!this->settings.isSyncedBeforeVote)
        this->countVotes();
}

void Replica::countVotes()
{
    if (this->settings.isSyncedBeforeVote && this->currentRole == ReplicaRole::Candidate
        && this->syncedSequence < this->writtenSequence)
        return;
    std::size_t granted = 0;
    for (const Messages::ReplicaInfo& voter : this->replicaLog.group().voters)
        granted += this->grantedVotes.count(voter.id);
    if (granted * 2 <= this->replicaLog.group().voters.size())
        return;
    this->fire(this->currentRole == ReplicaRole::PreCandidate ? RoleEvent::PreVoteWon : RoleEvent::VoteWon);
}

bool Replica::isLogUpToDate(Term lastTerm, LogIndex lastIndex) const
{
    if (!this->settings.isLogComparedBeforeVote)
        return true;
    const Term ownTerm = this->replicaLog.lastTerm();
    return lastTerm > ownTerm || (lastTerm == ownTerm && lastIndex >= this->replicaLog.lastIndex());
}

void Replica::receive(const VoteRequest& request)
{
    const bool isCandidateUpToDate = this->isLogUpToDate(request.lastTerm, request.lastIndex);
    if (request.isPreVote) {
        // One heartbeat interval is subtracted because two replicas receive the leader's last message at different
        // times.
        const bool hasLeader = this->leaderState
            || (!this->currentLeaderAddress.empty()
                && this->now - this->leaderContactTime
                    < this->settings.electionTimeoutMinimum - this->settings.heartbeatInterval);
        const bool isGranted = request.term > this->currentTerm && isCandidateUpToDate && !hasLeader;
        // Postpones this replica's own election to avoid a split vote with the candidate.
        if (isGranted)
            this->restartElectionTimer(this->settings.electionTimeoutMinimum, this->settings.electionTimeoutMaximum);
        this->sendReply(request.from,
            VoteReply { this->settings.id, isGranted ? request.term : this->currentTerm, isGranted, true });
        return;
    }
    if (request.term > this->currentTerm)
        this->adoptTerm(request.term, "");
    const bool isGranted = request.term == this->currentTerm && isCandidateUpToDate
        && (this->votedFor.empty() || this->votedFor == request.from);
    if (isGranted && this->votedFor.empty())
        this->adoptTerm(this->currentTerm, request.from);
    if (isGranted)
        this->restartElectionTimer(this->settings.electionTimeoutMinimum, this->settings.electionTimeoutMaximum);
    this->replyAfterSync(request.from, VoteReply { this->settings.id, this->currentTerm, isGranted, false },
        this->settings.isSyncedBeforeVote);
}

void Replica::receive(const VoteReply& reply)
{
    if (reply.isPreVote && reply.isGranted) {
        if (this->currentRole == ReplicaRole::PreCandidate && reply.term == this->currentTerm + 1) {
            this->grantedVotes.insert(reply.from);
            this->countVotes();
        }
        return;
    }
    if (reply.term > this->currentTerm) {
        this->adoptTerm(reply.term, "");
        return;
    }
    if (reply.isGranted && this->currentRole == ReplicaRole::Candidate && reply.term == this->currentTerm) {
        this->grantedVotes.insert(reply.from);
        this->countVotes();
    }
}

void Replica::sendToVoters(const Messages::ConsensusMessage& message)
{
    for (const Messages::ReplicaInfo& voter : this->replicaLog.group().voters) {
        if (voter.id != this->settings.id)
            this->actions.messages.push_back({ voter, message });
    }
}

}
