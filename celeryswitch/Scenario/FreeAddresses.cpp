#include "celeryswitch/Scenario/FreeAddresses.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <unistd.h>

namespace celeryswitch::Scenario {

namespace {

// 127.216.0.0 to 127.251.255.255; the soak uses 127.16.0.0 to 127.215.255.255.
constexpr std::uint32_t firstHost = 0x7FD80000;
constexpr std::uint32_t hostCount = 0x00240000;

}

std::vector<std::string> freeAddresses(std::uint32_t count)
{
    const boost::asio::ip::address_v4 host(firstHost + static_cast<std::uint32_t>(::getpid()) % hostCount);
    boost::asio::io_context context;
    std::vector<boost::asio::ip::tcp::acceptor> acceptors;
    std::vector<std::string> addresses;
    for (std::uint32_t index = 0; index < count; ++index) {
        acceptors.emplace_back(context, boost::asio::ip::tcp::endpoint(host, 0), false);
        addresses.push_back(host.to_string() + ":" + std::to_string(acceptors.back().local_endpoint().port()));
    }
    return addresses;
}

}
