#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Messages/TaskMessages.h"
#include <variant>

namespace celeryswitch::Sidecar {

/// Identifies a connection of a peer; assigned by PeerLoop and never reused.
using ConnectionId = std::uint64_t;

/// Send a frame on a connection.
struct SendFrame {
    ConnectionId connectionId = 0;
    Messages::PeerMessage message;
};

/// Close a connection; later frames from it are ignored.
struct CloseConnection {
    ConnectionId connectionId = 0;
};

/// Send a heartbeat to an entry's UDP socket.
struct SendHeartbeat {
    std::string address;
    Messages::SidecarHeartbeat heartbeat;
};

/// Call the endpoint for one task, which the fence has already recorded.
struct StartCall {
    Core::TaskKey task;
    std::string kind;
    std::string payload;
    /// Time limit of the call.
    Core::Duration timeout {};
};

/// Check whether the endpoint accepts connections, without starting a task.
struct ProbeEndpoint { };

using Action = std::variant<SendFrame, CloseConnection, SendHeartbeat, StartCall, ProbeEndpoint>;

/// Result of a call to the endpoint.
struct CallResult {
    Core::TaskKey task;
    /// Complete except for `queueMicroseconds`.
    Messages::TaskResult result;
};

/// A peer has connected and was authenticated.
struct PeerConnected {
    ConnectionId connectionId = 0;
};

/// A connection was lost.
struct PeerDisconnected {
    ConnectionId connectionId = 0;
};

/// A frame arrived.
struct PeerFrame {
    ConnectionId connectionId = 0;
    Messages::PeerMessage message;
};

/// A heartbeat arrived from a UDP address.
struct PeerHeartbeat {
    Messages::EntryHeartbeat heartbeat;
    std::string fromAddress;
};

/// Event from the peer thread to the decision thread.
using PeerEvent = std::variant<PeerConnected, PeerDisconnected, PeerFrame, PeerHeartbeat>;

/// Event from the endpoint thread to the decision thread: the end of a call or of a probe.
struct EndpointEvent {
    bool isProbe = false;
    /// For a probe: whether the endpoint accepted the connection.
    bool isReachable = false;
    CallResult call;
};

/// Counters since the start of the process.
struct SidecarCounts {
    std::uint64_t accepted = 0;
    std::uint64_t started = 0;
    std::uint64_t succeeded = 0;
    std::uint64_t failed = 0;
    std::uint64_t unconfirmed = 0;
    /// Tasks answered as NeverStarted for any reason.
    std::uint64_t neverStarted = 0;
    /// Tasks in start messages that the fence had already recorded.
    std::uint64_t duplicates = 0;
    std::uint64_t framesSent = 0;
    std::uint64_t framesReceived = 0;
    std::uint64_t heartbeatsSent = 0;
};

}
