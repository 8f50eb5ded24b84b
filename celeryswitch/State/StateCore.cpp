#include "celeryswitch/State/StateCore.h"

#include "celeryswitch/Core/Assert.h"
#include "celeryswitch/Network/MessageCodec.h"

namespace celeryswitch::State {

using Messages::StateRefusal;
using Messages::StateReply;

namespace {

// Longest wait of a long poll.
constexpr std::uint32_t maximumWaitMilliseconds = 10'000;
// Largest record; together with its frame it stays well below the limit of a message.
constexpr std::size_t maximumCommandBytes = 4 * 1024 * 1024;
// Largest answer in bytes of records.
constexpr std::size_t maximumAnswerBytes = 4 * 1024 * 1024;

}

StateCore::StateCore(StateCoreSettings settings, Consensus::RecoveredState recovered, Core::SteadyTime now)
    : settings(std::move(settings))
    , stateMachine(this->settings.machine)
    , consensus(this->settings.replica, std::move(recovered), now)
    , leases(this->settings.leaseTiming)
    , keeper(this->settings.keeper)
    , now(now)
{
    const Consensus::SnapshotPointer& snapshot = this->consensus.log().snapshot();
    // The store has checked the snapshot's checksum, so that it holds what this program wrote.
    CELERY_ASSERT(this->stateMachine.restore(snapshot->data).has_value());
    this->applied = snapshot->lastIndex;
}

StateOutput StateCore::step(Core::SteadyTime time, std::int64_t wallMilliseconds, StateInput input)
{
    this->now = time;
    this->wallTime = wallMilliseconds;
    this->output = {};
    std::visit([this](auto& alternative) { this->handle(alternative); }, input);
    this->takeSnapshotIfDue();
    this->answerWatchers();
    return std::move(this->output);
}

Core::SteadyTime StateCore::nextWakeUp() const
{
    Core::SteadyTime due = this->consensus.nextWakeUp();
    for (const Watcher& watcher : this->watchers)
        due = std::min(due, watcher.due);
    if (this->departing && this->departure == DepartureVerdict::Undecided)
        due = std::min(due, this->nextDepartureRequest);
    return due;
}

void StateCore::handle(ClientRequest& input)
{
    const std::uint64_t token = ++this->lastToken;
    const auto body = input.request.body;
    this->waiting.emplace(token, Waiting { input.connection, std::move(input.request) });
    const bool isStatus = std::holds_alternative<Messages::QueryReplicaStatus>(body);
    if (this->consensus.role() == Consensus::ReplicaRole::Stopped && !isStatus) {
        this->refuse(token, StateRefusal::StorageFailed, this->consensus.stopReason());
        return;
    }
    std::visit([&](const auto& alternative) { this->request(token, alternative); }, body);
}

void StateCore::handle(Consensus::Tick& input)
{
    this->stepReplica(input);
    this->continueDeparture();
    this->keepGroup();
}

std::vector<ClientReply> StateCore::refuseWaiting()
{
    std::vector<ClientReply> replies;
    for (const Watcher& watcher : std::exchange(this->watchers, {}))
        replies.push_back({ watcher.connection,
            { watcher.requestId, StateRefusal::StorageFailed, this->consensus.stopReason(), {} } });
    for (const auto& [token, entry] : std::exchange(this->waiting, {}))
        replies.push_back({ entry.connection,
            { entry.request.requestId, StateRefusal::StorageFailed, this->consensus.stopReason(), {} } });
    return replies;
}

void StateCore::handle(ClientGone& input)
{
    std::erase_if(this->watchers, [&](const Watcher& watcher) { return watcher.connection == input.connection; });
}

void StateCore::addWatcher(std::uint64_t token, const Messages::WatchView& body, bool isOfChanges)
{
    const Waiting& entry = this->waiting.at(token);
    if (this->watchers.size() >= this->settings.watcherLimit) {
        this->refuse(token, StateRefusal::Busy, "too many long polls");
        return;
    }
    const std::uint32_t wait = std::min(body.waitMilliseconds, maximumWaitMilliseconds);
    this->watchers.push_back({ entry.connection, entry.request.requestId, body.knownVersion, body.knownRoutingVersion,
        this->now + std::chrono::milliseconds(wait), isOfChanges });
    // A new watcher may know less than the version that was compared last.
    this->announcedVersion = 0;
    this->waiting.erase(token);
}

void StateCore::request(std::uint64_t token, const Messages::AcquirePartitions& body)
{
    if (!this->isLeading) {
        this->refuse(token, StateRefusal::NotLeader, this->consensus.leaderAddress());
        return;
    }
    if (!this->consensus.isLeaderReady()) {
        this->waitingForLeadership.push_back(token);
        return;
    }
    if (!this->stateMachine.members().isCurrent(body.owner, body.ownerIncarnation)) {
        this->refuse(token, StateRefusal::UnknownMember, body.owner);
        return;
    }
    Membership::GrantPartitions grant { body.owner, body.ownerIncarnation, {} };
    std::string heldByOthers;
    bool holdsOne = false;
    for (Core::PartitionId partition : body.partitions) {
        const Messages::PartitionOwner holder = this->stateMachine.partitions().owner(partition);
        if (holder.owner == body.owner && holder.ownerIncarnation == body.ownerIncarnation)
            holdsOne = true;
        else if (partition < Core::partitionCount && !this->leases.isInTransfer(partition)
            && this->leases.isTransferable(this->now, holder))
            grant.expectedEpochs.emplace(partition, holder.epoch);
        else if (heldByOthers.empty())
            heldByOthers = "partition " + std::to_string(partition) + " is held by " + holder.owner;
    }
    if (!grant.expectedEpochs.empty())
        this->propose(token, StateCommand { this->wallTime, grant }, grant);
    else if (holdsOne)
        this->stepReplica(Consensus::Read { token });
    else
        this->refuse(token, StateRefusal::LeaseHeld, std::move(heldByOthers));
}

void StateCore::request(std::uint64_t token, const Messages::ReplaceReplica& body)
{
    if (body.newReplicaId.empty() || body.newAddress.empty() || body.oldReplicaId == body.newReplicaId) {
        this->refuse(token, StateRefusal::InvalidChange, "a replacement needs two replica ids and an address");
        return;
    }
    this->stepReplica(Consensus::Replace { token, body.oldReplicaId, { body.newReplicaId, body.newAddress } });
}

void StateCore::request(std::uint64_t token, const Messages::PutRouting& body)
{
    const Core::Result<Configuration::RoutingDocument> document
        = Network::decodeMessage<Configuration::RoutingDocument>(body.routing);
    const std::string problem = document ? document.value().problem() : document.error().message();
    if (!problem.empty())
        this->refuse(token, StateRefusal::InvalidChange, problem);
    else if (document.value().version <= this->stateMachine.routing().version)
        this->stepReplica(Consensus::Read { token });
    else
        this->propose(token, StateCommand { this->wallTime, body }, std::nullopt);
}

void StateCore::request(std::uint64_t token, const Messages::SetEvacuation& body)
{
    if (body.dataCentre.empty()) {
        this->refuse(token, StateRefusal::InvalidChange, "an evacuation names a data centre");
        return;
    }
    // Always a record, also when nothing seems to change: an order before it may not be applied yet.
    this->propose(token, StateCommand { this->wallTime, body }, std::nullopt);
}

void StateCore::request(std::uint64_t token, const Messages::QueryReplicaStatus&)
{
    StateReply reply;
    reply.body = Messages::ReplicaStatus { this->status() };
    this->answer(token, std::move(reply));
}

StateReply StateCore::read(const Messages::RenewLeases& body)
{
    StateReply reply;
    if (!this->stateMachine.members().isCurrent(body.owner, body.ownerIncarnation)) {
        reply.refusal = StateRefusal::UnknownMember;
        reply.detail = body.owner;
    } else {
        reply.body = this->confirmLeases(body.owner, body.ownerIncarnation);
    }
    return reply;
}

StateReply StateCore::read(const Messages::QueryReport& body)
{
    StateReply reply;
    Messages::ReportAnswer answer { this->stateMachine.report().query(body) };
    if (Network::encodeMessage(answer).size() > maximumAnswerBytes) {
        reply.refusal = StateRefusal::InvalidChange;
        reply.detail = "the report is too large for one answer; ask for fewer minutes";
    } else {
        reply.body = std::move(answer);
    }
    return reply;
}

StateReply StateCore::read(const Messages::QueryAudit& body)
{
    Messages::AuditAnswer answer { this->stateMachine.audit().records(body.fromIndex, body.limit) };
    std::size_t bytes = 0;
    std::size_t fitting = 0;
    while (fitting < answer.records.size() && (bytes += answer.records[fitting].size()) <= maximumAnswerBytes)
        ++fitting;
    answer.records.resize(fitting);
    StateReply reply;
    reply.body = std::move(answer);
    return reply;
}

StateReply StateCore::read(const Messages::QueryRouting&)
{
    StateReply reply;
    reply.body = Messages::RoutingSource { this->stateMachine.routing().version, this->stateMachine.routingSource() };
    return reply;
}

StateReply StateCore::read(const Messages::QueryEvacuations&)
{
    StateReply reply;
    reply.body = Messages::EvacuationList { this->stateMachine.evacuations() };
    return reply;
}

Messages::LeaseGrant StateCore::confirmLeases(const Core::InstanceId& owner, Core::Incarnation incarnation)
{
    this->leases.recordRenewal(this->now, owner, incarnation);
    Messages::LeaseGrant grant;
    grant.held = this->stateMachine.partitions().ownedBy(owner, incarnation);
    std::erase_if(grant.held, [this](const auto& entry) { return this->leases.isInTransfer(entry.first); });
    grant.leaseMilliseconds = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(this->settings.leaseTiming.lease).count());
    grant.configurationVersion = this->stateMachine.configuration().version;
    grant.evacuatedDataCentres = this->stateMachine.evacuatedDataCentres();
    return grant;
}

