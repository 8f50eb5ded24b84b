#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Network/PeerTransport.h"
#include <string>
#include <vector>

namespace celeryswitch::Entry {

/// Permissions granted by a bearer token.
enum class TokenRole : std::uint8_t {
    /// May submit, fetch and cancel jobs.
    Caller,
    /// May also read the metrics.
    Operator,
};

/// A bearer token accepted by the HTTP API.
struct AccessToken {
    std::string token;
    TokenRole role = TokenRole::Caller;
};

/// Settings of an entry process; constant after its start.
struct EntrySettings {
    /// Name of this instance, unique in the fleet.
    std::string instanceId;
    std::string dataCentre;
    std::string rack;
    /// Listen addresses, for example "127.0.0.1:8080". With port 0 the operating system chooses a port.
    std::string httpAddress;
    std::string peerAddress;
    std::string datagramAddress;
    /// Addresses of the state replicas.
    std::vector<std::string> stateAddresses;
    /// Keys that authenticate frames and datagrams.
    Network::AuthenticationKeys authenticationKeys;
    /// Accepted bearer tokens; if empty, requests need no token.
    std::vector<AccessToken> tokens;
    /// Maximum number of open HTTP connections.
    std::size_t connectionsLimit = 10000;
    /// Maximum sizes of a request's body and header, in bytes.
    std::size_t bodyBytesLimit = 16 * 1024 * 1024;
    std::size_t headerBytesLimit = 16 * 1024;
    /// Timeouts for receiving a request's header, and then its body.
    Core::Duration headerTimeout = std::chrono::seconds(10);
    Core::Duration bodyTimeout = std::chrono::seconds(30);
    /// Time after which a connection without a request is closed.
    Core::Duration idleTimeout = std::chrono::seconds(120);
    /// Size of the job table, in bytes, above which new submissions are refused.
    std::size_t storedBytesLimit = std::size_t(1) << 30;
    /// Capacity, in elements, of each ring buffer between two threads.
    std::size_t ringCapacity = 16384;
};

}

namespace celeryswitch::Core {

template <> struct EnumTable<Entry::TokenRole> {
    static constexpr std::string_view type = "TokenRole";
    static constexpr std::array<std::pair<Entry::TokenRole, std::string_view>, 2> names { {
        { Entry::TokenRole::Caller, "caller" },
        { Entry::TokenRole::Operator, "operator" },
    } };
};

}
