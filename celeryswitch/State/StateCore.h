#pragma once

#include "celeryswitch/Consensus/Replica.h"
#include "celeryswitch/Membership/LeaseTracker.h"
#include "celeryswitch/State/GroupKeeper.h"
#include "celeryswitch/State/StateMachine.h"
#include <map>
#include <unordered_map>
#include <variant>

namespace celeryswitch::State {

/// Settings of a state core; fixed for its life.
struct StateCoreSettings {
    Consensus::ReplicaSettings replica;
    Membership::LeaseTiming leaseTiming;
    /// Applied entries after which a snapshot shortens the log.
    std::uint64_t snapshotThreshold = 1000;
    /// Bytes of applied records after which a snapshot shortens the log.
    std::uint64_t snapshotBytes = 8 * 1024 * 1024;
    /// Long polls that one replica holds; more are refused as busy.
    std::size_t watcherLimit = 20'000;
    StateMachineSettings machine;
    GroupKeeperSettings keeper;
};

/// A request on a client's connection.
struct ClientRequest {
    std::uint64_t connection = 0;
    Messages::StateRequest request;
};

/// A client's connection has ended; its requests need no answer.
struct ClientGone {
    std::uint64_t connection = 0;
};

/// An answer for a client's connection.
struct ClientReply {
    std::uint64_t connection = 0;
    Messages::StateReply reply;
};

/// This replica is about to stop.
struct Depart { };

/// Everything that a state core reacts to.
using StateInput = std::variant<Consensus::Tick, ClientRequest, ClientGone, Consensus::MessageReceived,
    Consensus::StorageSynced, Consensus::StorageFailed, Messages::ReplicaAnnouncement, Depart>;

/// What a step asks for.
struct StateOutput {
    std::vector<Consensus::StorageOperation> storage;
    std::uint64_t storageSequence = 0;
    std::vector<Consensus::OutgoingMessage> messages;
    std::vector<ClientReply> replies;
};

/// Decisions of a state replica: consensus, state machine, leases and the requests that wait. Pure like Replica.
class StateCore {
public:
    StateCore(StateCoreSettings settings, Consensus::RecoveredState recovered, Core::SteadyTime now);

    /// Reacts to an input; `wallMilliseconds` since 1970 is put in proposed records.
    StateOutput step(Core::SteadyTime now, std::int64_t wallMilliseconds, StateInput input);
    /// When Tick is due although nothing else happens.
    Core::SteadyTime nextWakeUp() const;
    /// The replica, for status and tests.
    const Consensus::Replica& replica() const { return this->consensus; }
    /// The applied state.
    const StateMachine& machine() const { return this->stateMachine; }
    /// Entries applied so far.
    std::uint64_t appliedIndex() const { return this->applied; }
    /// Whether this replica is not in the group, as far as it knows, or has not heard a leader for an election timeout.
    bool isWithoutLeader(Core::SteadyTime time) const;
    /// Whether this replica has been told to stop, by Depart.
    bool isDeparting() const { return this->departing; }
    /// What the group answered to the departure of this replica; it may stop once that is decided.
    DepartureVerdict departureVerdict() const { return this->departure; }
    /// Refuses every request that waits, because this core ends; all are safe to send to another replica.
    std::vector<ClientReply> refuseWaiting();
    /// Status as JSON.
    std::string status() const;

private:
    /// A request that waits for consensus.
    struct Waiting {
        std::uint64_t connection = 0;
        Messages::StateRequest request;
    };
    /// A long poll.
    struct Watcher {
        std::uint64_t connection = 0;
        std::uint64_t requestId = 0;
        std::uint64_t knownVersion = 0;
        std::uint64_t knownRoutingVersion = 0;
        Core::SteadyTime due;
        /// Whether the watcher gets what changed instead of the whole view.
        bool isOfChanges = false;
    };
    /// A proposal in the log.
    struct Proposed {
        std::uint64_t token = 0;
        Consensus::Term term = 0;
        /// Set for a transfer of partitions.
        std::optional<Membership::GrantPartitions> grant;
    };

    void handle(ClientRequest& input);
    void handle(ClientGone& input);
    void handle(Consensus::Tick& input);
    void handle(Messages::ReplicaAnnouncement& input);
    void handle(Consensus::MessageReceived& input);
    void handle(Depart& input);
    template <typename Event> void handle(Event& event) { this->stepReplica(std::move(event)); }

