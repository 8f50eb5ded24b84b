#pragma once

#include "UnitTests/Consensus/SimulatedReplica.h"
#include <functional>
#include <map>
#include <pcg_random.hpp>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

namespace celeryswitch::Consensus {

/// Mechanisms that a schedule runs with.
struct ScheduleMechanisms {
    ReplicaSettings replica;
    State::StateMachineSettings machine;
    /// Whether a replica that lost its disk gets a new identity.
    bool isIdentityRenewed = true;
    /// Whether a new leader waits before it transfers partitions.
    bool isTransferDelayed = true;
};

/// One seeded schedule: three state replicas, operators that race, owners of a partition, and faults. Checks the
/// invariants after each step.
class ClusterSchedule {
public:
    ClusterSchedule(std::uint64_t seed, const ScheduleMechanisms& mechanisms);

    /// Runs the schedule. Returns the broken invariant, or an empty text.
    std::string run();
    /// Steps that replicas took.
    std::uint64_t steps() const { return this->stepCount; }
    /// Changes accepted.
    std::size_t acceptedChanges() const { return this->acceptedByVersion.size(); }

private:
    using Reply = Messages::StateReply;
    /// An operator's or owner's request; it is sent again until it has an answer.
    struct Call {
        decltype(Messages::StateRequest::body) body;
        Core::SteadyTime sentAt;
        /// Newest version confirmed to anyone before the call was sent.
        std::uint64_t confirmedVersion = 0;
        unsigned attempts = 0;
        bool isDone = false;
    };
    /// An entry that owns the partition from time to time.
    struct Owner {
        Core::InstanceId id;
        Core::Incarnation incarnation = 1;
        /// True time until which a start of this owner may take effect.
        Core::SteadyTime activeUntil;
        Core::Epoch epoch = 0;
    };

    std::uint32_t random(std::uint32_t bound) { return this->generator(bound); }
    Core::Duration randomTime(int minimumMilliseconds, int maximumMilliseconds);
    void at(Core::SteadyTime time, std::function<void()> event);
    void fail(const std::string& invariant);

    SimulatedReplica* find(const ReplicaId& id);
    bool isRunning(const SimulatedReplica& replica) const;
    Core::SteadyTime clockOf(SimulatedReplica& replica);
    void startReplica(SimulatedReplica& replica);
    void crash(SimulatedReplica& replica);
    void crashAfterVote(SimulatedReplica& replica);
    void loseDisk(SimulatedReplica& replica);
    void step(SimulatedReplica& replica, State::StateInput input);
    void tick(SimulatedReplica& replica, std::uint64_t life);
    void deliver(const ReplicaId& from, const Outgoing& outgoing);
    void check(SimulatedReplica& replica);

    std::uint64_t call(decltype(Messages::StateRequest::body) body);
    void send(std::uint64_t callId);
    void answered(std::uint64_t callId, const Reply& reply);
    void changeAnswered(const Messages::ProposeChange& change, const Reply& reply);
    void leaseAnswered(const Call& call, const Messages::LeaseGrant& grant);
    void versionConfirmed(const Call& call, std::uint64_t version);

    void act();
    void proposeChange();
    void injectFault();
    void repairDisk(SimulatedReplica& replica, const ReplicaId& oldId);
    void replaceRunning(SimulatedReplica& replica);
    void healAll();
    void checkEnd(bool isLast);

    ScheduleMechanisms mechanisms;
    pcg32 generator;
    Core::SteadyTime now { std::chrono::seconds(1000) };
    std::uint64_t eventCount = 0;
    std::uint64_t stepCount = 0;
    std::map<std::pair<Core::SteadyTime, std::uint64_t>, std::function<void()>> events;
    std::string broken;
    std::vector<std::unique_ptr<SimulatedReplica>> replicas;
    /// Replicas that were replaced while they ran; kept because events still name them.
    std::vector<std::unique_ptr<SimulatedReplica>> retired;
    std::uint64_t spareCount = 0;
    ReplicaGroup firstGroup;
    /// Set while a replica has lost its disk and is not replaced, so that no second one does.
    bool isRepairing = false;
    bool isEnding = false;
    bool isOver = false;

    std::map<std::uint64_t, Call> calls;
    std::vector<Messages::ProposeChange> changes;
    std::vector<Owner> owners;
    std::uint64_t newestVersion = 0;

    /// Facts that hold for the whole schedule.
    std::map<Term, ReplicaId> leaderOfTerm;
    std::map<std::pair<LogIndex, Term>, std::pair<std::string, Term>> entryContents;
    std::map<LogIndex, std::string> hashAtIndex;
    std::map<std::uint64_t, std::string> acceptedByVersion;
    std::map<std::string, std::string> answerByChange;
};

}
