#include "celeryswitch/Scheduling/PlacementWait.h"
#include "UnitTests/Scheduling/SchedulerFixture.h"
#include <cmath>
#include <limits>

using namespace celeryswitch;
using namespace celeryswitch::Scheduling;

namespace {

// A step of 60 ms with a goal of 1.6 times its time plus 50 ms.
PlacementWaitQuery makeQuery(double nearWaitSeconds, double farFactor)
{
    PlacementWaitQuery query;
    query.places.nearWaitSeconds = nearWaitSeconds;
    query.time = { 0.06, 0.2 };
    query.farFactor = farFactor;
    query.stretch = 1.6;
    query.slackSeconds = 0.05;
    query.callerTimeoutSeconds = 1.5;
    return query;
}

// The same query after a wait in which nothing changed.
PlacementWaitQuery laterBy(PlacementWaitQuery query, double seconds)
{
    query.waitedSeconds += seconds;
    query.slackSeconds -= seconds;
    query.callerTimeoutSeconds -= seconds;
    return query;
}

SchedulerSettings farSettings(double farFactor)
{
    SchedulerSettings settings;
    settings.dataCentre = "a";
    settings.farFactor = farFactor;
    return settings;
}

// Two workers; side-1 is in rack-side-1, which the jobs prefer.
class RackFixture : public SchedulerFixture {
public:
    explicit RackFixture(double farFactor = 2)
        : SchedulerFixture(2, farSettings(farFactor))
    {
    }
    SubmitJob makeRackJob(std::uint64_t id, std::uint32_t tasks = 1, std::uint32_t declaredMilliseconds = 60) const
    {
        SubmitJob submission = this->makeJob(id, tasks);
        submission.job.steps[0].dataRack = "rack-side-1";
        submission.job.steps[0].declaredMilliseconds = declaredMilliseconds;
        return submission;
    }
    // The rack is full and releases room at this rate; the other worker is idle.
    void fillRack(std::int64_t freedMilliCoresPerSecond)
    {
        this->load.freedMilliCoresPerSecond = freedMilliCoresPerSecond;
        this->update("side-1", { 0, 65'536, 0 });
        this->load.freedMilliCoresPerSecond = 0;
        this->update("side-2", { 32'000, 65'536, 0 });
    }
    std::uint64_t count(const char* name, const Metrics::Labels& labels = {})
    {
        return this->registry.counter(name, "", labels).value();
    }
    std::size_t startsOn(const std::string& sidecar) const
    {
        std::size_t tasks = 0;
        for (const auto& [each, start] : this->starts)
            tasks += each == sidecar ? start.tasks.size() : 0;
        return tasks;
    }
};

}

// Guards against tasks that run far although a near worker is free within a fraction of the additional time.
TEST_CASE("a step waits while its expected finish is earlier near", "[Scheduling][placement-wait]")
{
    const PlacementWaitDecision decision = decidePlacementWait(makeQuery(0.005, 2));
    REQUIRE(decision.isWaiting);
    REQUIRE(decision.nearFinishSeconds < decision.farFinishSeconds);
    REQUIRE(decision.longestSeconds > 0);
    REQUIRE(decision.longestSeconds <= 0.06 * std::exp(0.02) + 1e-9);
}

// Guards against waits that cost more than the far run.
TEST_CASE("a step does not wait for longer than a far run takes beyond a near one", "[Scheduling][placement-wait]")
{
    REQUIRE_FALSE(decidePlacementWait(makeQuery(0.08, 2)).isWaiting);
    for (const double factor : { 1.1, 1.5, 2.0, 3.0, 100.0 }) {
        for (const double wait : { 0.001, 0.01, 0.05, 0.1, 0.3 }) {
            const PlacementWaitQuery query = makeQuery(wait, factor);
            const PlacementWaitDecision decision = decidePlacementWait(query);
            INFO("factor " << factor << ", wait " << wait);
            if (decision.isWaiting)
                REQUIRE(decision.longestSeconds <= (factor - 1) * 0.06 * std::exp(0.02) + 1e-9);
        }
    }
}

// Guards against a wait that is given up early or goes on although it no longer pays: the decision holds until the time
// that it states, and no longer.
TEST_CASE("a wait ends at the stated time", "[Scheduling][placement-wait]")
{
    for (const double factor : { 1.5, 2.0, 3.0 }) {
        for (const double wait : { 0.002, 0.01, 0.02 }) {
            const PlacementWaitQuery query = makeQuery(wait, factor);
            const PlacementWaitDecision decision = decidePlacementWait(query);
            INFO("factor " << factor << ", wait " << wait << ", until " << decision.longestSeconds);
            REQUIRE(decision.isWaiting);
            CHECK(decidePlacementWait(laterBy(query, decision.longestSeconds * 0.9)).isWaiting);
            CHECK_FALSE(decidePlacementWait(laterBy(query, decision.longestSeconds + 1e-6)).isWaiting);
        }
    }
}

// Guards against a comparison of expected finishes alone: a far run that is likely too late is worse than a near one
// that is in time, and a wait that uses up the goal is worse than a far run in time.
TEST_CASE("the response goal decides before the expected finish", "[Scheduling][placement-wait]")
{
    PlacementWaitQuery longTask = makeQuery(0.2, 2);
    longTask.time = { 0.9, 0.2 };
    const PlacementWaitDecision inTimeNear = decidePlacementWait(longTask);
    REQUIRE(inTimeNear.isWaiting);
    REQUIRE(inTimeNear.reason == PlacementWaitReason::InTimeNear);

    PlacementWaitQuery littleSlack = makeQuery(0.055, 2);
    littleSlack.slackSeconds = 0.035;
    const PlacementWaitDecision inTimeElsewhere = decidePlacementWait(littleSlack);
    REQUIRE_FALSE(inTimeElsewhere.isWaiting);
    REQUIRE(inTimeElsewhere.reason == PlacementWaitReason::InTimeElsewhere);
    REQUIRE(inTimeElsewhere.nearFinishSeconds < inTimeElsewhere.farFinishSeconds);
}

// Guards against waits for a rack that has stopped to release room.
TEST_CASE("a step does not wait for a rack that releases no room", "[Scheduling][placement-wait]")
{
    const PlacementWaitDecision decision = decidePlacementWait(makeQuery(std::numeric_limits<double>::infinity(), 3));
    REQUIRE_FALSE(decision.isWaiting);
    REQUIRE(decision.reason == PlacementWaitReason::NoReleaseNear);
}

// Guards against far runs while all workers are busy alike.
TEST_CASE("a step waits near when elsewhere has no room either", "[Scheduling][placement-wait]")
{
    PlacementWaitQuery query = makeQuery(0.02, 1.5);
    query.places.farWaitSeconds = 0.02;
    REQUIRE(decidePlacementWait(query).isWaiting);
    query.places.farWaitSeconds = std::numeric_limits<double>::infinity();
    REQUIRE(decidePlacementWait(query).isWaiting);
}

// Guards against a step whose tasks start far while room near is about to be released, and against waits in vain that
// are not known to the sidecars: room near is reserved and taken when it is offered.
TEST_CASE("a step that waits reserves room in its rack only", "[Scheduling][placement-wait]")
{
    RackFixture fixture;
    fixture.fillRack(300'000);
    fixture.submit(1, fixture.makeRackJob(1));
    REQUIRE(fixture.starts.empty());
    REQUIRE(fixture.reserves.size() == 1);
    REQUIRE(fixture.reserves[0].first == "side-1");
    REQUIRE(fixture.count("celeryswitch_rack_waits_total") == 1);
    fixture.offer(fixture.reserves[0]);
    REQUIRE(fixture.reservedTasks(1) == 1);
    REQUIRE(fixture.count("celeryswitch_tasks_placed_total", { { "place", "near" } }) == 1);
    REQUIRE(fixture.count("celeryswitch_rack_wait_fallbacks_total") == 0);
}

// Guards against a wait that outlasts its worth when the sidecars report nothing more.
TEST_CASE("a step that waited in vain runs elsewhere", "[Scheduling][placement-wait]")
{
    RackFixture fixture;
    fixture.fillRack(300'000);
    fixture.submit(1, fixture.makeRackJob(1));
    REQUIRE(fixture.starts.empty());
    const Core::SteadyTime until = fixture.now() + std::chrono::milliseconds(70);
    while (fixture.now() < until && fixture.starts.empty()) {
        const Core::SteadyTime next = std::max(fixture.scheduler.nextWakeUp(), fixture.now());
        fixture.advance(std::max<Core::Duration>(next - fixture.now(), std::chrono::microseconds(100)));
    }
    REQUIRE(fixture.startsOn("side-2") == 1);
    // The sidecar drops the reservation by then, and room that it offers late is released.
    REQUIRE(fixture.reserves[0].second.startWithinMicroseconds <= 70'000);
    fixture.offer(fixture.reserves[0]);
    REQUIRE(fixture.isReleased(fixture.reserves[0]));
    REQUIRE(fixture.reservedTasks(1) == 0);
    REQUIRE(fixture.count("celeryswitch_rack_wait_fallbacks_total") == 1);
    REQUIRE(fixture.count("celeryswitch_tasks_placed_total", { { "place", "far" } }) == 1);
}

// Guards against tasks that keep waiting for a rack whose sidecars are gone.
TEST_CASE("a wait ends when the connection to the rack is lost", "[Scheduling][placement-wait]")
{
    RackFixture fixture;
    fixture.fillRack(300'000);
    fixture.submit(1, fixture.makeRackJob(1, 1, 900));
    REQUIRE(fixture.starts.empty());
    fixture.scheduler.sidecarDisconnected("side-1");
    fixture.pollScheduler();
    REQUIRE(fixture.startsOn("side-2") == 1);
}

// Guards against far runs that make the model expect all tasks to take longer, and a worker to be slow.
TEST_CASE("run times of far runs are learned without the far factor", "[Scheduling][placement-wait]")
{
    RackFixture fixture;
    for (std::uint64_t id = 1; id <= 40; ++id) {
        fixture.fillRack(0);
        fixture.submit(id, fixture.makeRackJob(id));
        REQUIRE(fixture.starts.back().first == "side-2");
        // The expected time on the far worker is that of near runs times the factor.
        REQUIRE(fixture.starts.back().second.expectedMilliseconds > 90);
        REQUIRE(fixture.starts.back().second.expectedMilliseconds < 140);
        fixture.update("side-2", { 32'000, 65'536, 0 },
            { { fixture.orderedTask(id, 0), fixture.runOf(id, 0), RunState::Ended, RunEnd::Done, RunRefusal::None,
                120'000, 0 } });
        REQUIRE(fixture.answers.at(id).state == JobState::Completed);
    }
    fixture.scheduler.collect(fixture.registry);
    const auto learned = [&](const char* place) {
        return fixture.registry
            .gauge("celeryswitch_place_run_seconds", "", { { "queue", "checkout" }, { "place", place } })
            .value();
    };
    REQUIRE(learned("far") == Approx(0.12));
    REQUIRE(learned("near") == 0);
}

// Guards against restarts on far workers of runs that would take longer there.
TEST_CASE("the extrapolated time of a restart counts the far factor", "[Scheduling][placement-wait]")
{
    for (const double factor : { 1.0, 3.0 }) {
        RackFixture fixture(factor);
        fixture.submit(1, fixture.makeRackJob(1, 1, 400));
        REQUIRE(fixture.startsOn("side-1") == 1);
        // The near worker turns out to run at a third of the ordinary speed.
        fixture.load.pacePercent = 33;
        fixture.update("side-1", { 0, 65'536, 0 },
            { { fixture.orderedTask(1, 0), fixture.runOf(1, 0), RunState::Running, RunEnd::NotStarted, RunRefusal::None,
                120'000, 10 } });
        INFO("factor " << factor);
        REQUIRE(fixture.stops.size() == (factor > 1 ? 0 : 1));
    }
}

// Guards against changed decisions of deployments without a far factor and of steps without a rack.
TEST_CASE("without a factor or a rack no step waits", "[Scheduling][placement-wait]")
{
    RackFixture withoutFactor(1);
    withoutFactor.fillRack(300'000);
    withoutFactor.submit(1, withoutFactor.makeRackJob(1));
    REQUIRE(withoutFactor.startsOn("side-2") == 1);
    RackFixture withoutRack(3);
    withoutRack.fillRack(300'000);
    withoutRack.submit(1, withoutRack.makeJob(1));
    REQUIRE(withoutRack.startsOn("side-2") == 1);
    REQUIRE(withoutRack.count("celeryswitch_tasks_placed_total", { { "place", "near" } }) == 0);
}
