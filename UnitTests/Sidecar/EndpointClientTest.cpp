#include "celeryswitch/Sidecar/EndpointClient.h"
#include "TestEndpoint.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace celeryswitch::Sidecar;
using Messages::TaskOutcome;
using Messages::TaskReason;
using namespace std::chrono_literals;

namespace {

// A client whose calls run one after the other.
struct Caller {
    explicit Caller(EndpointClientSettings settings)
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

// Guards against a connection a task, and answers that are taken for those of other tasks.
TEST_CASE("calls share kept connections", "[Sidecar][threads]")
{
    TestEndpoint endpoint;
    Caller caller({ endpoint.address(), "ordering" });
    for (int round = 0; round < 5; ++round) {
        const auto result = caller.call("hello " + std::to_string(round));
        REQUIRE(result.outcome == TaskOutcome::Succeeded);
        REQUIRE(result.statusCode == 200);
        REQUIRE(result.body == "hello " + std::to_string(round));
    }
    REQUIRE(caller.client.openedConnections() == 1);
    REQUIRE(caller.call("error").outcome == TaskOutcome::Failed);
    REQUIRE(caller.call(std::string(300'000, 'x')).body.size() == 300'000);
}

// Guards against a request that is sent again after the endpoint may have started it.
TEST_CASE("a lost connection or a timeout leaves the task unconfirmed and is not repeated", "[Sidecar][threads]")
{
    TestEndpoint endpoint;
    Caller caller({ endpoint.address(), "ordering" });
    REQUIRE(caller.call("warm up").outcome == TaskOutcome::Succeeded);
    const auto lost = caller.call("close");
    REQUIRE(lost.outcome == TaskOutcome::Unconfirmed);
    REQUIRE(lost.reason == TaskReason::EndpointConnectionLost);
    const auto late = caller.call("stall", 50ms);
    REQUIRE(late.outcome == TaskOutcome::Unconfirmed);
    REQUIRE(late.reason == TaskReason::EndpointTimeout);
    REQUIRE(endpoint.requestCount() == 3);
}

// Guards against tasks that are lost because the endpoint closed an idle connection.
TEST_CASE("an idle connection that the endpoint closed is not used", "[Sidecar][threads]")
{
    TestEndpoint endpoint;
    Caller caller({ endpoint.address(), "ordering" });
    for (int round = 0; round < 10; ++round) {
        REQUIRE(caller.call("last").outcome == TaskOutcome::Succeeded);
        const auto limit = std::chrono::steady_clock::now() + 10s;
        while (endpoint.closedCount() <= round && std::chrono::steady_clock::now() < limit)
            std::this_thread::yield();
    }
    REQUIRE(endpoint.requestCount() == 10);
}

// Guards against "may have run" for tasks that certainly did not, and against connections beyond the limit.
TEST_CASE("a refused connection means never started", "[Sidecar][threads]")
{
    TestEndpoint endpoint;
    Caller caller({ endpoint.address(), "ordering" });
    REQUIRE(caller.call("x").outcome == TaskOutcome::Succeeded);
    bool isAnswering = false;
    caller.client.probe([&](bool answer) { isAnswering = answer; });
    caller.context.restart();
    caller.context.run();
    REQUIRE(isAnswering);
    endpoint.stop();
    const auto refused = caller.call("x");
    REQUIRE(refused.outcome == TaskOutcome::NeverStarted);
    REQUIRE(refused.reason == TaskReason::EndpointRefusedConnection);
    caller.client.probe([&](bool answer) { isAnswering = answer; });
    caller.context.restart();
    caller.context.run();
    REQUIRE_FALSE(isAnswering);
}

// Guards against an answer that uses up the sidecar's memory, and a header smuggled in through a kind.
TEST_CASE("an oversized answer fails the task", "[Sidecar][threads]")
{
    TestEndpoint endpoint;
    Caller caller({ .address = endpoint.address(), .service = "a\r\nContent-Length: 0", .maximumResultBytes = 1000 });
    REQUIRE(caller.call("short").body == "short");
    const auto result = caller.call(std::string(1001, 'x'));
    REQUIRE(result.outcome == TaskOutcome::Failed);
    REQUIRE(result.reason == TaskReason::TooLarge);
}
