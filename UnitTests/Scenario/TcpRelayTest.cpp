#include "celeryswitch/Scenario/TcpRelay.h"
#include "celeryswitch/Scenario/ChildProcess.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <csignal>

using namespace celeryswitch;
using boost::asio::ip::tcp;

namespace {

tcp::endpoint endpointOf(const std::string& address)
{
    return { boost::asio::ip::address_v4::loopback(),
        static_cast<unsigned short>(std::stoi(address.substr(address.rfind(':') + 1))) };
}

}

// Guards against a cut that ends connections or loses bytes, which would not be a silent partition.
TEST_CASE("a cut relay holds bytes back and passes them after the cut", "[Scenario][threads]")
{
    boost::asio::io_context context;
    tcp::acceptor acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 });
    const auto relay
        = Scenario::TcpRelay::start("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())).value();
    tcp::socket near(context);
    near.connect(endpointOf(relay->address()));
    tcp::socket far = acceptor.accept();
    std::string received(3, ' ');
    boost::asio::write(near, boost::asio::buffer("one", 3));
    boost::asio::read(far, boost::asio::buffer(received));
    REQUIRE(received == "one");
    relay->setCut(true);
    boost::asio::write(near, boost::asio::buffer("two", 3));
    far.non_blocking(true);
    boost::system::error_code error;
    char byte = 0;
    const bool hasArrived = Scenario::waitUntil(
        std::chrono::milliseconds(100), [&] { return far.read_some(boost::asio::buffer(&byte, 1), error) != 0; });
    REQUIRE_FALSE(hasArrived);
    REQUIRE(error == boost::asio::error::would_block);
    relay->setCut(false);
    far.non_blocking(false);
    boost::asio::read(far, boost::asio::buffer(received));
    REQUIRE(received == "two");
}

// Guards against a runner that waits for ever for a process that has ended, or leaves processes behind.
TEST_CASE("a child process that ends early is reported and one that runs is ended", "[Scenario]")
{
    Scenario::ChildProcess early = Scenario::ChildProcess::start({ "/bin/true" }, "/dev/null").value();
    REQUIRE_FALSE(early.waitReady(std::chrono::seconds(10)));
    REQUIRE(early.waitEnd(std::chrono::seconds(10)));
    Scenario::ChildProcess ready
        = Scenario::ChildProcess::start({ "/bin/sh", "-c", "echo noise; echo ready a=1; exec sleep 60" }, "/dev/null")
              .value();
    REQUIRE(ready.waitReady(std::chrono::seconds(10)).value() == "ready a=1");
    ready.signal(SIGSTOP);
    REQUIRE(ready.isRunning());
    ready.signal(SIGKILL);
    REQUIRE(ready.waitEnd(std::chrono::seconds(10)));
    const Scenario::CommandOutput output = Scenario::runCommand({ "/bin/sh", "-c", "echo a; exit 3" }, "/dev/null");
    REQUIRE(output.exitCode == 3);
    REQUIRE(output.output == "a\n");
}
