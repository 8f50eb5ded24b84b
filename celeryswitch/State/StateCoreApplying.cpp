// Carries out the replica's actions: applying records, answering their requests, snapshots and changes of role.
#include "celeryswitch/Core/Assert.h"
#include "celeryswitch/Network/MessageCodec.h"
#include "celeryswitch/State/StateCore.h"
#include <boost/json.hpp>

namespace celeryswitch::State {

using Messages::StateRefusal;
using Messages::StateReply;
namespace json = boost::json;

void StateCore::carryOut(Consensus::ReplicaActions actions)
{
    std::move(actions.storage.begin(), actions.storage.end(), std::back_inserter(this->output.storage));
    this->output.storageSequence = actions.storageSequence;
    std::move(actions.messages.begin(), actions.messages.end(), std::back_inserter(this->output.messages));
    for (const Consensus::AppendedProposal& placed : actions.appendedProposals) {
        if (this->grantBeingProposed)
            this->leases.beginTransfer(*this->grantBeingProposed);
        this->proposals[placed.index] = { placed.token, placed.term, std::move(this->grantBeingProposed) };
        this->grantBeingProposed.reset();
    }
    if (actions.snapshotToRestore) {
        CELERY_ASSERT(this->stateMachine.restore(actions.snapshotToRestore->data).has_value());
        this->applied = actions.snapshotToRestore->lastIndex;
    }
    for (const Messages::LogEntry& entry : actions.committedEntries)
        this->apply(entry);
    for (std::uint64_t token : actions.busy)
        this->refuse(token, StateRefusal::Busy, "too many records wait for a quorum");
    for (std::uint64_t token : actions.unknownReplica)
        this->refuse(token, StateRefusal::UnknownMember, "neither replica is a voter");
    for (std::uint64_t token : actions.completedReplacements)
        this->answer(token, {});
    for (std::uint64_t token : actions.confirmedReads) {
        const auto found = this->waiting.find(token);
        if (found == this->waiting.end())
            continue;
        // Acquiring what the owner holds already is a renewal.
        if (const auto* acquire = std::get_if<Messages::AcquirePartitions>(&found->second.request.body))
            this->answer(token, this->read(Messages::RenewLeases { acquire->owner, acquire->ownerIncarnation }));
        else
            this->answer(
                token, std::visit([this](const auto& body) { return this->read(body); }, found->second.request.body));
    }
    const bool isStopped = this->consensus.role() == Consensus::ReplicaRole::Stopped;
    for (std::uint64_t token : actions.notLeader) {
        if (isStopped)
            this->refuse(token, StateRefusal::StorageFailed, this->consensus.stopReason());
        else
            this->refuse(token, StateRefusal::NotLeader, this->consensus.leaderAddress());
    }
    this->followRole();
}

void StateCore::apply(const Messages::LogEntry& entry)
{
    StateReply reply;
    this->appliedBytes += entry.payload.size();
    if (entry.kind == Messages::EntryKind::Command)
        reply = this->stateMachine.apply(entry.index, entry.payload);
    this->applied = entry.index;
    const auto found = this->proposals.find(entry.index);
    if (found == this->proposals.end())
        return;
    const Proposed proposed = std::move(found->second);
    this->proposals.erase(found);
    if (proposed.grant)
        this->leases.endTransfer(*proposed.grant);
    if (proposed.term != entry.term) {
        this->refuse(proposed.token, StateRefusal::NotLeader, this->consensus.leaderAddress());
        return;
    }
    // The commit was decided in this leader's term after the request came, which confirms the leases as a read does.
    if (auto* granted = std::get_if<Messages::LeaseGrant>(&reply.body)) {
        const auto request = this->waiting.find(proposed.token);
        if (request == this->waiting.end())
            return;
        if (const auto* acquire = std::get_if<Messages::AcquirePartitions>(&request->second.request.body))
            *granted = this->confirmLeases(acquire->owner, acquire->ownerIncarnation);
        else if (const auto* release = std::get_if<Messages::ReleasePartitions>(&request->second.request.body))
            *granted = this->confirmLeases(release->owner, release->ownerIncarnation);
    }
    this->answer(proposed.token, std::move(reply));
}

void StateCore::takeSnapshotIfDue()
{
    const Messages::LogIndex last = this->consensus.log().snapshot()->lastIndex;
    if (this->applied == last
        || (this->applied < last + this->settings.snapshotThreshold
            && this->appliedBytes < this->settings.snapshotBytes))
        return;
    this->appliedBytes = 0;
    this->stepReplica(Consensus::SnapshotTaken { this->applied, this->stateMachine.snapshot() });
}

void StateCore::followRole()
{
    const bool isLeader = this->consensus.role() == Consensus::ReplicaRole::Leader;
    if (isLeader && !this->isLeading)
        this->leases.beginLeadership(this->now);
    const bool hasEnded = this->isLeading && !isLeader;
    this->isLeading = isLeader;
    if (hasEnded) {
        // Their records may still be accepted; every request is safe to send again.
        const bool isStopped = this->consensus.role() == Consensus::ReplicaRole::Stopped;
        const std::map<Consensus::LogIndex, Proposed> undecided = std::move(this->proposals);
        this->proposals.clear();
        for (const auto& [index, proposed] : undecided)
            this->refuse(proposed.token, isStopped ? StateRefusal::StorageFailed : StateRefusal::NotLeader,
                isStopped ? this->consensus.stopReason() : this->consensus.leaderAddress());
    }
    if (this->waitingForLeadership.empty() || (isLeader && !this->consensus.isLeaderReady()))
        return;
    const std::vector<std::uint64_t> tokens = std::move(this->waitingForLeadership);
    this->waitingForLeadership.clear();
    for (std::uint64_t token : tokens) {
        const auto found = this->waiting.find(token);
        if (found == this->waiting.end())
            continue;
        const Messages::AcquirePartitions body = std::get<Messages::AcquirePartitions>(found->second.request.body);
        this->request(token, body);
    }
}

std::string StateCore::status() const
{
    const auto list = [](const std::vector<Messages::ReplicaInfo>& replicas) {
        json::array result;
        for (const Messages::ReplicaInfo& replica : replicas)
            result.push_back(json::object { { "id", replica.id }, { "address", replica.address } });
        return result;
    };
    const Messages::ReplicaGroup& group = this->consensus.log().group();
    const json::object status {
        { "replicaId", this->consensus.id() },
        { "role", Core::enumName(this->consensus.role()) },
        { "term", this->consensus.term() },
        { "leader", this->consensus.leaderAddress() },
        { "commitIndex", this->consensus.commitIndex() },
        { "appliedIndex", this->applied },
        { "lastIndex", this->consensus.log().lastIndex() },
        { "snapshotIndex", this->consensus.log().snapshot()->lastIndex },
        { "configurationVersion", this->stateMachine.configuration().version },
        { "auditRecords", this->stateMachine.audit().lastIndex() },
        { "auditHash", this->stateMachine.audit().lastHash() },
        { "voters", list(group.voters) },
        { "learners", list(group.learners) },
        { "stopReason", this->consensus.stopReason() },
    };
    return json::serialize(status);
}

}