    void request(std::uint64_t token, const Messages::WatchView& body) { this->addWatcher(token, body, false); }
    void request(std::uint64_t token, const Messages::WatchChanges& body) { this->addWatcher(token, body.watch, true); }
    void addWatcher(std::uint64_t token, const Messages::WatchView& watch, bool isOfChanges);
    void request(std::uint64_t token, const Messages::AcquirePartitions& body);
    void request(std::uint64_t token, const Messages::ReplaceReplica& body);
    void request(std::uint64_t token, const Messages::QueryReplicaStatus& body);
    void request(std::uint64_t token, const Messages::PutRouting& body);
    void request(std::uint64_t token, const Messages::QueryRouting&) { this->stepReplica(Consensus::Read { token }); }
    void request(std::uint64_t token, const Messages::SetEvacuation& body);
    void request(std::uint64_t token, const Messages::QueryEvacuations&)
    {
        this->stepReplica(Consensus::Read { token });
    }
    // Requests that are answered from the applied state once the leadership is confirmed.
    void request(std::uint64_t token, const Messages::RenewLeases&) { this->stepReplica(Consensus::Read { token }); }
    void request(std::uint64_t token, const Messages::QueryReport&) { this->stepReplica(Consensus::Read { token }); }
    void request(std::uint64_t token, const Messages::QueryAudit&) { this->stepReplica(Consensus::Read { token }); }
    // Requests that become a record of the log as they are.
    template <typename Body> void request(std::uint64_t token, const Body& body)
    {
        this->propose(token, StateCommand { this->wallTime, body }, std::nullopt);
    }

    Messages::StateReply read(const Messages::RenewLeases& body);
    Messages::StateReply read(const Messages::QueryReport& body);
    Messages::StateReply read(const Messages::QueryAudit& body);
    Messages::StateReply read(const Messages::QueryRouting& body);
    Messages::StateReply read(const Messages::QueryEvacuations& body);
    // The other requests are never read.
    template <typename Body> Messages::StateReply read(const Body&) { return {}; }
    // The leases of an owner, which are confirmed for their full length from now on.
    Messages::LeaseGrant confirmLeases(const Core::InstanceId& owner, Core::Incarnation incarnation);

    void propose(std::uint64_t token, const StateCommand& command, std::optional<Membership::GrantPartitions> grant);
    // Changes the group if that is due.
    void keepGroup();
    // Asks for the departure of this replica, or decides on it as the leader.
    void continueDeparture();
    void stepReplica(Consensus::ReplicaEvent event);
    void carryOut(Consensus::ReplicaActions actions);
    void apply(const Messages::LogEntry& entry);
    void takeSnapshotIfDue();
    // Ends or begins what only a leader does.
    void followRole();
    Messages::StateReply viewFor(const Watcher& watcher) const;
    // Adds to a view what does not come from the applied state.
    void describeGroup(Messages::FleetView& view) const;
    void answerWatchers();
    void answer(std::uint64_t token, Messages::StateReply reply);
    void refuse(std::uint64_t token, Messages::StateRefusal refusal, std::string detail = {});

    StateCoreSettings settings;
    StateMachine stateMachine;
    Consensus::Replica consensus;
    Membership::LeaseTracker leases;
    GroupKeeper keeper;
    bool departing = false;
    DepartureVerdict departure = DepartureVerdict::Undecided;
    /// When the leader is asked for the departure again.
    Core::SteadyTime nextDepartureRequest;
    std::uint64_t applied = 0;
    /// Bytes of the records applied since the last snapshot.
    std::uint64_t appliedBytes = 0;
    bool isLeading = false;
    std::uint64_t lastToken = 0;
    std::unordered_map<std::uint64_t, Waiting> waiting;
    std::map<Consensus::LogIndex, Proposed> proposals;
    /// Acquisitions that wait until a new leader has applied the records of earlier terms.
    std::vector<std::uint64_t> waitingForLeadership;
    std::vector<Watcher> watchers;
    /// View version that the watchers were last compared with.
    std::uint64_t announcedVersion = 0;
    std::optional<Membership::GrantPartitions> grantBeingProposed;
    Core::SteadyTime now;
    std::int64_t wallTime = 0;
    StateOutput output;
};

}
