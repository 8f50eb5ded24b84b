#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Network/PeerTransport.h"
#include <string>
#include <vector>

namespace celeryswitch::Entry {

/// What the bearer of a token may do.
enum class TokenRole : std::uint8_t {
    /// Submit, fetch and cancel jobs.
    Caller,
    /// The same, and read the metrics.
    Operator,
};

/// A bearer token.
struct AccessToken {
    std::string token;
    TokenRole role = TokenRole::Caller;
};

/// Settings of an entry process; fixed for its life.
struct EntrySettings {
    /// Unique name of this instance in the fleet.
    std::string instanceId;
    std::string dataCentre;
    std::string rack;
    /// Addresses to listen at, "127.0.0.1:8080"; port 0 is chosen by the system.
    std::string httpAddress;
    std::string peerAddress;
    std::string datagramAddress;
    /// Addresses of the state replicas.
    std::vector<std::string> stateAddresses;
    /// Keys of frames and datagrams.
    Network::AuthenticationKeys authenticationKeys;
    /// Bearer tokens; empty means that every caller is accepted.
    std::vector<AccessToken> tokens;
    /// HTTP connections that may be open at once.
    std::size_t connectionsLimit = 10000;
    /// Bytes of a request's body and of its header.
    std::size_t bodyBytesLimit = 16 * 1024 * 1024;
    std::size_t headerBytesLimit = 16 * 1024;
    /// Time in which a request's header, and then its body, has to arrive.
    Core::Duration headerTime = std::chrono::seconds(10);
    Core::Duration bodyTime = std::chrono::seconds(30);
    /// Time for which a connection may stay idle between requests.
    Core::Duration idleTime = std::chrono::seconds(120);
    /// Bytes of remembered jobs and answers above which submissions are refused.
    std::size_t storedBytesLimit = std::size_t(1) << 30;
    /// Elements of each ring between two threads.
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
