#include "UnitTests/Consensus/ClusterSchedule.h"

#include <boost/json.hpp>

namespace celeryswitch::Consensus {

using Core::SteadyTime;
using Messages::StateRefusal;
using namespace std::chrono_literals;

namespace {

// Scaled down, so that partitions change hands several times in a schedule.
constexpr Membership::LeaseTiming leaseTiming { 500ms, 200ms, 100ms };
constexpr Core::PartitionId partition = 7;
constexpr Core::Duration scheduleTime = 3s;
// Time after the faults within which every change must be answered.
constexpr Core::Duration settleTime = 6s;

}

ClusterSchedule::ClusterSchedule(std::uint64_t seed, const ScheduleMechanisms& mechanisms)
    : mechanisms(mechanisms)
    , generator(seed)
{
    // In some schedules the replicas time out almost together, so that elections are contested.
    if (this->random(3) == 0)
        this->mechanisms.replica.electionTimeoutMaximum = this->mechanisms.replica.electionTimeoutMinimum + 30ms;
    for (int index = 0; index < 3; ++index) {
        auto replica = std::make_unique<SimulatedReplica>();
        replica->address = "address-" + std::to_string(index);
        replica->id = "state-" + std::to_string(index);
        this->firstGroup.voters.push_back({ replica->id, replica->address });
        this->replicas.push_back(std::move(replica));
    }
    for (auto& replica : this->replicas) {
        replica->disk.content.initialGroup = this->firstGroup;
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

void ClusterSchedule::at(SteadyTime time, std::function<void()> event)
{
    this->events.emplace(std::pair(time, ++this->eventCount), std::move(event));
}

void ClusterSchedule::fail(const std::string& invariant)
{
    if (this->broken.empty())
        this->broken = invariant;
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
    const SteadyTime end = this->now + scheduleTime;
    for (SteadyTime time = this->now + 300ms; time < end; time += this->randomTime(10, 80))
        this->at(time, [this] { this->act(); });
    this->at(end, [this] { this->healAll(); });
    for (SteadyTime time = end + 500ms; time <= end + settleTime; time += 250ms)
        this->at(time, [this, isLast = time == end + settleTime] { this->checkEnd(isLast); });
    while (!this->isOver && this->broken.empty()) {
        auto next = this->events.extract(this->events.begin());
        this->now = next.key().first;
        next.mapped()();
    }
    return this->broken;
}

void ClusterSchedule::act()
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
    // An operator that lost the answer sends the very same change again, perhaps much later.
    if (!this->changes.empty() && this->random(4) == 0) {
        this->call(this->changes[this->random(static_cast<std::uint32_t>(this->changes.size()))]);
        return;
    }
    const std::uint64_t lag = this->random(8) == 0 ? 1 : 0;
    const std::uint64_t expected = this->newestVersion >= lag ? this->newestVersion - lag : 0;
    // Operators race with the same expected version.
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
        if (!this->isRepairing)
            this->replaceRunning(replica);
        break;
    case 0:
    case 1:
    case 2:
        this->crash(replica);
        this->at(this->now + this->randomTime(20, 900), [this, &replica, life = replica.life] {
            if (!replica.core && replica.life == life)
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
        replica.stoppedClock = this->clockOf(replica);
        replica.clockStopsUntil = this->now + this->randomTime(100, 1500);
        break;
    default:
        if (!this->isRepairing)
            this->loseDisk(replica);
        break;
    }
}

void ClusterSchedule::loseDisk(SimulatedReplica& replica)
{
    this->isRepairing = true;
    const ReplicaId oldId = replica.id;
    this->crash(replica);
    replica.disk = {};
    ++replica.lostDisks;
    if (this->mechanisms.isIdentityRenewed)
        replica.id += "+";
    else
        replica.disk.content.initialGroup = this->firstGroup;
    this->at(this->now + this->randomTime(20, 400), [this, &replica, oldId] {
        if (!replica.core)
            this->startReplica(replica);
        if (this->mechanisms.isIdentityRenewed)
            this->repairDisk(replica, oldId);
        else
            this->isRepairing = false;
    });
}

void ClusterSchedule::repairDisk(SimulatedReplica& replica, const ReplicaId& oldId)
{
    this->call(Messages::ReplaceReplica { "replace " + replica.id, oldId, replica.id, replica.address });
}

void ClusterSchedule::replaceRunning(SimulatedReplica& replica)
{
    this->isRepairing = true;
    auto added = std::make_unique<SimulatedReplica>();
    added->id = "spare-" + std::to_string(++this->spareCount);
    added->address = added->id;
    this->startReplica(*added);
    this->call(Messages::ReplaceReplica { "replace " + replica.id, replica.id, added->id, added->address });
    this->replicas.push_back(std::move(added));
}

void ClusterSchedule::healAll()
{
    this->isEnding = true;
    // A replica that is down at the end stays down when the group can do without it.
    bool mayStayDown = !this->isRepairing;
    for (auto& replica : this->replicas) {
        replica->frozenUntil = {};
        replica->isolatedUntil = {};
        if (replica->clockStopsUntil > this->now) {
            replica->clockLag = this->now - replica->stoppedClock;
            replica->clockStopsUntil = {};
        }
        if (!replica->core && mayStayDown)
            mayStayDown = false;
        else if (!replica->core)
            this->startReplica(*replica);
    }
    // Every call that is still open, and one more change, have to come through.
    this->proposeChange();
}

void ClusterSchedule::checkEnd(bool isLast)
{
    for (const auto& [callId, call] : this->calls) {
        if (call.isDone || !std::holds_alternative<Messages::ProposeChange>(call.body))
            continue;
        if (isLast)
            this->fail("a change has no answer 6 s after all faults ended");
        return;
    }
    this->isOver = true;
    for (const auto& replica : this->replicas) {
        if (!replica->core || replica->core->replica().role() != ReplicaRole::Leader)
            continue;
        const auto& audit = replica->core->machine().audit();
        std::map<std::uint64_t, std::string> present;
        for (const std::string& text : audit.records(1, 100'000)) {
            const auto record = boost::json::parse(text).as_object();
            if (record.at("outcome").as_string() == "accepted")
                present[record.at("toVersion").to_number<std::uint64_t>()] = record.at("changeId").as_string().c_str();
        }
        for (const auto& [version, changeId] : this->acceptedByVersion) {
            if (present[version] != changeId)
                this->fail("accepted change " + changeId + " of version " + std::to_string(version) + " is lost");
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
    const bool isRepair = std::holds_alternative<Messages::ReplaceReplica>(call.body);
    // Reads and leases are not sent again: their caller would begin anew.
    if (++call.attempts > 1 && !isChange && !isRepair && !std::holds_alternative<Messages::RegisterMember>(call.body))
        return;
    // The network may deliver a request twice and to different replicas.
    const std::uint32_t copies = 1 + (this->random(8) == 0 ? 1 : 0);
    for (std::uint32_t copy = 0; copy < copies; ++copy) {
        SimulatedReplica* replica = this->replicas[this->random(3)].get();
        for (auto& candidate : this->replicas) {
            if (candidate->core && candidate->core->replica().role() == ReplicaRole::Leader && this->random(4) != 0)
                replica = candidate.get();
        }
        this->at(this->now + this->randomTime(0, this->random(16) == 0 ? 600 : 8), [this, replica, callId] {
            if (this->isRunning(*replica))
                this->step(*replica, State::ClientRequest { callId, { callId, this->calls[callId].body } });
        });
    }
    this->at(this->now + this->randomTime(50, 400), [this, callId] { this->send(callId); });
}

void ClusterSchedule::answered(std::uint64_t callId, const Reply& reply)
{
    Call& call = this->calls[callId];
    const bool isRetried = reply.refusal == StateRefusal::NotLeader || reply.refusal == StateRefusal::Busy
        || reply.refusal == StateRefusal::NoQuorum || reply.refusal == StateRefusal::StorageFailed;
    if (isRetried)
        return;
    const bool isFirst = !call.isDone;
    call.isDone = true;
    if (const auto* change = std::get_if<Messages::ProposeChange>(&call.body))
        this->changeAnswered(*change, reply);
    if (const auto* grant = std::get_if<Messages::LeaseGrant>(&reply.body))
        this->leaseAnswered(call, *grant);
    if (const auto* answer = std::get_if<Messages::AuditAnswer>(&reply.body)) {
        std::uint64_t version = 0;
        if (!answer->records.empty())
            version = boost::json::parse(answer->records.back()).at("toVersion").to_number<std::uint64_t>();
        this->versionConfirmed(call, version);
    }
    if (std::holds_alternative<Messages::ReplaceReplica>(call.body) && isFirst) {
        this->isRepairing = false;
        // The old replica is shut down, and another instance is lost right after the repair.
        for (auto& replica : this->replicas) {
            if (replica->id == std::get<Messages::ReplaceReplica>(call.body).oldReplicaId) {
                this->crash(*replica);
                replica->id += " (replaced)";
                std::swap(replica, this->replicas.back());
                this->retired.push_back(std::move(this->replicas.back()));
                this->replicas.pop_back();
                break;
            }
        }
        if (!this->isEnding && this->random(2) == 0)
            this->crash(*this->replicas[this->random(3)]);
    }
}

void ClusterSchedule::changeAnswered(const Messages::ProposeChange& change, const Reply& reply)
{
    std::string text(Core::enumName(reply.refusal));
    if (const auto* accepted = std::get_if<Messages::ChangeAccepted>(&reply.body)) {
        text = "version " + std::to_string(accepted->version);
        const auto inserted = this->acceptedByVersion.emplace(accepted->version, change.changeId);
        if (inserted.first->second != change.changeId)
            this->fail("version " + std::to_string(accepted->version) + " was accepted for " + change.changeId
                + " and for " + inserted.first->second);
        if (accepted->version != change.expectedVersion + 1)
            this->fail("a change was accepted against another version than the expected one");
        this->newestVersion = std::max(this->newestVersion, accepted->version);
    }
    const auto inserted = this->answerByChange.emplace(change.changeId, text);
    if (inserted.first->second != text)
        this->fail("change " + change.changeId + " was answered with " + inserted.first->second + " and with " + text);
}

void ClusterSchedule::versionConfirmed(const Call& call, std::uint64_t version)
{
    if (version < call.confirmedVersion)
        this->fail("version " + std::to_string(version) + " was given as current after "
            + std::to_string(call.confirmedVersion));
    this->newestVersion = std::max(this->newestVersion, version);
}

void ClusterSchedule::leaseAnswered(const Call& call, const Messages::LeaseGrant& grant)
{
    this->versionConfirmed(call, grant.configurationVersion);
    const auto* acquire = std::get_if<Messages::AcquirePartitions>(&call.body);
    const Core::InstanceId& id = acquire ? acquire->owner : std::get<Messages::RenewLeases>(call.body).owner;
    Owner& owner = this->owners[id == this->owners[0].id ? 0 : 1];
    const auto held = grant.held.find(partition);
    if (held == grant.held.end())
        return;
    // The owner counts its lease from before it sent the request; its starts take effect a little longer.
    owner.epoch = std::max(owner.epoch, held->second.epoch);
    owner.activeUntil = std::max(owner.activeUntil, call.sentAt + leaseTiming.lease + leaseTiming.startValidity);
    const Owner& other = this->owners[&owner == &this->owners[0] ? 1 : 0];
    if (this->now < owner.activeUntil && this->now < other.activeUntil)
        this->fail("two owners may start work of one partition");
}

}
