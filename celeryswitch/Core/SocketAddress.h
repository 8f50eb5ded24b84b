#pragma once

#include <boost/asio/ip/address.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace celeryswitch::Core {

/// IP address and port of a socket.
struct SocketAddress {
    boost::asio::ip::address ip;
    std::uint16_t port = 0;

    /// "address:port", or "[address]:port" for IPv6.
    std::string text() const;
};

/// Reads "address:port" or "[address]:port"; std::nullopt if the address is no IP address or the port is not a decimal
/// number from 0 to 65535.
std::optional<SocketAddress> parseSocketAddress(std::string_view text);

}
