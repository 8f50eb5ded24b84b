#include "celeryswitch/Sidecar/EndpointClient.h"
#include "TestEndpoint.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace celeryswitch::Sidecar;
using Messages::TaskOutcome;
using Messages::TaskReason;
using namespace std::chrono_literals;

namespace {

// An endpoint client that runs its calls sequentially.
struct ClientFixture {
    explicit ClientFixture(EndpointClientSettings settings)
        : client(this->context, std::move(settings))
    {
    }
    Messages::TaskResult call(const std::string& body, Core::Duration timeout = 10s)
    {
        std::vector<CallResult> results;
        this->client.call({ { { 0, 1 }, ++this->lastTask }, "stock-check", body, timeout },
            [&](CallResult result) { results.push_back(std::move(result)); });
        this->context.restart();
        this->context.run();
        REQUIRE(results.size() == 1);
        REQUIRE(results[0].task.taskIndex == this->lastTask);
        return results[0].result;
    }

    boost::asio::io_context context;
    EndpointClient client;
    std::uint32_t lastTask = 0;
};

}

// Guards against one connection per task, and against responses assigned to the wrong task.
TEST_CASE("calls share persistent connections", "[Sidecar][threads]")
{
    TestEndpoint endpoint;
    ClientFixture fixture({ endpoint.address(), "ordering" });
    for (int round = 0; round < 5; ++round) {
        const auto result = fixture.call("hello " + std::to_string(round));
        REQUIRE(result.outcome == TaskOutcome::Succeeded);
        REQUIRE(result.statusCode == 200);
        REQUIRE(result.body == "hello " + std::to_string(round));
    }
    REQUIRE(fixture.client.openedConnections() == 1);
    REQUIRE(fixture.call("error").outcome == TaskOutcome::Failed);
    REQUIRE(fixture.call(std::string(300'000, 'x')).body.size() == 300'000);
}

// Guards against retrying a request that the endpoint may have started.
TEST_CASE("a lost connection or a timeout leaves the task unconfirmed without a retry", "[Sidecar][threads]")
{
    TestEndpoint endpoint;
    ClientFixture fixture({ endpoint.address(), "ordering" });
    REQUIRE(fixture.call("warm up").outcome == TaskOutcome::Succeeded);
    const auto lost = fixture.call("close");
    REQUIRE(lost.outcome == TaskOutcome::Unconfirmed);
    REQUIRE(lost.reason == TaskReason::EndpointConnectionLost);
    const auto late = fixture.call("stall", 50ms);
    REQUIRE(late.outcome == TaskOutcome::Unconfirmed);
    REQUIRE(late.reason == TaskReason::EndpointTimeout);
    REQUIRE(endpoint.requestCount() == 3);
}

// Guards against losing tasks on an idle connection that the endpoint has closed.
TEST_CASE("an idle connection that the endpoint closed is not used", "[Sidecar][threads]")
{
    TestEndpoint endpoint;
    ClientFixture fixture({ endpoint.address(), "ordering" });
    for (int round = 0; round < 10; ++round) {
        REQUIRE(fixture.call("last").outcome == TaskOutcome::Succeeded);
        const auto limit = std::chrono::steady_clock::now() + 10s;
        while (endpoint.closedCount() <= round && std::chrono::steady_clock::now() < limit)
            std::this_thread::yield();
    }
    REQUIRE(endpoint.requestCount() == 10);
}

// Guards against reporting tasks as unconfirmed that certainly did not run, and against exceeding the connection limit.
TEST_CASE("a task whose connection is refused is reported as never started", "[Sidecar][threads]")
{
    TestEndpoint endpoint;
    ClientFixture fixture({ endpoint.address(), "ordering" });
    REQUIRE(fixture.call("x").outcome == TaskOutcome::Succeeded);
    bool isReachable = false;
    fixture.client.probe([&](bool answer) { isReachable = answer; });
    fixture.context.restart();
    fixture.context.run();
    REQUIRE(isReachable);
    endpoint.stop();
    const auto refused = fixture.call("x");
    REQUIRE(refused.outcome == TaskOutcome::NeverStarted);
    REQUIRE(refused.reason == TaskReason::EndpointRefusedConnection);
    fixture.client.probe([&](bool answer) { isReachable = answer; });
    fixture.context.restart();
    fixture.context.run();
    REQUIRE_FALSE(isReachable);
}

// Guards against a response that exhausts the sidecar's memory, and against header injection through a kind.
TEST_CASE("an oversized response fails the task", "[Sidecar][threads]")
{
    TestEndpoint endpoint;
    ClientFixture fixture(
        { .address = endpoint.address(), .service = "a\r\nContent-Length: 0", .maximumResultBytes = 1000 });
    REQUIRE(fixture.call("short").body == "short");
    const auto result = fixture.call(std::string(1001, 'x'));
    REQUIRE(result.outcome == TaskOutcome::Failed);
    REQUIRE(result.reason == TaskReason::TooLarge);
}

// Guards against calls to another process of the machine: a wrong address left the loopback address and the low bits of
// the port in place.
TEST_CASE("an endpoint whose address is unusable is never called", "[Sidecar][threads]")
{
    TestEndpoint endpoint;
    const std::string address = endpoint.address();
    const std::string wrapped
        = "127.0.0.1:" + std::to_string(std::stoul(address.substr(address.rfind(':') + 1)) + 65536);
    for (const std::string& wrong : { wrapped, "endpoint" + address.substr(address.rfind(':')) }) {
        INFO(wrong);
        ClientFixture fixture({ wrong, "ordering" });
        REQUIRE(fixture.call("hello").outcome == TaskOutcome::NeverStarted);
    }
}
