#include "CoreFixture.h"
#include "celeryswitch/Network/MessageCodec.h"
#include <algorithm>

using namespace celeryswitch;
using namespace celeryswitch::Sidecar;
using Messages::TaskOutcome;
using Messages::TaskReason;
using namespace std::chrono_literals;

namespace {

// A configuration delivery that drains the sidecar or ends its draining.
Messages::ConfigurationDelivery delivery(std::uint64_t version, std::int64_t isDrained)
{
    Configuration::ConfigurationDocument document;
    document.version = version;
    document.exceptions.push_back({ "x", Configuration::ScopeKind::Endpoint, "sidecar-1",
        Configuration::ConfigurationKey::EndpointDrained, isDrained, "test" });
    return { version, Network::encodeMessage(document) };
}

}

// Guards against a fast-failing endpoint that attracts the load of the fleet.
TEST_CASE("slots of a failing endpoint are released with a growing delay", "[Sidecar]")
{
    CoreFixture fixture(8);
    fixture.connect(1, "entry-1");
    std::uint32_t credits = 8;
    std::size_t failed = 0;
    std::uint64_t job = 0;
    for (int step = 0; step < 6000; ++step) {
        for (; credits > 0; --credits)
            fixture.receive(1, fixture.start(++job, 0, 1, 1));
        for (; failed < fixture.calls.size(); ++failed)
            fixture.finish(fixture.calls[failed].task, TaskOutcome::Failed, TaskReason::EndpointError, 500);
        fixture.creditsReturned = 0;
        fixture.takeResults(1);
        for (const auto& update : fixture.take<Messages::CreditUpdate>(1))
            credits += step == 0 ? 0 : update.granted;
        credits += fixture.creditsReturned;
        fixture.advance(10ms);
    }
    // Within one minute: the first 8, a few while the delay grows, then one every 2 s.
    REQUIRE(failed <= 45);
    REQUIRE(failed >= 30);
}

// Guards against an endpoint that stays throttled after its recovery, and against blaming it for bad requests.
TEST_CASE("one success releases all slots, and rejected requests withhold none", "[Sidecar]")
{
    CoreFixture fixture(4);
    fixture.connect(1, "entry-1");
    for (std::uint64_t job = 1; job <= 4; ++job)
        fixture.receive(1, fixture.start(job, 0, 1, 1));
    fixture.finish(fixture.calls[0].task, TaskOutcome::Failed, TaskReason::EndpointError, 404);
    fixture.takeResults(1);
    REQUIRE(fixture.creditsReturned == 1);
    fixture.finish(fixture.calls[1].task, TaskOutcome::Unconfirmed, TaskReason::EndpointTimeout, 0);
    fixture.finish(fixture.calls[2].task, TaskOutcome::Failed, TaskReason::EndpointError, 503);
    fixture.takeResults(1);
    REQUIRE(fixture.creditsReturned == 1);
    fixture.finish(fixture.calls[3].task);
    fixture.takeResults(1);
    REQUIRE(fixture.creditsReturned == 4);
}

// Guards against losing tasks while the endpoint is down, and against draining that never ends.
TEST_CASE("a sidecar drains itself while its endpoint refuses connections", "[Sidecar]")
{
    CoreFixture fixture(4);
    fixture.connect(1, "entry-1");
    fixture.heartbeat("entry-1");
    fixture.receive(1, fixture.start(1, 0, 6, 4, 6));
    for (std::size_t index = 0; index < 3; ++index)
        fixture.finish(fixture.calls[index].task, TaskOutcome::NeverStarted, TaskReason::EndpointRefusedConnection, 0);
    REQUIRE(fixture.core.isDraining());
    REQUIRE(fixture.heartbeats.back().heartbeat.isDraining);
    auto results = fixture.takeResults(1);
    REQUIRE(results.size() == 5);
    REQUIRE(std::count_if(results.begin(), results.end(), [](const auto& result) {
        return result.outcome == TaskOutcome::NeverStarted && result.reason == TaskReason::Draining;
    }) == 2);
    REQUIRE(fixture.core.taskFence().taskCount() == 1);
    fixture.receive(1, fixture.start(2, 0, 1, 0));
    REQUIRE(fixture.takeResults(1)[0].reason == TaskReason::Draining);
    fixture.finish(fixture.calls[3].task);
    fixture.advance(250ms);
    REQUIRE(fixture.probes == 1);
    fixture.core.probeFinished(fixture.clock.steadyNow(), false);
    fixture.advance(250ms);
    REQUIRE(fixture.probes == 2);
    fixture.core.probeFinished(fixture.clock.steadyNow(), true);
    fixture.poll();
    REQUIRE_FALSE(fixture.core.isDraining());
    REQUIRE_FALSE(fixture.heartbeats.back().heartbeat.isDraining);
    fixture.receive(1, fixture.start(2, 0, 1, 1));
    REQUIRE(fixture.calls.size() == 5);
}

