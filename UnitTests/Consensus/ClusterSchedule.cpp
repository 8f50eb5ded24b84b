#include "UnitTests/Consensus/ClusterSchedule.h"

#include <boost/json.hpp>

namespace celeryswitch::Consensus {

using Core::SteadyTime;
using Messages::StateRefusal;
using namespace std::chrono_literals;

namespace {

// Shorter than in production, so that a partition is transferred several times in a schedule.
constexpr Membership::LeaseTiming leaseTiming { 500ms, 200ms, 100ms };
constexpr Core::PartitionId partition = 7;
constexpr Core::Duration scheduleDuration = 3s;
// Time after the last fault within which every change must be answered.
constexpr Core::Duration recoveryTime = 6s;

}

ClusterSchedule::ClusterSchedule(std::uint64_t seed, const ScheduleMechanisms& mechanisms)
    : mechanisms(mechanisms)
    , generator(seed)
{
    // In some schedules the election timeouts of the replicas are close together, which provokes split votes.
    if (this->random(3) == 0)
        this->mechanisms.replica.electionTimeoutMaximum = this->mechanisms.replica.electionTimeoutMinimum + 30ms;
    for (int index = 0; index < 3; ++index) {
        auto replica = std::make_unique<SimulatedReplica>();
        replica->address = "address-" + std::to_string(index);
        replica->id = "state-" + std::to_string(index);
        this->initialGroup.voters.push_back({ replica->id, replica->address });
        this->replicas.push_back(std::move(replica));
    }
    for (auto& replica : this->replicas) {
        replica->disk.content.initialGroup = this->initialGroup;
        this->startReplica(*replica);
    }
    for (int index = 0; index < 2; ++index)
        this->owners.push_back({ "entry-" + std::to_string(index), 1, {}, 0 });
}

Core::Duration ClusterSchedule::randomTime(int minimumMilliseconds, int maximumMilliseconds)
{
    return std::chrono::microseconds(minimumMilliseconds * 1000
        + static_cast<int>(this->random(static_cast<std::uint32_t>(maximumMilliseconds - minimumMilliseconds) * 1000)));
}

void ClusterSchedule::scheduleEvent(SteadyTime time, std::function<void()> event)
{
    this->events.emplace(std::pair(time, ++this->eventCount), std::move(event));
}

void ClusterSchedule::reportViolation(const std::string& invariant)
{
    if (this->violation.empty())
        this->violation = invariant;
}

std::string ClusterSchedule::run()
{
    for (const Owner& owner : this->owners) {
        Messages::Member member;
        member.identity.role = Messages::Role::Entry;
        member.identity.instanceId = owner.id;
        member.identity.incarnation = owner.incarnation;
        this->call(Messages::RegisterMember { member });
    }
    const SteadyTime end = this->now + scheduleDuration;
    for (SteadyTime time = this->now + 300ms; time < end; time += this->randomTime(10, 80))
        this->scheduleEvent(time, [this] { this->runRandomAction(); });
    this->scheduleEvent(end, [this] { this->endFaults(); });
    for (SteadyTime time = end + 500ms; time <= end + recoveryTime; time += 250ms)
        this->scheduleEvent(time, [this, isLast = time == end + recoveryTime] { this->checkFinalState(isLast); });
    while (!this->isFinished && this->violation.empty()) {
        auto next = this->events.extract(this->events.begin());
        this->now = next.key().first;
        next.mapped()();
    }
    return this->violation;
}

void ClusterSchedule::runRandomAction()
{
    switch (this->random(10)) {
    case 0:
    case 1:
    case 2:
        this->proposeChange();
        break;
    case 3:
    case 4:
        this->call(Messages::QueryAudit { 1, 10'000 });
        break;
    case 5: {
        const Owner& owner = this->owners[this->random(2)];
        this->call(Messages::AcquirePartitions { owner.id, owner.incarnation, { partition } });
        break;
    }
    case 6:
    case 7: {
        const Owner& owner = this->owners[this->random(2)];
        this->call(Messages::RenewLeases { owner.id, owner.incarnation });
        break;
    }
    default:
        this->injectFault();
        break;
    }
}

void ClusterSchedule::proposeChange()
{
    // An operator that received no reply resends the same change, possibly much later.
    if (!this->changes.empty() && this->random(4) == 0) {
        this->call(this->changes[this->random(static_cast<std::uint32_t>(this->changes.size()))]);
        return;
    }
    const std::uint64_t lag = this->random(8) == 0 ? 1 : 0;
    const std::uint64_t expected = this->newestVersion >= lag ? this->newestVersion - lag : 0;
    // Concurrent operators propose changes with the same expected version.
    for (std::uint32_t operators = 1 + this->random(2); operators > 0; --operators) {
        const std::string changeId = "c" + std::to_string(this->changes.size());
        this->changes.push_back({ changeId, "ana", "schedule", expected,
            R"([{"operation":"setDefault","key":"shareWeight","value":)"
                + std::to_string(1 + this->changes.size() % 1000) + "}]" });
        this->call(this->changes.back());
    }
}

void ClusterSchedule::injectFault()
{
    SimulatedReplica& replica = *this->replicas[this->random(3)];
    switch (this->random(9)) {
    case 8:
        if (!this->isReplacementPending)
            this->replaceRunningReplica(replica);
        break;
    case 0:
    case 1:
    case 2:
        this->crash(replica);
        this->scheduleEvent(this->now + this->randomTime(20, 900), [this, &replica, generation = replica.generation] {
            if (!replica.core && replica.generation == generation)
                this->startReplica(replica);
        });
        break;
    case 3:
    case 4:
        replica.isolatedUntil = this->now + this->randomTime(100, 1500);
        break;
    case 5:
        replica.frozenUntil = this->now + this->randomTime(100, 1500);
        break;
    case 6:
        replica.stoppedClockTime = this->clockOf(replica);
        replica.clockStoppedUntil = this->now + this->randomTime(100, 1500);
        break;
    default:
        if (!this->isReplacementPending)
            this->loseDisk(replica);
        break;
    }
}

void ClusterSchedule::loseDisk(SimulatedReplica& replica)
{
    this->isReplacementPending = true;
    const ReplicaId oldId = replica.id;
    this->crash(replica);
    replica.disk = {};
    ++replica.lostDisks;
    if (this->mechanisms.isIdentityRenewed)
        replica.id += "+";
    else
        replica.disk.content.initialGroup = this->initialGroup;
    this->scheduleEvent(this->now + this->randomTime(20, 400), [this, &replica, oldId] {
        if (!replica.core)
            this->startReplica(replica);
        if (this->mechanisms.isIdentityRenewed)
            this->requestReplacement(replica, oldId);
        else
            this->isReplacementPending = false;
    });
}

void ClusterSchedule::requestReplacement(SimulatedReplica& replica, const ReplicaId& oldId)
{
    this->call(Messages::ReplaceReplica { "replace " + replica.id, oldId, replica.id, replica.address });
}

void ClusterSchedule::replaceRunningReplica(SimulatedReplica& replica)
{
    this->isReplacementPending = true;
    auto added = std::make_unique<SimulatedReplica>();
    added->id = "spare-" + std::to_string(++this->spareCount);
    added->address = added->id;
    this->startReplica(*added);
    this->call(Messages::ReplaceReplica { "replace " + replica.id, replica.id, added->id, added->address });
    this->replicas.push_back(std::move(added));
}

void ClusterSchedule::endFaults()
{
    this->hasFaultPhaseEnded = true;
    // One crashed replica stays down if the group keeps a quorum without it.
    bool mayStayDown = !this->isReplacementPending;
    for (auto& replica : this->replicas) {
        replica->frozenUntil = {};
        replica->isolatedUntil = {};
        if (replica->clockStoppedUntil > this->now) {
            replica->clockLag = this->now - replica->stoppedClockTime;
            replica->clockStoppedUntil = {};
        }
        if (!replica->core && mayStayDown)
            mayStayDown = false;
        else if (!replica->core)
            this->startReplica(*replica);
    }
    // All pending calls and one more change must complete.
    this->proposeChange();
}

void ClusterSchedule::checkFinalState(bool isLast)
{
    for (const auto& [callId, call] : this->calls) {
        if (call.isDone || !std::holds_alternative<Messages::ProposeChange>(call.body))
            continue;
        if (isLast)
            this->reportViolation("a change has no answer 6 s after all faults ended");
        return;
    }
    this->isFinished = true;
    for (const auto& replica : this->replicas) {
        if (!replica->core || replica->core->replica().role() != ReplicaRole::Leader)
            continue;
        const auto& audit = replica->core->machine().audit();
        std::map<std::uint64_t, std::string> changeIdByVersion;
        for (const std::string& text : audit.records(1, 100'000)) {
            const auto record = boost::json::parse(text).as_object();
            if (record.at("outcome").as_string() == "accepted")
                changeIdByVersion[record.at("toVersion").to_number<std::uint64_t>()]
                    = record.at("changeId").as_string().c_str();
        }
        for (const auto& [version, changeId] : this->acceptedByVersion) {
            if (changeIdByVersion[version] != changeId)
                this->reportViolation(
                    "accepted change " + changeId + " of version " + std::to_string(version) + " is lost");
        }
    }
}

std::uint64_t ClusterSchedule::call(decltype(Messages::StateRequest::body) body)
{
    const std::uint64_t callId = this->calls.size() + 1;
    this->calls[callId] = { std::move(body), this->now, this->newestVersion, 0, false };
    this->send(callId);
    return callId;
}

void ClusterSchedule::send(std::uint64_t callId)
{
    Call& call = this->calls[callId];
    if (call.isDone)
        return;
    const bool isChange = std::holds_alternative<Messages::ProposeChange>(call.body);
    const bool isReplacement = std::holds_alternative<Messages::ReplaceReplica>(call.body);
    // Reads and lease requests are not resent: their caller would issue a new request.
    if (++call.attempts > 1 && !isChange && !isReplacement
        && !std::holds_alternative<Messages::RegisterMember>(call.body))
        return;
    // The network may duplicate a request and deliver it to different replicas.
    const std::uint32_t copies = 1 + (this->random(8) == 0 ? 1 : 0);
    for (std::uint32_t copy = 0; copy < copies; ++copy) {
        SimulatedReplica* replica = this->replicas[this->random(3)].get();
        for (auto& candidate : this->replicas) {
            if (candidate->core && candidate->core->replica().role() == ReplicaRole::Leader && this->random(4) != 0)
                replica = candidate.get();
        }
        this->scheduleEvent(this->now + this->randomTime(0, this->random(16) == 0 ? 600 : 8), [this, replica, callId] {
            if (this->isRunning(*replica))
                this->step(*replica, State::ClientRequest { callId, { callId, this->calls[callId].body } });
        });
    }
    this->scheduleEvent(this->now + this->randomTime(50, 400), [this, callId] { this->send(callId); });
}

void ClusterSchedule::handleReply(std::uint64_t callId, const Reply& reply)
{
    Call& call = this->calls[callId];
    const bool isRetryable = reply.refusal == StateRefusal::NotLeader || reply.refusal == StateRefusal::Busy
        || reply.refusal == StateRefusal::NoQuorum || reply.refusal == StateRefusal::StorageFailed;
    if (isRetryable)
        return;
    const bool isFirst = !call.isDone;
    call.isDone = true;
    if (const auto* change = std::get_if<Messages::ProposeChange>(&call.body))
        this->checkChangeReply(*change, reply);
    if (const auto* grant = std::get_if<Messages::LeaseGrant>(&reply.body))
        this->checkLeaseReply(call, *grant);
    if (const auto* answer = std::get_if<Messages::AuditAnswer>(&reply.body)) {
        std::uint64_t version = 0;
        if (!answer->records.empty())
            version = boost::json::parse(answer->records.back()).at("toVersion").to_number<std::uint64_t>();
        this->checkVersion(call, version);
    }
    if (std::holds_alternative<Messages::ReplaceReplica>(call.body) && isFirst) {
        this->isReplacementPending = false;
        // The old replica is shut down, and another one may crash right after the replacement.
        for (auto& replica : this->replicas) {
            if (replica->id == std::get<Messages::ReplaceReplica>(call.body).oldReplicaId) {
                this->crash(*replica);
                replica->id += " (replaced)";
                std::swap(replica, this->replicas.back());
                this->replacedReplicas.push_back(std::move(this->replicas.back()));
                this->replicas.pop_back();
                break;
            }
        }
        if (!this->hasFaultPhaseEnded && this->random(2) == 0)
            this->crash(*this->replicas[this->random(3)]);
    }
}

void ClusterSchedule::checkChangeReply(const Messages::ProposeChange& change, const Reply& reply)
{
    std::string text(Core::enumName(reply.refusal));
    if (const auto* accepted = std::get_if<Messages::ChangeAccepted>(&reply.body)) {
        text = "version " + std::to_string(accepted->version);
        const auto inserted = this->acceptedByVersion.emplace(accepted->version, change.changeId);
        if (inserted.first->second != change.changeId)
            this->reportViolation("version " + std::to_string(accepted->version) + " was accepted for "
                + change.changeId + " and for " + inserted.first->second);
        if (accepted->version != change.expectedVersion + 1)
            this->reportViolation("a change was accepted against another version than the expected one");
        this->newestVersion = std::max(this->newestVersion, accepted->version);
    }
    const auto inserted = this->answerByChange.emplace(change.changeId, text);
    if (inserted.first->second != text)
        this->reportViolation(
            "change " + change.changeId + " was answered with " + inserted.first->second + " and with " + text);
}

void ClusterSchedule::checkVersion(const Call& call, std::uint64_t version)
{
    if (version < call.confirmedVersion)
        this->reportViolation("version " + std::to_string(version) + " was given as current after "
            + std::to_string(call.confirmedVersion));
    this->newestVersion = std::max(this->newestVersion, version);
}

void ClusterSchedule::checkLeaseReply(const Call& call, const Messages::LeaseGrant& grant)
{
    this->checkVersion(call, grant.configurationVersion);
    const auto* acquire = std::get_if<Messages::AcquirePartitions>(&call.body);
    const Core::InstanceId& id = acquire ? acquire->owner : std::get<Messages::RenewLeases>(call.body).owner;
    Owner& owner = this->owners[id == this->owners[0].id ? 0 : 1];
    const auto held = grant.held.find(partition);
    if (held == grant.held.end())
        return;
    // The lease begins when the owner sends the request; its starts can take effect for the start validity beyond it.
    owner.epoch = std::max(owner.epoch, held->second.epoch);
    owner.activeUntil = std::max(owner.activeUntil, call.sentAt + leaseTiming.lease + leaseTiming.startValidity);
    const Owner& other = this->owners[&owner == &this->owners[0] ? 1 : 0];
    if (this->now < owner.activeUntil && this->now < other.activeUntil)
        this->reportViolation("two owners may start work of one partition");
}

}
