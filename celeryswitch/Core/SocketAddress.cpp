#include "celeryswitch/Core/SocketAddress.h"

#include <charconv>

namespace celeryswitch::Core {

std::string SocketAddress::text() const
{
    const std::string address = this->ip.to_string();
    return (this->ip.is_v6() ? "[" + address + "]:" : address + ":") + std::to_string(this->port);
}

std::optional<SocketAddress> parseSocketAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string_view address = text.substr(0, colon);
    if (address.size() > 2 && address.front() == '[' && address.back() == ']')
        address = address.substr(1, address.size() - 2);
    else if (address.find(':') != std::string_view::npos)
        return std::nullopt;
    SocketAddress result;
    const char* end = text.data() + text.size();
    // A port above 65535 is consumed whole and reported by the error code alone.
    const auto [next, failure] = std::from_chars(text.data() + colon + 1, end, result.port);
    if (failure != std::errc {} || next != end)
        return std::nullopt;
    boost::system::error_code error;
    result.ip = boost::asio::ip::make_address(std::string(address), error);
    return error ? std::nullopt : std::optional(result);
}

}
