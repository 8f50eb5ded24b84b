// Reports and claims name the order that they are about: a job may be admitted more than once.
#include "UnitTests/Scheduling/SchedulerFixture.h"

using namespace celeryswitch;
using namespace celeryswitch::Scheduling;
using namespace std::chrono_literals;

namespace {

constexpr Messages::Room fullWorker { 0, 65'536, 0 };

// A job that was ordered at side-2, lost its caller and was submitted again; both orders are for run 1 at side-2.
struct ResubmittedJob : SchedulerFixture {
    ResubmittedJob()
    {
        this->update("side-1", fullWorker);
        this->submit(1, this->makeJob(100));
        this->firstOrder = this->orderedTask(100, 0);
        this->scheduler.callerDisconnected(this->now(), 1);
        this->advance(1300ms);
        this->update("side-1", fullWorker);
        this->update("side-2", { 32'000, 65'536, 0 });
        this->submit(2, this->makeJob(100));
        REQUIRE(this->starts.size() == 2);
        REQUIRE(this->orderOf(100, 0) == std::pair<std::string, std::uint32_t>("side-2", 1));
        this->stops.clear();
        // There would be room for the task on another worker.
        this->update("side-1", { 32'000, 65'536, 0 });
    }
    Messages::OrderedTask firstOrder;
};

}

// Guards against a second run of a task whose job's first admission ended late: the end was taken for that of its
// second order, and the task was ordered elsewhere.
TEST_CASE("the end of a job's earlier admission does not end its later order", "[Scheduling]")
{
    ResubmittedJob fixture;
    fixture.update("side-2", { 32'000, 65'536, 0 },
        { { fixture.firstOrder, 1, RunState::Ended, RunEnd::Stopped, RunRefusal::Late, 250'000, 0 } });
    REQUIRE(fixture.starts.size() == 2);
    fixture.update("side-2", { 32'000, 65'536, 0 },
        { { fixture.orderedTask(100, 0), 2, RunState::Ended, RunEnd::Done, RunRefusal::None, 60'000, 0 } });
    REQUIRE(fixture.answers.at(2).state == JobState::Completed);
    REQUIRE(fixture.starts.size() == 2);
}

// Guards against a run of an ended admission that goes on because its job was submitted again.
TEST_CASE("a run of a job's earlier admission is stopped by its own order", "[Scheduling]")
{
    ResubmittedJob fixture;
    fixture.update("side-2", { 32'000, 65'536, 0 },
        { { fixture.firstOrder, 1, RunState::Running, RunEnd::NotStarted, RunRefusal::None, 250'000, 10 } });
    REQUIRE(fixture.starts.size() == 2);
    REQUIRE(fixture.stops.size() == 1);
    REQUIRE(fixture.stops.front().second.tasks == std::vector<Messages::OrderedTask> { fixture.firstOrder });
}

// Guards against a claim that takes the run of an earlier admission for that of the open order.
TEST_CASE("claims and stops name the open order", "[Scheduling]")
{
    ResubmittedJob fixture;
    fixture.scheduler.sidecarDisconnected("side-2");
    fixture.claims.clear();
    fixture.connect("side-2");
    REQUIRE(fixture.claims.size() == 1);
    REQUIRE(fixture.claims.front().second.runs.size() == 1);
    REQUIRE(fixture.claims.front().second.runs.front().ordered == fixture.orderedTask(100, 0));
    REQUIRE_FALSE(fixture.orderedTask(100, 0) == fixture.firstOrder);
    fixture.scheduler.callerDisconnected(fixture.now(), 2);
    fixture.pollScheduler();
    REQUIRE(fixture.stops.size() == 1);
    REQUIRE(fixture.stops.front().second.tasks.front() == fixture.orderedTask(100, 0));
}

// Guards against a worker that gets no work for its whole life, because its sidecar was restarted and learned from an
// entry that an earlier incarnation of the worker had drained.
TEST_CASE("a sidecar is not told that a worker drains whose earlier incarnation did", "[Scheduling]")
{
    SchedulerFixture fixture(1);
    const auto reconnect = [&](std::int64_t bornAt) {
        fixture.knownWorkers.clear();
        fixture.scheduler.sidecarDisconnected("side-1");
        Messages::Member member;
        member.identity.instanceId = "side-1";
        member.worker = { "w-side-1", bornAt, "loans", { 32'000, 65'536, 0 }, {} };
        fixture.scheduler.sidecarConnected(fixture.now(), member);
        fixture.pollScheduler();
        REQUIRE(fixture.knownWorkers.size() == 1);
        CHECK(fixture.knownWorkers[0].second.profile.bornAt == bornAt);
        return fixture.knownWorkers[0].second.isDraining;
    };
    fixture.load.isDraining = true;
    fixture.update("side-1", { 32'000, 65'536, 0 });
    CHECK(reconnect(1));
    CHECK_FALSE(reconnect(2));
}