void StateCore::propose(
    std::uint64_t token, const StateCommand& command, std::optional<Membership::GrantPartitions> grant)
{
    std::string bytes = Network::encodeMessage(command);
    if (bytes.size() > maximumCommandBytes) {
        this->refuse(token, StateRefusal::InvalidChange, "the request exceeds 4 MiB");
        return;
    }
    this->grantBeingProposed = std::move(grant);
    this->stepReplica(Consensus::Propose { token, std::move(bytes) });
    this->grantBeingProposed.reset();
}

void StateCore::stepReplica(Consensus::ReplicaEvent event)
{
    this->carryOut(this->consensus.step(this->now, std::move(event)));
}

void StateCore::answer(std::uint64_t token, StateReply reply)
{
    const auto found = this->waiting.find(token);
    if (found == this->waiting.end())
        return;
    reply.requestId = found->second.request.requestId;
    this->output.replies.push_back({ found->second.connection, std::move(reply) });
    this->waiting.erase(found);
}

void StateCore::refuse(std::uint64_t token, StateRefusal refusal, std::string detail)
{
    StateReply reply;
    reply.refusal = refusal;
    reply.detail = std::move(detail);
    this->answer(token, std::move(reply));
}

StateReply StateCore::viewFor(const Watcher& watcher) const
{
    StateReply reply;
    reply.requestId = watcher.requestId;
    Messages::FleetView view;
    if (watcher.knownVersion != 0 && watcher.knownVersion == this->stateMachine.viewVersion()) {
        view.isUnchanged = true;
        view.viewVersion = watcher.knownVersion;
        view.configurationVersion = this->stateMachine.configuration().version;
        view.routingVersion = this->stateMachine.routing().version;
    } else if (watcher.isOfChanges) {
        Messages::FleetChanges changes = this->stateMachine.changes(watcher.knownVersion, watcher.knownRoutingVersion);
        this->describeGroup(changes.view);
        reply.body = std::move(changes);
        return reply;
    } else {
        view = this->stateMachine.view(watcher.knownRoutingVersion);
    }
    this->describeGroup(view);
    if (watcher.isOfChanges)
        reply.body = Messages::FleetChanges { std::move(view), false };
    else
        reply.body = std::move(view);
    return reply;
}

void StateCore::describeGroup(Messages::FleetView& view) const
{
    for (const Messages::ReplicaInfo& replica : this->consensus.log().group().voters)
        view.replicas.push_back(replica.address);
    // A replica that has heard no leader since its start may lack what was committed before.
    view.contactAgeMilliseconds = !this->consensus.hasHadLeader()
        ? UINT32_MAX
        : static_cast<std::uint32_t>(std::clamp<std::int64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(this->now - this->consensus.lastContactTime())
                .count(),
            0, UINT32_MAX));
}

void StateCore::answerWatchers()
{
    const std::uint64_t version = this->stateMachine.viewVersion();
    const bool hasNews = version != this->announcedVersion;
    this->announcedVersion = version;
    std::erase_if(this->watchers, [&](const Watcher& watcher) {
        if (!(hasNews && version > watcher.knownVersion) && this->now < watcher.due)
            return false;
        this->output.replies.push_back({ watcher.connection, this->viewFor(watcher) });
        return true;
    });
}

}
