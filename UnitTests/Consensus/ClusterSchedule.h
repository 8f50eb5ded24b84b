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

/// Safety mechanisms enabled in a schedule.
struct ScheduleMechanisms {
    ReplicaSettings replica;
    State::StateMachineSettings machine;
    /// Whether a replica that lost its disk restarts with a new identity.
    bool isIdentityRenewed = true;
    /// Whether partition transfers wait until the previous owner's lease has expired.
    bool isTransferDelayed = true;
};

/// Seeded simulation of three state replicas with concurrent operators, competing owners of a partition and injected
/// faults. Checks the invariants after each step.
class ClusterSchedule {
public:
    ClusterSchedule(std::uint64_t seed, const ScheduleMechanisms& mechanisms);

    /// Runs the schedule. Returns the violated invariant, or an empty string.
    std::string run();
    /// Events processed by replicas.
    std::uint64_t steps() const { return this->stepCount; }
    /// Configuration changes accepted.
    std::size_t acceptedChanges() const { return this->acceptedByVersion.size(); }

private:
    using Reply = Messages::StateReply;
    /// Request of an operator or owner; configuration changes, registrations and replacements are resent until
    /// answered.
    struct Call {
        decltype(Messages::StateRequest::body) body;
        Core::SteadyTime sentAt;
        /// Newest configuration version confirmed to any client before the call was sent.
        std::uint64_t confirmedVersion = 0;
        unsigned attempts = 0;
        bool isDone = false;
    };
    /// An entry that competes for the partition.
    struct Owner {
        Core::InstanceId id;
        Core::Incarnation incarnation = 1;
        /// Simulated time until which a start by this owner may take effect.
        Core::SteadyTime activeUntil;
        Core::Epoch epoch = 0;
    };

    std::uint32_t random(std::uint32_t bound) { return this->generator(bound); }
    Core::Duration randomTime(int minimumMilliseconds, int maximumMilliseconds);
    void scheduleEvent(Core::SteadyTime time, std::function<void()> event);
    void reportViolation(const std::string& invariant);

    SimulatedReplica* find(const ReplicaId& id);
    bool isRunning(const SimulatedReplica& replica) const;
    Core::SteadyTime clockOf(SimulatedReplica& replica);
    void startReplica(SimulatedReplica& replica);
    void crash(SimulatedReplica& replica);
    void crashAfterVote(SimulatedReplica& replica);
    void loseDisk(SimulatedReplica& replica);
    void step(SimulatedReplica& replica, State::StateInput input);
    void tick(SimulatedReplica& replica, std::uint64_t generation);
    void deliver(const ReplicaId& from, const OutgoingMessage& outgoing);
    void check(SimulatedReplica& replica);

    std::uint64_t call(decltype(Messages::StateRequest::body) body);
    void send(std::uint64_t callId);
    void handleReply(std::uint64_t callId, const Reply& reply);
    void checkChangeReply(const Messages::ProposeChange& change, const Reply& reply);
    void checkLeaseReply(const Call& call, const Messages::LeaseGrant& grant);
    void checkVersion(const Call& call, std::uint64_t version);

    void runRandomAction();
    void proposeChange();
    void injectFault();
    void requestReplacement(SimulatedReplica& replica, const ReplicaId& oldId);
    void replaceRunningReplica(SimulatedReplica& replica);
    void endFaults();
    void checkFinalState(bool isLast);

    ScheduleMechanisms mechanisms;
    pcg32 generator;
    Core::SteadyTime now { std::chrono::seconds(1000) };
    std::uint64_t eventCount = 0;
    std::uint64_t stepCount = 0;
    std::map<std::pair<Core::SteadyTime, std::uint64_t>, std::function<void()>> events;
    std::string violation;
    std::vector<std::unique_ptr<SimulatedReplica>> replicas;
    /// Replicas that were replaced; kept because scheduled events still refer to them.
    std::vector<std::unique_ptr<SimulatedReplica>> replacedReplicas;
    std::uint64_t spareCount = 0;
    ReplicaGroup initialGroup;
    /// Set while a replacement is pending, so that no second replica is lost or replaced meanwhile.
    bool isReplacementPending = false;
    bool hasFaultPhaseEnded = false;
    bool isFinished = false;

    std::map<std::uint64_t, Call> calls;
    std::vector<Messages::ProposeChange> changes;
    std::vector<Owner> owners;
    std::uint64_t newestVersion = 0;

    /// Observations that the invariants compare with, over the whole schedule.
    std::map<Term, ReplicaId> leaderOfTerm;
    std::map<std::pair<LogIndex, Term>, std::pair<std::string, Term>> entryContents;
    std::map<LogIndex, std::string> auditHashByIndex;
    std::map<std::uint64_t, std::string> acceptedByVersion;
    std::map<std::string, std::string> answerByChange;
};

}
