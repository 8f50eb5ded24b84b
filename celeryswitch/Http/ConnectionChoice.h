#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Core/EnumNames.h"
#include <cstdint>
#include <optional>
#include <vector>

namespace celeryswitch::Http {

/// What a connection does at the moment.
enum class ConnectionPhase : std::uint8_t {
    /// Has sent nothing yet.
    Silent,
    /// Has been answered and sends nothing.
    Idle,
    /// A header or a body is incomplete.
    Header,
    Body,
    /// A complete request waits for its answer.
    Waiting,
    /// The client has not read its whole answer.
    Answering,
    /// The rest of a refused request is read and discarded.
    Draining,
    Closed,
};

/// State of a connection as far as the choice needs it.
struct ConnectionState {
    /// Rises with each connection that is accepted.
    std::uint64_t number = 0;
    ConnectionPhase phase = ConnectionPhase::Silent;
    /// Bytes that were received, or wait to be read by the client.
    std::size_t heldBytes = 0;
    /// Time since the bytes of the request last doubled; since the phase began for the phases without a request.
    Core::Duration stalledFor {};
    /// Whether the connection ends with its next answer.
    bool isLeaving = false;
};

/// Connection to close when the bytes of all connections exceed the budget: of the incomplete ones that with the least
/// progress for the bytes that it holds, among equals the newest. Nothing when every byte belongs to complete requests.
std::optional<std::uint64_t> connectionToFreeBytes(const std::vector<ConnectionState>& connections);

/// Connection to close when a new one exceeds their number: the incomplete or silent one that has stalled longest, or
/// else the one that has been idle longest. Nothing when every connection has a complete request or was answered within
/// the last second.
std::optional<std::uint64_t> connectionToReplace(const std::vector<ConnectionState>& connections);

/// Connections to end with their next answers while new ones wait for a place: the oldest, so that `count` are leaving
/// in all. Their callers lose nothing, and connect again behind those who wait.
std::vector<std::uint64_t> connectionsToRelease(std::vector<ConnectionState> connections, std::size_t count);

/// Number of connections that are to be leaving when new ones have waited for places without a break for this time:
/// an eighth of the places at first, all of them in the end.
std::size_t releaseCount(std::size_t places, Core::Duration crowdedFor);

}

namespace celeryswitch::Core {

template <> struct EnumTable<Http::ConnectionPhase> {
    static constexpr std::string_view type = "ConnectionPhase";
    static constexpr std::array<std::pair<Http::ConnectionPhase, std::string_view>, 8> names { {
        { Http::ConnectionPhase::Silent, "Silent" },
        { Http::ConnectionPhase::Idle, "Idle" },
        { Http::ConnectionPhase::Header, "Header" },
        { Http::ConnectionPhase::Body, "Body" },
        { Http::ConnectionPhase::Waiting, "Waiting" },
        { Http::ConnectionPhase::Answering, "Answering" },
        { Http::ConnectionPhase::Draining, "Draining" },
        { Http::ConnectionPhase::Closed, "Closed" },
    } };
};

}
