#include "celeryswitch/Consensus/Replica.h"

#include "celeryswitch/Core/Assert.h"
#include "celeryswitch/Network/MessageCodec.h"
#include <random>

namespace celeryswitch::Consensus {

using Messages::ReplicaInfo;

namespace {

// The recovered snapshot, or an empty one with the initial group.
SnapshotPointer firstSnapshot(const RecoveredState& recovered)
{
    if (recovered.snapshot)
        return recovered.snapshot;
    Snapshot snapshot;
    snapshot.group = recovered.initialGroup;
    return std::make_shared<const Snapshot>(std::move(snapshot));
}

}

Replica::Replica(ReplicaSettings settings, RecoveredState recovered, Core::SteadyTime now)
    : settings(std::move(settings))
    , replicaLog(firstSnapshot(recovered), std::move(recovered.entries))
    , durableIndex(this->replicaLog.lastIndex())
    , currentTerm(recovered.term)
    , votedFor(std::move(recovered.votedFor))
    , committedIndex(this->replicaLog.snapshot()->lastIndex)
    , random(this->settings.seed)
    , now(now)
    , leaderContactTime(now)
{
    this->fire(RoleEvent::GroupChanged);
    this->restartElectionTimer(this->settings.firstElectionTimeoutMinimum, this->settings.firstElectionTimeoutMaximum);
    // A single voter needs no other votes, so it starts an election at once.
    if (this->currentRole == ReplicaRole::Follower && this->replicaLog.group().voters.size() == 1)
        this->electionDeadline = now;
}

ReplicaActions Replica::step(Core::SteadyTime time, ReplicaEvent event)
{
    this->now = time;
    this->actions = {};
    std::visit([this](auto& alternative) { this->handle(alternative); }, event);
    if (this->leaderState)
        this->advanceAsLeader();
    this->actions.storageSequence = this->writtenSequence;
    return std::move(this->actions);
}

Core::SteadyTime Replica::nextWakeUp() const
{
    switch (this->currentRole) {
    case ReplicaRole::Leader:
        return this->nextHeartbeat;
    case ReplicaRole::Learner:
    case ReplicaRole::Stopped:
        return this->now + std::chrono::seconds(1);
    default:
        return this->electionDeadline;
    }
}

bool Replica::isLeaderReady() const
{
    return this->leaderState && this->committedIndex >= this->leaderState->firstIndex();
}

Core::SteadyTime Replica::lastContactTime() const
{
    return this->leaderState ? this->leaderState->lastQuorumContact(this->now, this->replicaLog.group())
                             : this->leaderContactTime;
}

bool Replica::hasHadLeader() const { return this->hasCaughtUp || this->isLeaderReady(); }

Core::SteadyTime Replica::lastReplyTime(const ReplicaId& id) const
{
    if (!this->leaderState)
        return Core::SteadyTime::max();
    const auto found = this->leaderState->all().find(id);
    return found != this->leaderState->all().end() ? found->second.acknowledgedRoundStart : Core::SteadyTime::max();
}

bool Replica::isGroupChanging() const
{
    return this->leaderState
        && (this->leaderState->replacement || this->replicaLog.groupIndex() > this->committedIndex);
}

void Replica::handle(const Tick&)
{
    if (this->leaderState) {
        const Core::SteadyTime since = this->now - this->settings.electionTimeoutMaximum;
        if (this->settings.isQuorumChecked && !this->leaderState->hasQuorumSince(since, this->replicaLog.group()))
            this->fire(RoleEvent::QuorumLost);
        else if (this->now >= this->nextHeartbeat)
            this->broadcast();
    } else if (this->now >= this->electionDeadline) {
        this->fire(RoleEvent::ElectionTimeout);
    }
}

void Replica::handle(MessageReceived& event)
{
    if (this->currentRole != ReplicaRole::Stopped)
        std::visit([this](auto& message) { this->receive(message); }, event.message);
}

void Replica::handle(Propose& event)
{
    if (!this->leaderState) {
        this->actions.notLeader.push_back(event.token);
        return;
    }
    if (this->replicaLog.lastIndex() - this->committedIndex >= this->settings.uncommittedEntriesLimit) {
        this->actions.busy.push_back(event.token);
        return;
    }
    const LogIndex index = this->appendAsLeader(Messages::EntryKind::Command, std::move(event.command));
    this->actions.appendedProposals.push_back({ event.token, index, this->currentTerm });
}

void Replica::handle(const Read& event)
{
    if (!this->leaderState) {
        this->actions.notLeader.push_back(event.token);
        return;
    }
    if (!this->settings.isReadConfirmed) {
        this->actions.confirmedReads.push_back(event.token);
        return;
    }
    this->leaderState->addRead(event.token);
}

void Replica::handle(Replace& event)
{
    if (!this->leaderState) {
        this->actions.notLeader.push_back(event.token);
        return;
    }
    const ReplicaGroup& group = this->replicaLog.group();
    const bool isAddition = event.oldId.empty() && !event.replacement.id.empty();
    if (!isAddition && !group.hasVoter(event.oldId) && !group.hasLearner(event.oldId)
        && !group.hasVoter(event.replacement.id)) {
        this->actions.unknownReplica.push_back(event.token);
        return;
    }
    // A retried request supersedes the earlier one.
    if (this->leaderState->replacement)
        this->actions.notLeader.push_back(this->leaderState->replacement->token);
    this->leaderState->replacement = { event.token, std::move(event.oldId), std::move(event.replacement) };
}

void Replica::handle(const StorageSynced& event)
{
    this->syncedSequence = std::max(this->syncedSequence, event.sequence);
    this->durableIndex.recordSync(event.sequence);
    while (!this->messagesAwaitingSync.empty() && this->messagesAwaitingSync.front().first <= event.sequence) {
        this->actions.messages.push_back(std::move(this->messagesAwaitingSync.front().second));
        this->messagesAwaitingSync.pop_front();
    }
    if (this->currentRole == ReplicaRole::Candidate)
        this->countVotes();
}

void Replica::handle(const StorageFailed& event)
{
    this->stopDetail = event.detail;
    this->messagesAwaitingSync.clear();
    this->fire(RoleEvent::StorageFailed);
}

void Replica::handle(SnapshotTaken& event)
{
    if (event.index <= this->replicaLog.snapshot()->lastIndex || this->currentRole == ReplicaRole::Stopped)
        return;
    CELERY_ASSERT(event.index <= this->committedIndex);
    Snapshot snapshot;
    snapshot.lastIndex = event.index;
    snapshot.lastTerm = *this->replicaLog.termAt(event.index);
    snapshot.group = this->replicaLog.groupAt(event.index);
    snapshot.data = std::move(event.data);
    this->installSnapshot(std::make_shared<const Snapshot>(std::move(snapshot)));
}

void Replica::fire(RoleEvent event)
{
    const Charts::StateChart::Transition* transition
        = replicaChart().find(static_cast<std::size_t>(this->currentRole), static_cast<std::size_t>(event),
            [this](std::size_t) { return this->replicaLog.group().hasVoter(this->settings.id); });
    if (!transition)
        return;
    this->currentRole = static_cast<ReplicaRole>(transition->target);
    for (std::size_t action : transition->actions)
        this->perform(static_cast<RoleAction>(action));
}

void Replica::perform(RoleAction action)
{
    switch (action) {
    case RoleAction::ForgetLeader:
        this->currentLeaderAddress.clear();
        break;
    case RoleAction::RestartElectionTimer:
        this->restartElectionTimer(this->settings.electionTimeoutMinimum, this->settings.electionTimeoutMaximum);
        break;
    case RoleAction::RequestPreVotes:
        this->requestPreVotes();
        break;
    case RoleAction::RequestVotes:
        this->requestVotes();
        break;
    case RoleAction::BeginLeadership:
        this->beginLeadership();
        break;
    case RoleAction::EndLeadership:
        this->endLeadership();
        break;
    }
}

void Replica::restartElectionTimer(Core::Duration minimum, Core::Duration maximum)
{
    this->electionDeadline = this->now
        + Core::Duration(std::uniform_int_distribution<std::int64_t>(minimum.count(), maximum.count())(this->random));
}

void Replica::adoptTerm(Term term, const ReplicaId& vote)
{
    const bool isHigher = term > this->currentTerm;
    this->currentTerm = term;
    this->votedFor = vote;
    this->write(SaveTerm { term, vote });
    if (isHigher) {
        // An acknowledgement from the old term could make its leader count an entry that this replica may now
        // overwrite.
        this->messagesAwaitingSync.clear();
        this->fire(RoleEvent::HigherTerm);
    }
}

void Replica::advanceCommitIndex(LogIndex index)
{
    while (this->committedIndex < index)
        this->actions.committedEntries.push_back(this->replicaLog.at(++this->committedIndex));
}

void Replica::write(StorageOperation operation)
{
    ++this->writtenSequence;
    this->durableIndex.recordWrite(this->writtenSequence, this->replicaLog.lastIndex());
    this->actions.storage.push_back(std::move(operation));
}

void Replica::sendReply(const ReplicaId& to, Messages::ConsensusMessage message)
{
    this->actions.messages.push_back({ { to, "" }, std::move(message) });
}

void Replica::replyAfterSync(const ReplicaId& to, Messages::ConsensusMessage message, bool isSyncNeeded)
{
    if (isSyncNeeded && this->syncedSequence < this->writtenSequence)
        this->messagesAwaitingSync.emplace_back(
            this->writtenSequence, OutgoingMessage { { to, "" }, std::move(message) });
    else
        this->sendReply(to, std::move(message));
}

}