// Guards against a shutdown that aborts running tasks, starts queued ones, or withholds a result.
TEST_CASE("a graceful stop finishes running tasks and starts none", "[Sidecar]")
{
    CoreFixture fixture(2);
    fixture.connect(1, "entry-1");
    fixture.heartbeat("entry-1");
    fixture.receive(1, fixture.start(1, 0, 5, 2, 300));
    fixture.core.stop(fixture.clock.steadyNow());
    fixture.poll();
    REQUIRE(fixture.heartbeats.back().heartbeat.isDraining);
    const auto refused = fixture.takeResults(1);
    REQUIRE(refused.size() == 3);
    REQUIRE(refused[0].reason == TaskReason::ShuttingDown);
    REQUIRE_FALSE(fixture.core.isStopped());
    fixture.finish(fixture.calls[0].task);
    REQUIRE_FALSE(fixture.core.isStopped());
    fixture.finish(fixture.calls[1].task);
    REQUIRE(fixture.takeResults(1).size() == 2);
    REQUIRE(fixture.core.isStopped());
    REQUIRE(fixture.calls.size() == 2);
}

// Guards against a configuration that reverts, is fetched needlessly, or does not take effect.
TEST_CASE("a newer configuration is fetched once and never reverted", "[Sidecar]")
{
    CoreFixture fixture;
    fixture.connect(1, "entry-1");
    fixture.connect(2, "entry-2");
    fixture.heartbeat("entry-1", {}, 7);
    fixture.heartbeat("entry-2", {}, 7);
    REQUIRE(fixture.take<Messages::FetchConfiguration>(1).size() == 1);
    REQUIRE(fixture.take<Messages::FetchConfiguration>(2).empty());
    fixture.receive(1, delivery(7, 1));
    REQUIRE(fixture.core.isDraining());
    fixture.receive(1, delivery(6, 0));
    Messages::ConfigurationDelivery damaged = delivery(9, 0);
    damaged.document.resize(damaged.document.size() / 2);
    fixture.receive(1, damaged);
    REQUIRE(fixture.core.configurationVersion() == 7);
    REQUIRE(fixture.core.isDraining());
    fixture.receive(1, delivery(8, 0));
    REQUIRE_FALSE(fixture.core.isDraining());
    fixture.heartbeat("entry-1", {}, 8);
    REQUIRE(fixture.take<Messages::FetchConfiguration>(1).empty());
}

// Guards against credits held by a crashed entry, and against endless heartbeats to it.
TEST_CASE("an unresponsive entry loses its connection and credits after three seconds", "[Sidecar]")
{
    CoreFixture fixture;
    fixture.connect(1, "entry-1");
    fixture.heartbeat("entry-1");
    for (int step = 0; step < 6; ++step)
        fixture.advance(500ms);
    REQUIRE(fixture.closed.empty());
    REQUIRE(fixture.heartbeats.size() >= 6);
    fixture.advance(501ms);
    REQUIRE(fixture.closed == std::vector<ConnectionId> { 1 });
    const std::size_t sent = fixture.heartbeats.size();
    fixture.advance(5s);
    REQUIRE(fixture.heartbeats.size() == sent);
    fixture.connect(2, "entry-2");
    REQUIRE(fixture.take<Messages::CreditUpdate>(2)[0].granted == 2);
}

// Guards against peers that skip Hello, are not entries, or send nothing.
TEST_CASE("a connection without a valid Hello is closed", "[Sidecar]")
{
    CoreFixture fixture;
    fixture.core.connectionOpened(fixture.clock.steadyNow(), 1);
    fixture.receive(1, fixture.start(1, 0, 1, 1));
    fixture.core.connectionOpened(fixture.clock.steadyNow(), 2);
    fixture.receive(2, Messages::Hello { Messages::Role::Sidecar, "sidecar-2" });
    fixture.core.connectionOpened(fixture.clock.steadyNow(), 3);
    fixture.advance(2001ms);
    REQUIRE(fixture.closed == std::vector<ConnectionId> { 1, 2, 3 });
    REQUIRE(fixture.calls.empty());
}
