#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Messages/StateMessages.h"
#include <optional>
#include <string>
#include <variant>

namespace celeryswitch::Entry {

/// ID of a caller's request, unique within this entry.
using RequestId = std::uint64_t;
/// ID of a peer connection: even if this entry opened it, odd if it accepted it.
using ConnectionId = std::uint64_t;

/// A caller submits a job, fetches its state or cancels it.
struct CallerRequest {
    RequestId requestId = 0;
    Messages::JobOperation operation = Messages::JobOperation::Submit;
    /// Time for which the caller waits for the job to end, in milliseconds.
    std::uint32_t waitMilliseconds = 0;
    /// For Fetch and Cancel, only team, caller and idempotencyKey are set.
    Messages::Submission submission;
};

/// A connection was established and can send frames.
struct ConnectionOpened {
    ConnectionId connectionId = 0;
};

/// A connection attempt failed or a connection was closed.
struct ConnectionClosed {
    ConnectionId connectionId = 0;
    std::string reason;
};

/// A frame was received.
struct FrameReceived {
    ConnectionId connectionId = 0;
    Messages::PeerMessage message;
};

/// A datagram was received.
struct DatagramReceived {
    Messages::PeerDatagram datagram;
};

/// A request to the state replicas was answered, or failed; `reply` is empty after a failure or timeout.
struct StateReplyReceived {
    std::uint64_t callId = 0;
    std::optional<Messages::StateReply> reply;
};

/// A graceful stop was requested.
struct StopRequested { };

/// Any input of an entry core.
using EntryEvent = std::variant<CallerRequest, ConnectionOpened, ConnectionClosed, FrameReceived, DatagramReceived,
    StateReplyReceived, StopRequested>;

/// Open a connection; the result is reported by ConnectionOpened or ConnectionClosed.
struct OpenConnection {
    ConnectionId connectionId = 0;
    std::string address;
};

/// Send a frame. If it can't be sent, the connection is closed and ConnectionClosed is reported.
struct SendFrame {
    ConnectionId connectionId = 0;
    Messages::PeerMessage message;
};

/// Close a connection; no ConnectionClosed is reported.
struct CloseConnection {
    ConnectionId connectionId = 0;
};

/// Send a datagram.
struct SendDatagram {
    std::string address;
    Messages::PeerDatagram datagram;
};

/// Send a request to the state replicas; StateReplyReceived is reported within `timeout`.
struct SendStateRequest {
    std::uint64_t callId = 0;
    Core::Duration timeout {};
    decltype(Messages::StateRequest::body) body;
};

/// Send the answer to a caller's request.
struct AnswerCaller {
    Messages::ForwardedAnswer answer;
    /// Value of the Location header; no header if empty.
    std::string location;
};

/// The graceful stop has completed.
struct StopFinished { };

/// Any output of an entry core.
using EntryAction = std::variant<OpenConnection, SendFrame, CloseConnection, SendDatagram, SendStateRequest,
    AnswerCaller, StopFinished>;

}
