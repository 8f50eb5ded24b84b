#pragma once

#include "celeryswitch/Core/Ring.h"
#include "celeryswitch/Messages/StateMessages.h"
#include "celeryswitch/Sidecar/SidecarActions.h"
#include "celeryswitch/Sidecar/SidecarSettings.h"
#include "celeryswitch/State/StateClient.h"
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <unordered_map>

namespace celeryswitch::Sidecar {

/// Called with an event name and a human-readable detail, on any thread of the process.
using LogHook = std::function<void(std::string_view event, const std::string& detail)>;
/// Registers this sidecar with the fleet.
using RegistrationHook = std::function<void(const Messages::Member&)>;

/// Event loop of the peer thread of a sidecar: frames, datagrams and the registration with the state replicas.
class PeerLoop {
public:
    /// Settings, ring and hooks of the loop; `decisionEvents` and the hooks must outlive it.
    struct Dependencies {
        SidecarSettings settings;
        Messages::Hello identity;
        Core::Ring<PeerEvent>& decisionEvents;
        LogHook log;
        /// If set, replaces the registration with the state replicas.
        RegistrationHook registration;
    };

    explicit PeerLoop(Dependencies dependencies);

    /// Opens the sockets; call before `run`.
    Core::Result<void> open();
    /// Processes events until `finish` has completed or `abort` is called.
    void run() { this->context.run(); }
    /// Executes the pending actions, closes all connections and ends `run`. Thread-safe.
    void finish();
    /// Ends `run` at once. Thread-safe.
    void abort() { this->context.stop(); }
    /// Ring of actions for this thread: SendFrame, CloseConnection and SendHeartbeat.
    Core::Ring<Action>& actions() { return this->ring; }
    /// Bound addresses; valid after `open`.
    const std::string& peerAddress() const { return this->member.peerAddress; }
    const std::string& datagramAddress() const { return this->member.datagramAddress; }
    /// Number of rejected frames and datagrams. Thread-safe.
    std::uint64_t rejectedCount() const;

private:
    // Handles a new authenticated connection.
    void accepted(Network::PeerConnectionPointer connection);
    void frameReceived(ConnectionId connectionId, const std::string& payload);
    void datagramReceived(const std::string& payload, std::string fromAddress);
    // Reports a connection event to the decision thread; retried while its ring is full.
    void report(PeerEvent event);
    // Closes a connection and reports it.
    void disconnect(ConnectionId connectionId, const std::string& reason);
    void handle(Action& action);
    void drainActions();
    // Registers with the state replicas; repeated if no entry sends a heartbeat for a while.
    void registerMember();
    void scheduleRegistration(std::chrono::milliseconds delay);
    void flushReports();

    Dependencies dependencies;
    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    Network::PeerTransport transport;
    State::StateClient stateClient;
    Messages::Member member;
    Core::Ring<Action> ring;
    std::atomic<bool> isDrainPosted = false;
    std::unordered_map<ConnectionId, Network::PeerConnectionPointer> connections;
    ConnectionId lastConnectionId = 0;
    std::deque<PeerEvent> pendingReports;
    boost::asio::steady_timer reportTimer;
    boost::asio::steady_timer registrationTimer;
    Core::SteadyTime lastHeartbeatAt {};
    std::atomic<std::uint64_t> malformedCount = 0;
};

}
