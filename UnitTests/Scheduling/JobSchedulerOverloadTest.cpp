#include "UnitTests/Scheduling/SchedulerFixture.h"
#include "celeryswitch/Scheduling/RefusalAdvice.h"

using namespace celeryswitch;
using namespace celeryswitch::Scheduling;
using namespace std::chrono_literals;

// Guards against a job that waits for its slowest queue under overload: each of its tasks was bound to one full worker
// while others released room earlier.
TEST_CASE("a task that has to wait takes the room that is offered first", "[Scheduling]")
{
    SchedulerFixture fixture(4);
    fixture.fillWorkers(4, 300'000);
    fixture.submit(1, fixture.makeJob(100));
    REQUIRE(fixture.starts.empty());
    REQUIRE(fixture.reserves.size() == 3);
    const auto first = fixture.reserves[2];
    fixture.offer(first);
    REQUIRE(fixture.reservedStarts.size() == 1);
    REQUIRE(fixture.reservedStarts[0].first == first.first);
    REQUIRE(fixture.reservedStarts[0].second.reservation == first.second.reservation);
    REQUIRE(fixture.reservedStarts[0].second.start.tasks
        == std::vector<std::pair<std::uint32_t, std::uint32_t>> { { 0, 1 } });
    REQUIRE(fixture.isReleased(fixture.reserves[0]));
    REQUIRE(fixture.isReleased(fixture.reserves[1]));
    // Offers that cross the release start nothing.
    fixture.offer(fixture.reserves[0]);
    fixture.offer(fixture.reserves[1]);
    REQUIRE(fixture.reservedStarts.size() == 1);
    fixture.update(first.first, { 0, 65'536, 0 },
        { { fixture.orderedTask(100, 0), 1, RunState::Ended, RunEnd::Done, RunRefusal::None, 60'000, 0 } });
    REQUIRE(fixture.answers.at(1).state == JobState::Completed);
}

// Guards against tasks that are started twice when more room is offered than a job needs.
TEST_CASE("surplus offers are released", "[Scheduling]")
{
    SchedulerFixture fixture(6);
    fixture.fillWorkers(6, 600'000);
    fixture.submit(1, fixture.makeJob(100, 3));
    std::size_t units = 0;
    for (const auto& reserve : std::vector(fixture.reserves)) {
        for (std::uint32_t unit = 0; unit < reserve.second.units; ++unit, ++units)
            fixture.offer(reserve);
    }
    REQUIRE(units == 9);
    REQUIRE(fixture.reservedTasks(100) == 3);
    std::set<std::uint32_t> tasks;
    for (const auto& [sidecar, reserved] : fixture.reservedStarts)
        tasks.insert(reserved.start.tasks.front().first);
    REQUIRE(tasks.size() == 3);
}

// Guards against reservations that outlive their job and keep room from others.
TEST_CASE("the reservations of a job end with it", "[Scheduling]")
{
    SchedulerFixture fixture(3);
    fixture.fillWorkers(3, 300'000);
    fixture.submit(1, fixture.makeJob(100));
    REQUIRE(fixture.reserves.size() == 3);
    fixture.scheduler.callerDisconnected(fixture.now(), 1);
    fixture.pollScheduler();
    for (const auto& reserve : fixture.reserves)
        REQUIRE(fixture.isReleased(reserve));
    fixture.offer(fixture.reserves[0]);
    REQUIRE(fixture.reservedStarts.empty());
}

// Guards against a request that is held until its caller has gone: reservations that are not answered end in time.
TEST_CASE("a job whose reservations are not answered is refused as not run", "[Scheduling]")
{
    SchedulerFixture fixture(3);
    fixture.fillWorkers(3, 300'000);
    const Core::SteadyTime arrival = fixture.now();
    fixture.submit(1, fixture.makeJob(100));
    while (fixture.answers.empty() && fixture.now() < arrival + 5s)
        fixture.advance(1ms);
    REQUIRE(fixture.answers.at(1).kind == AnswerKind::NotRun);
    REQUIRE(fixture.now() - arrival <= 1.6 * 60ms + 60ms);
}

// Guards against work that is placed on sidecars that were cut off, while the connection still looks open.
TEST_CASE("no work is placed on a sidecar that has stopped answering", "[Scheduling]")
{
    SchedulerFixture fixture(2);
    for (int round = 0; round < 3; ++round) {
        fixture.clock.advance(150ms);
        fixture.update("side-2", { 32'000, 65'536, 0 });
    }
    for (std::uint64_t job = 100; job < 110; ++job) {
        fixture.submit(job, fixture.makeJob(job));
        REQUIRE(fixture.orderOf(job, 0).first == "side-2");
    }
    // The runs that it has are neither stopped nor started elsewhere.
    REQUIRE(fixture.stops.empty());
}

// Guards against requests that no worker can ever serve and that are refused only after a wait.
TEST_CASE("a job that fits no worker is refused at once", "[Scheduling]")
{
    SchedulerFixture fixture;
    fixture.submit(1, fixture.makeJob(100, 1, 33'000));
    REQUIRE(fixture.answers.at(1).kind == AnswerKind::NotRun);
    REQUIRE(fixture.starts.empty());
    SubmitJob labelled = fixture.makeJob(101);
    labelled.job.steps[0].requiredLabel = "rare";
    fixture.submit(2, labelled);
    REQUIRE(fixture.answers.at(2).kind == AnswerKind::NotRun);
}

// Guards against callers that were refused in a flood and all return at the same moment, into the same flood.
TEST_CASE("refused callers return later and spread when more work waits", "[Scheduling]")
{
    std::set<std::int64_t> delays;
    for (std::uint64_t job = 1; job <= 100; ++job) {
        REQUIRE(retryDelay(0, job) >= 1s);
        REQUIRE(retryDelay(0, job) <= 2s);
        REQUIRE(retryDelay(4, job) >= 4s);
        REQUIRE(retryDelay(std::numeric_limits<double>::infinity(), job) <= 30s);
        delays.insert(std::chrono::duration_cast<std::chrono::milliseconds>(retryDelay(4, job)).count() / 500);
    }
    REQUIRE(delays.size() >= 6);
}

// Guards against more tasks of a step on one worker than allowed, when some wait for room that others have found
// already.
TEST_CASE("tasks per worker hold for tasks that are placed one after the other", "[Scheduling]")
{
    SchedulerFixture fixture(4);
    fixture.fillWorkers(4, 600'000);
    fixture.update("side-1", { 3000, 65'536, 0 });
    SubmitJob submission = fixture.makeJob(100, 2);
    submission.job.steps[0].tasksPerWorker = 1;
    fixture.submit(1, submission);
    REQUIRE(fixture.orderOf(100, 0).first == "side-1");
    REQUIRE(!fixture.reserves.empty());
    for (const auto& [sidecar, reserve] : fixture.reserves)
        REQUIRE(sidecar != "side-1");
    // Room on the worker that has a task of the step already.
    fixture.update("side-1", { 32'000, 65'536, 0 });
    REQUIRE(fixture.starts.size() == 1);
    fixture.offer(fixture.reserves[0]);
    REQUIRE(fixture.reservedTasks(100) == 1);
}

// Guards against new work on a sidecar that is no longer linked, and against state for one that was removed.
TEST_CASE("offers of sidecars that are no longer linked are declined", "[Scheduling]")
{
    SchedulerFixture fixture(3);
    fixture.fillWorkers(3, 300'000);
    fixture.submit(1, fixture.makeJob(100));
    const auto reserve = fixture.reserves[0];
    std::set<Core::InstanceId> linked { "side-1", "side-2", "side-3" };
    linked.erase(reserve.first);
    fixture.scheduler.setLinkedSidecars(fixture.now(), linked);
    fixture.offer(reserve);
    REQUIRE(fixture.reservedStarts.empty());
    REQUIRE(fixture.isReleased(reserve));
    fixture.scheduler.removeSidecar(reserve.first);
    fixture.offer(reserve);
    REQUIRE(fixture.scheduler.workers().count(reserve.first) == 0);
}

// Guards against offers of an earlier connection, or of an earlier admission of the job, that order a task.
TEST_CASE("offers for reservations that have ended start nothing", "[Scheduling]")
{
    SchedulerFixture fixture(3);
    fixture.fillWorkers(3, 300'000);
    fixture.submit(1, fixture.makeJob(100));
    REQUIRE(fixture.reserves.size() == 3);
    const auto first = fixture.reserves[0];
    SECTION("the sidecar reconnects before the offer is answered")
    {
        fixture.scheduler.roomOffered(first.first, { first.second.reservation });
        fixture.scheduler.sidecarDisconnected(first.first);
        fixture.connect(first.first, { 0, 65'536, 0 });
    }
    SECTION("the job was admitted again")
    {
        fixture.scheduler.callerDisconnected(fixture.now(), 1);
        fixture.submit(2, fixture.makeJob(100));
        REQUIRE(fixture.reserves.size() == 6);
        fixture.offer(first);
    }
    SECTION("another sidecar offers the reservation") { fixture.offer({ fixture.reserves[1].first, first.second }); }
    CHECK(fixture.reservedStarts.empty());
    // Only the reservations of the present order one run of the task.
    for (const auto& reserve : std::vector(fixture.reserves))
        fixture.offer(reserve);
    CHECK(fixture.reservedStarts.size() == 1);
    CHECK(fixture.starts.empty());
}

// Guards against a task that is ordered in offered room while its order elsewhere is open.
TEST_CASE("an offer that crosses an order in free room starts nothing", "[Scheduling]")
{
    SchedulerFixture fixture(4);
    fixture.fillWorkers(4, 300'000);
    fixture.submit(1, fixture.makeJob(100));
    REQUIRE(fixture.reserves.size() == 3);
    // Room is free elsewhere before any offer arrives.
    fixture.update("side-4", { 32'000, 65'536, 0 });
    fixture.update("side-1", { 32'000, 65'536, 0 });
    REQUIRE(fixture.starts.size() == 1);
    for (const auto& reserve : std::vector(fixture.reserves)) {
        fixture.offer(reserve);
        fixture.offer(reserve);
        CHECK(fixture.isReleased(reserve));
    }
    CHECK(fixture.reservedStarts.empty());
    CHECK(fixture.starts.size() == 1);
}

// Guards against the congestion collapse of an entry whose every message costs more the more jobs wait.
TEST_CASE("an update without new room places no waiting job anew", "[Scheduling]")
{
    SchedulerFixture fixture(4);
    fixture.fillWorkers(4, 300'000);
    for (RequestNumber request = 1; request <= 20; ++request)
        fixture.submit(request, fixture.makeJob(100 + request));
    REQUIRE(!fixture.reserves.empty());
    const std::uint64_t before = fixture.scheduler.work().candidatesEvaluated;
    for (int update = 0; update < 10; ++update)
        fixture.update("side-1", { 0, 65'536, 0 });
    CHECK(fixture.scheduler.work().candidatesEvaluated == before);
    // Room that appears on one worker is still used at once.
    fixture.update("side-2", { 32'000, 65'536, 0 });
    CHECK(!fixture.starts.empty());
}

// Guards against a refusal for want of room while a worker has had room since the job's last placement.
TEST_CASE("a job that is due for refusal takes room that appeared since its last placement", "[Scheduling]")
{
    SchedulerFixture fixture(2);
    fixture.fillWorkers(2, 0);
    fixture.submit(1, fixture.makeJob(100, 2));
    REQUIRE(fixture.reserves.empty());
    fixture.advance(5ms);
    fixture.update("side-1", { 32'000, 65'536, 0 });
    fixture.advance(100ms);
    CHECK(!fixture.starts.empty());
}

// Guards against tasks that start on a worker without the label that they need: room was reserved on it, it returned
// as another kind, and its sidecar offered the room.
TEST_CASE("room that was reserved on an earlier incarnation of a worker is not used", "[Scheduling]")
{
    SchedulerFixture fixture(3);
    fixture.fillWorkers(3, 300'000);
    fixture.submit(1, fixture.makeJob(100, 1));
    REQUIRE(!fixture.reserves.empty());
    const auto reserve = fixture.reserves[0];
    SECTION("the worker lives on")
    {
        fixture.offer(reserve);
        REQUIRE(fixture.reservedStarts.size() == 1);
        CHECK(fixture.reservedStarts[0].second.start.bornAt == 1);
    }
    SECTION("another incarnation")
    {
        fixture.bornAt = 2;
        fixture.update(reserve.first, { 0, 65'536, 0 });
        fixture.offer(reserve);
        CHECK(fixture.reservedStarts.empty());
        CHECK(fixture.isReleased(reserve));
    }
}

// Guards against a start order that a sidecar can't tell from one for an earlier incarnation of its worker.
TEST_CASE("a start order names the incarnation of the worker that it was decided on", "[Scheduling]")
{
    SchedulerFixture fixture(1);
    fixture.submit(1, fixture.makeJob(100));
    fixture.bornAt = 2;
    fixture.update("side-1", { 32'000, 65'536, 0 });
    fixture.submit(2, fixture.makeJob(101));
    REQUIRE(fixture.starts.size() == 2);
    CHECK(fixture.starts[0].second.bornAt == 1);
    CHECK(fixture.starts[1].second.bornAt == 2);
}
