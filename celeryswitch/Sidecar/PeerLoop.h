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

/// Called with an event name and a detail for people; may be called on any thread of the process.
using LogHook = std::function<void(std::string_view event, const std::string& detail)>;
/// Makes this sidecar known to the fleet.
using RegistrationHook = std::function<void(const Messages::Member&)>;

/// The peer thread of a sidecar: frames, datagrams and the registration with the state replicas.
class PeerLoop {
public:
    /// What the loop works with; `toDecision` and the hooks must outlive it.
    struct Parts {
        SidecarSettings settings;
        Messages::Hello identity;
        Core::Ring<PeerEvent>& toDecision;
        LogHook log;
        /// Replaces the registration with the state replicas when set.
        RegistrationHook registration;
    };

    explicit PeerLoop(Parts parts);

    /// Opens the sockets, before `run`.
    Core::Result<void> open();
    /// Handles events until `finish` is done or `abort` is called.
    void run() { this->context.run(); }
    /// Sends what is due, then closes every connection and ends `run`. Any thread.
    void finish();
    /// Ends `run` at once. Any thread.
    void abort() { this->context.stop(); }
    /// Ring to this thread; it takes SendFrame, CloseConnection and SendHeartbeat.
    Core::Ring<Action>& actions() { return this->ring; }
    /// Addresses bound; valid after `open`.
    const std::string& peerAddress() const { return this->member.peerAddress; }
    const std::string& datagramAddress() const { return this->member.datagramAddress; }
    /// Frames and datagrams refused. Any thread.
    std::uint64_t rejectedCount() const;

private:
    // Takes over an authenticated connection.
    void accepted(Network::PeerConnectionPointer connection);
    void frameReceived(ConnectionId connectionId, const std::string& payload);
    void datagramReceived(const std::string& payload, std::string fromAddress);
    // Tells the decision thread of an opened or closed connection, later when its ring is full.
    void report(PeerEvent event);
    // Closes a connection and reports it.
    void drop(ConnectionId connectionId, const std::string& reason);
    void handle(Action& action);
    void drainActions();
    // Registers with the state replicas, and again whenever no entry has been heard of for a while.
    void registerMember();
    void scheduleRegistration(std::chrono::milliseconds delay);
    void flushReports();

    Parts parts;
    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    Network::PeerTransport transport;
    State::StateClient stateClient;
    Messages::Member member;
    Core::Ring<Action> ring;
    std::atomic<bool> isDrainPosted = false;
    std::unordered_map<ConnectionId, Network::PeerConnectionPointer> connections;
    ConnectionId lastConnectionId = 0;
    std::deque<PeerEvent> unreported;
    boost::asio::steady_timer reportTimer;
    boost::asio::steady_timer registrationTimer;
    Core::SteadyTime lastHeard {};
    std::atomic<std::uint64_t> malformed = 0;
};

}
