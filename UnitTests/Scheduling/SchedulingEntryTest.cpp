// A SchedulingEntry on loopback, with callers that write to its socket.
#include "celeryswitch/Scheduling/SchedulingEntry.h"
#include "platform/ClientApi.h"
#include <array>
#include <boost/asio.hpp>
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace celeryswitch::Scheduling;
using namespace std::chrono_literals;

namespace {

using boost::asio::ip::tcp;

// An entry that no state replica tells of a routing document.
class LonelyEntry {
public:
    LonelyEntry()
        : log(logSettings(), this->clock)
        , endpoint(freeEndpoint(this->context))
        , entry(this->context, entrySettings(this->endpoint), this->clock, this->log, this->registry, this->protocol)
    {
        REQUIRE(this->entry.start());
    }

    // Answer to bytes on a connection of their own; empty when the connection ends without one.
    std::string answerTo(const std::string& bytes)
    {
        tcp::socket caller(this->context);
        caller.connect(this->endpoint);
        boost::asio::async_write(caller, boost::asio::buffer(bytes), [](const auto&, std::size_t) {});
        std::array<char, 4096> answer {};
        std::optional<std::size_t> size;
        caller.async_read_some(boost::asio::buffer(answer), [&](const auto&, std::size_t count) { size = count; });
        const auto end = std::chrono::steady_clock::now() + 10s;
        while (!size && std::chrono::steady_clock::now() < end) {
            this->context.restart();
            this->context.run_one_for(20ms);
        }
        REQUIRE(size.has_value());
        return { answer.data(), *size };
    }

private:
    static Logging::LogSettings logSettings()
    {
        Logging::LogSettings settings;
        settings.output = [](const std::string&) {};
        return settings;
    }
    // An address that the system chose.
    static tcp::endpoint freeEndpoint(boost::asio::io_context& context)
    {
        tcp::acceptor acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
        return acceptor.local_endpoint();
    }
    static SchedulingEntrySettings entrySettings(const tcp::endpoint& endpoint)
    {
        SchedulingEntrySettings settings;
        settings.instanceId = "entry-1";
        settings.callerAddress = endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
        settings.authenticationKeys = { 1, { { 1, "key" } } };
        return settings;
    }

    boost::asio::io_context context;
    Core::SystemClock clock;
    Logging::StructuredLog log;
    Metrics::MetricRegistry registry;
    Platform::ClientApi protocol;
    tcp::endpoint endpoint;
    SchedulingEntry entry;
};

}

// Guards against callers whose requests an entry that has just started refuses for good, by limits that no routing
// document names.
TEST_CASE("an entry without a routing document refuses large requests as not run", "[Scheduling]")
{
    LonelyEntry entry;
    const std::string largeBody = "POST /order/0000000000000001 HTTP/1.1\r\nHost: a\r\nContent-Length: 600000\r\n\r\n";
    const std::string largeHeader
        = "POST /order/0000000000000001 HTTP/1.1\r\nHost: a\r\nX: " + std::string(40'000, 'h') + "\r\n\r\n";
    for (const std::string& request : { largeBody, largeHeader }) {
        const std::string answer = entry.answerTo(request);
        CHECK(answer.substr(0, 12) == "HTTP/1.1 503");
        CHECK(answer.find("Retry-After: ") != std::string::npos);
    }
    // What no limit allows is refused for good.
    CHECK(entry.answerTo("no request\r\n\r\n").substr(0, 12) == "HTTP/1.1 400");
}
