#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Messages/TaskMessages.h"
#include <variant>

namespace celeryswitch::Sidecar {

/// Number that the shell gives to a connection of a peer; never used twice.
using ConnectionId = std::uint64_t;

/// Send a frame on a connection.
struct SendFrame {
    ConnectionId connectionId = 0;
    Messages::PeerMessage message;
};

/// End a connection; later frames from it are ignored.
struct CloseConnection {
    ConnectionId connectionId = 0;
};

/// Send a heartbeat to an entry's UDP socket.
struct SendHeartbeat {
    std::string address;
    Messages::SidecarHeartbeat heartbeat;
};

/// Call the endpoint for one task. The task is in the fence already.
struct StartCall {
    Core::TaskKey task;
    std::string kind;
    std::string payload;
    /// Time that the endpoint may take.
    Core::Duration timeout {};
};

/// Find out whether the endpoint accepts connections, without starting anything.
struct ProbeEndpoint { };

using Action = std::variant<SendFrame, CloseConnection, SendHeartbeat, StartCall, ProbeEndpoint>;

/// How a call of the endpoint ended.
struct CallResult {
    Core::TaskKey task;
    /// Everything but `queueMicroseconds`.
    Messages::TaskResult result;
};

/// A peer has connected and proved its key.
struct PeerOpened {
    ConnectionId connectionId = 0;
};

/// A connection was lost.
struct PeerClosed {
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

/// What the peer thread tells the decision thread.
using PeerEvent = std::variant<PeerOpened, PeerClosed, PeerFrame, PeerHeartbeat>;

/// What the endpoint thread tells the decision thread: a call ended, or a probe.
struct EndpointEvent {
    bool isProbe = false;
    /// For a probe: whether the endpoint accepted the connection.
    bool isAnswering = false;
    CallResult call;
};

/// Counts since the start of the process.
struct SidecarCounts {
    std::uint64_t accepted = 0;
    std::uint64_t started = 0;
    std::uint64_t succeeded = 0;
    std::uint64_t failed = 0;
    std::uint64_t unconfirmed = 0;
    /// Tasks answered as NeverStarted, for any reason.
    std::uint64_t neverStarted = 0;
    /// Tasks of start messages that were recorded already.
    std::uint64_t duplicates = 0;
    std::uint64_t framesSent = 0;
    std::uint64_t framesReceived = 0;
    std::uint64_t heartbeatsSent = 0;
};

}
