// What an entry tells sidecars while the ends of its callers' connections may lie unread, and right after a stall.
#include "UnitTests/Scheduling/SchedulerFixture.h"
#include "celeryswitch/Scheduling/StallGuard.h"

using namespace celeryswitch;
using namespace celeryswitch::Scheduling;
using namespace std::chrono_literals;

// Guards against a sample that is younger than the moment at which a caller left: an entry that was stalled reads the
// updates of sidecars before the ends of connections, and sidecars let its runs go on until 1.3 s after the sample.
TEST_CASE("samples received since the last check of the callers are not returned", "[Scheduling]")
{
    for (const Core::Duration stall : { 0ms, 200ms, 400ms, 550ms }) {
        INFO(stall.count());
        SchedulerFixture fixture(1);
        fixture.submit(1, fixture.makeJob(100));
        REQUIRE(fixture.starts.size() == 1);
        const std::int64_t leftAt = Core::toClockSample(fixture.now());
        fixture.areCallersChecked = false;
        fixture.clock.advance(stall + 1ms);
        fixture.update("side-1", { 32'000, 65'536, 0 });
        fixture.advance(1ms);
        fixture.scheduler.callerDisconnected(fixture.now(), 1);
        fixture.scheduler.callersChecked(fixture.now());
        fixture.pollScheduler();
        REQUIRE(fixture.stops.size() == 1);
        CHECK(fixture.stops.front().second.clockEcho <= leftAt);
        fixture.advance(200ms);
        CHECK(fixture.echoes["side-1"].back() > leftAt);
    }
}

// Guards against checks that are due too rarely, which would let samples grow old and runs of a live entry end.
TEST_CASE("the callers are checked every 50 ms and before the first sample of a connection is returned", "[Scheduling]")
{
    SchedulerFixture fixture(1);
    fixture.scheduler.callersChecked(fixture.now());
    CHECK_FALSE(fixture.scheduler.isCallerCheckDue(fixture.now() + 49ms));
    CHECK(fixture.scheduler.isCallerCheckDue(fixture.now() + 50ms));
    fixture.echoes.clear();
    fixture.connect("side-1");
    REQUIRE(fixture.echoes["side-1"].size() == 1);
    CHECK(fixture.echoes["side-1"].front() == Core::toClockSample(fixture.now()));
    CHECK_FALSE(fixture.scheduler.isCallerCheckDue(fixture.now()));
}

// Guards against a sample of an earlier connection: the clock of a restarted machine may pass it again.
TEST_CASE("a sample of an earlier connection is not returned", "[Scheduling]")
{
    SchedulerFixture fixture(1);
    fixture.scheduler.sidecarDisconnected("side-1");
    fixture.echoes.clear();
    Messages::Member member;
    member.identity.instanceId = "side-1";
    fixture.scheduler.sidecarConnected(fixture.now(), member);
    fixture.advance(300ms);
    for (const std::int64_t echo : fixture.echoes["side-1"])
        CHECK(echo == 0);
}

// Guards against a job that is ended as too slow by a report that lay unread during a stall, while its end report lies
// behind it.
TEST_CASE("old progress does not end a job right after a stall", "[Scheduling]")
{
    SchedulerFixture fixture(1);
    SubmitJob job = fixture.makeJob(100);
    job.job.steps[0].declaredMilliseconds = 400;
    fixture.submit(1, job);
    fixture.clock.advance(500ms);
    fixture.scheduler.deferDecisions(fixture.now() + 100ms);
    fixture.update(
        "side-1", { 32'000, 65'536, 0 }, { { fixture.orderedTask(100, 0), 1, RunState::Running, {}, {}, 300'000, 5 } });
    REQUIRE(fixture.answers.empty());
    fixture.report("side-1", 100, 0, RunEnd::Done);
    REQUIRE(fixture.answers.at(1).state == JobState::Completed);
}

// Guards against a sidecar that hears nothing of the entry, or of the jobs that it ended, while it decides nothing.
TEST_CASE("stops and heartbeats are sent while decisions are deferred", "[Scheduling]")
{
    SchedulerFixture fixture(1);
    fixture.submit(1, fixture.makeJob(100));
    fixture.clock.advance(500ms);
    fixture.scheduler.deferDecisions(fixture.now() + 100ms);
    fixture.submit(2, fixture.makeJob(200));
    CHECK(fixture.starts.size() == 1);
    CHECK(fixture.scheduler.nextWakeUp() == fixture.now() + 100ms);
    fixture.scheduler.callerDisconnected(fixture.now(), 1);
    const std::size_t echoes = fixture.echoes["side-1"].size();
    fixture.pollScheduler();
    CHECK(fixture.stops.size() == 1);
    CHECK(fixture.echoes["side-1"].size() > echoes);
    fixture.update("side-1", { 32'000, 65'536, 0 });
    fixture.advance(100ms);
    CHECK(fixture.starts.size() == 2);
}

// Guards against decisions on old news after a freeze of 0.5 s, and against an entry that never decides because its
// machine is slow.
TEST_CASE("a stall of 0.3 s counts, repeated ones don't keep an entry from deciding", "[Scheduling]")
{
    Core::ManualClock clock;
    StallGuard guard;
    CHECK_FALSE(guard.isReadingBacklog(clock.steadyNow()));
    clock.advance(200ms);
    CHECK_FALSE(guard.isReadingBacklog(clock.steadyNow()));
    clock.advance(300ms);
    CHECK(guard.isReadingBacklog(clock.steadyNow()));
    CHECK(guard.backlogEnd() == clock.steadyNow() + 100ms);
    clock.advance(100ms);
    CHECK_FALSE(guard.isReadingBacklog(clock.steadyNow()));
    int deferred = 0;
    for (int stall = 0; stall < 10; ++stall) {
        clock.advance(300ms);
        deferred += guard.isReadingBacklog(clock.steadyNow()) ? 1 : 0;
    }
    CHECK(deferred > 0);
    CHECK(deferred < 4);
}
