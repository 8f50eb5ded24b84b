#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Messages/StateMessages.h"
#include "celeryswitch/Network/PeerTransport.h"
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace celeryswitch::State {

/// Why a request to the state replicas has no answer.
enum class StateClientError : std::uint8_t {
    /// No replica gave a final answer within the timeout; the request may or may not have been applied.
    TimedOut,
    /// The settings list no replica.
    NoReplica,
    /// The client was stopped.
    Stopped,
};

/// Settings of a state client.
struct StateClientSettings {
    /// Identity sent as the first frame of each connection.
    Messages::Hello identity;
    /// Addresses of the replicas, "127.0.0.1:7201".
    std::vector<std::string> replicas;
    /// Bounds of the jittered, exponential delay between attempts.
    Core::Duration minimumBackoff = std::chrono::milliseconds(10);
    Core::Duration maximumBackoff = std::chrono::milliseconds(150);
    /// Time without an answer after which another replica is tried; a long poll's own wait is added.
    Core::Duration attemptTimeout = std::chrono::milliseconds(800);
    /// Seed of the jitter.
    std::uint64_t seed = 1;
};

/// Sends requests to the leader of the state replicas and resends them until one has answered. Every request is safe to
/// resend. All functions run on the io_context's thread, handlers too.
class StateClient {
public:
    using Body = decltype(Messages::StateRequest::body);
    /// Receives a final answer, which may be a refusal such as VersionConflict, or a StateClientError.
    using Handler = std::function<void(Core::Result<Messages::StateReply>)>;

    /// `context` and `transport` must outlive the client.
    StateClient(boost::asio::io_context& context, Network::PeerTransport& transport, StateClientSettings settings);
    ~StateClient();
    StateClient(const StateClient&) = delete;
    StateClient& operator=(const StateClient&) = delete;

    /// Sends a request. Refusals that another replica or a later attempt may lift (NotLeader, NoQuorum, Busy,
    /// StorageFailed) are retried within `timeout`; the handler is called once, never from inside this function.
    void request(Body body, Core::Duration timeout, Handler handler);
    /// Replaces the addresses of the replicas; requests under way go on.
    void setReplicas(std::vector<std::string> addresses);
    /// Turns to the next replica, because the current one answers with old news.
    void leaveReplica();
    /// Closes the connection and ends all waiting requests with Stopped.
    void stop();
    /// Address of the replica that requests go to now.
    const std::string& currentReplica() const;
    /// Requests sent again after a refusal, a timeout or a lost connection.
    std::uint64_t resentCount() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation;
};

}

namespace celeryswitch::Core {

template <> struct EnumTable<State::StateClientError> {
    static constexpr std::string_view type = "StateClientError";
    static constexpr std::array<std::pair<State::StateClientError, std::string_view>, 3> names { {
        { State::StateClientError::TimedOut, "TimedOut" },
        { State::StateClientError::NoReplica, "NoReplica" },
        { State::StateClientError::Stopped, "Stopped" },
    } };
};

}
