#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Messages/StateMessages.h"
#include <optional>
#include <string>
#include <variant>

namespace celeryswitch::Entry {

/// Number of a caller's request at this entry.
using RequestId = std::uint64_t;
/// Number of a connection to a peer: even when this entry opened it, odd when it was accepted.
using ConnectionId = std::uint64_t;

/// A caller asks something of a job.
struct CallerRequest {
    RequestId requestId = 0;
    Messages::JobOperation operation = Messages::JobOperation::Submit;
    /// Time that the caller waits for the answer, in milliseconds.
    std::uint32_t waitMilliseconds = 0;
    /// Whole for Submit; for Fetch and Cancel only team, caller and idempotencyKey.
    Messages::Submission submission;
};

/// A connection is ready for frames.
struct ConnectionOpened {
    ConnectionId connectionId = 0;
};

/// A connection was not established, or has ended.
struct ConnectionClosed {
    ConnectionId connectionId = 0;
    std::string reason;
};

/// A frame arrived.
struct FrameReceived {
    ConnectionId connectionId = 0;
    Messages::PeerMessage message;
};

/// A datagram arrived.
struct DatagramReceived {
    Messages::PeerDatagram datagram;
};

/// The state replicas answered a call, or did not within its time.
struct StateReplied {
    std::uint64_t callId = 0;
    std::optional<Messages::StateReply> reply;
};

/// Stop gracefully.
struct StopRequested { };

/// Everything that happens to an entry's core.
using EntryEvent = std::variant<CallerRequest, ConnectionOpened, ConnectionClosed, FrameReceived, DatagramReceived,
    StateReplied, StopRequested>;

/// Open a connection and report ConnectionOpened or ConnectionClosed.
struct OpenConnection {
    ConnectionId connectionId = 0;
    std::string address;
};

/// Send a frame; a frame that can't be sent ends its connection.
struct SendFrame {
    ConnectionId connectionId = 0;
    Messages::PeerMessage message;
};

/// End a connection without a report.
struct CloseConnection {
    ConnectionId connectionId = 0;
};

/// Send a datagram.
struct SendDatagram {
    std::string address;
    Messages::PeerDatagram datagram;
};

/// Send a request to the state replicas and report StateReplied within `timeout`.
struct CallState {
    std::uint64_t callId = 0;
    Core::Duration timeout {};
    decltype(Messages::StateRequest::body) body;
};

/// Answer a caller's request.
struct AnswerCaller {
    Messages::ForwardedAnswer answer;
    /// Value of the Location header; empty means none.
    std::string location;
};

/// The graceful stop is over.
struct StopFinished { };

/// Everything that an entry's core asks for.
using EntryAction
    = std::variant<OpenConnection, SendFrame, CloseConnection, SendDatagram, CallState, AnswerCaller, StopFinished>;

}
