// What a RunSupervisor may conclude about runs that it can't see, and how long such runs last.
#include "UnitTests/Workers/SupervisorFixture.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace celeryswitch::Workers;
using namespace std::chrono_literals;

namespace {

// Time after which the callers of a failed entry repeat their jobs at another one.
constexpr Core::Duration callerRetryDelay = 1300ms;

}

// Guards against a lease that other runs prolong while a run that must end can't be stopped.
TEST_CASE("a run whose stop goes unanswered ends before its callers retry", "[Workers]")
{
    ReadySupervisor fixture;
    fixture.connect(2, "entry-2");
    fixture.liveConnections = { 1, 2 };
    fixture.plan.time = 5s;
    fixture.startTasks(1, 1);
    fixture.startTasks(2, 2);
    fixture.advance(300ms);
    fixture.areStopsLost = true;
    fixture.liveConnections = { 2 };
    fixture.supervisor->entryDisconnected(fixture.now(), 1);
    const SteadyTime failedAt = fixture.now();
    fixture.advance(callerRetryDelay);
    REQUIRE(fixture.historyOf(1).front().endedAt - failedAt < callerRetryDelay);
}

// Guards against a lease that outlives a silent entry when the sidecar fails before it has noticed the silence.
TEST_CASE("the lease ends before the callers of a silent entry retry, also without the sidecar", "[Workers]")
{
    for (const Core::Duration silence : { 100ms, 400ms, 690ms }) {
        ReadySupervisor fixture;
        fixture.plan.time = 5s;
        fixture.startTasks(1, 1);
        fixture.advance(300ms);
        fixture.liveConnections.clear();
        const SteadyTime failedAt = fixture.now();
        fixture.advance(silence);
        fixture.advanceWorker(callerRetryDelay);
        REQUIRE(fixture.historyOf(1).front().endedAt - failedAt < callerRetryDelay);
    }
}

// Guards against a renewal that is executed seconds late, with its time counted from then, and keeps runs alive that
// everyone else considers ended.
TEST_CASE("an unanswered renewal is void once the worker has answered a later call", "[Workers]")
{
    ReadySupervisor fixture;
    fixture.plan.time = 9s;
    fixture.startTasks(1, 1);
    fixture.isNextLongPollLost = true;
    fixture.advance(500ms);
    REQUIRE(fixture.lostCalls.size() == 1);
    const SteadyTime sentAt = fixture.now();
    fixture.advance(500ms);
    const SteadyTime failedAt = fixture.now();
    fixture.advanceWorker(800ms);
    const std::optional<CallResult> result = fixture.executeLate(fixture.lostCalls.front(), sentAt);
    REQUIRE(result);
    CHECK(result->refusal == CallRefusal::Fence);
    fixture.advanceWorker(1s);
    REQUIRE(fixture.historyOf(1).front().endedAt - failedAt < 1s);
}

// Guards against a start of an earlier sidecar process that is executed after its task was declared lost.
TEST_CASE("a restarted sidecar voids the calls of its predecessor before it answers claims", "[Workers]")
{
    ReadySupervisor fixture;
    fixture.plan.time = 900ms;
    fixture.isNextStartLost = true;
    fixture.startTasks(1, 1);
    fixture.advance(5ms);
    REQUIRE(fixture.lostCalls.size() == 1);
    const SteadyTime sentAt = fixture.now();
    fixture.restart(6);
    fixture.connect(3, "entry-1");
    fixture.liveConnections = { 3 };
    fixture.claim(3, { 1 });
    fixture.advance(50ms);
    REQUIRE(fixture.isReportedEnded(1));
    fixture.executeLate(fixture.lostCalls.front(), sentAt);
    REQUIRE_FALSE(fixture.isRunning(1));
}

// Guards against a start of an earlier process that a worker without any fencing token executes.
TEST_CASE("tokens rise although both the sidecar and its worker are restarted", "[Workers]")
{
    ReadySupervisor fixture;
    fixture.advance(20s);
    fixture.isNextStartLost = true;
    fixture.startTasks(1, 1);
    fixture.advance(5ms);
    REQUIRE(fixture.lostCalls.size() == 1);
    const SteadyTime sentAt = fixture.now();
    fixture.restartWorker(90'000);
    fixture.restart(6);
    fixture.connect(3, "entry-1");
    fixture.liveConnections = { 3 };
    fixture.announceWorker();
    fixture.executeLate(fixture.lostCalls.front(), sentAt);
    REQUIRE_FALSE(fixture.isRunning(1));
}

// Guards against a run on a restarted worker that is reported as lost with those of its previous incarnation.
TEST_CASE("a start that a restarted worker accepted is not reported as lost while it runs", "[Workers]")
{
    ReadySupervisor fixture;
    fixture.advance(100ms);
    fixture.restartWorker(90'000);
    fixture.areStartsIdentified = false;
    fixture.plan.time = 600ms;
    fixture.startTasks(1, 1);
    fixture.advance(300ms);
    REQUIRE(fixture.isRunning(1));
    REQUIRE_FALSE(fixture.isReportedEnded(1));
    fixture.advance(500ms);
    REQUIRE(fixture.historyOf(1).size() == 1);
    REQUIRE(fixture.reportsOf(1).back().end == Messages::RunEnd::Done);
}

// Guards against runs of a crashed worker that are never reported.
TEST_CASE("runs are lost once another incarnation answers", "[Workers]")
{
    ReadySupervisor fixture;
    fixture.plan.time = 5s;
    fixture.startTasks(1, 1);
    fixture.advance(100ms);
    fixture.restartWorker(90'000);
    fixture.supervisor->workerAnnounced(fixture.now(), fixture.worker.announcement(fixture.now()));
    fixture.advance(700ms);
    REQUIRE(fixture.reportsOf(1).back().end == Messages::RunEnd::Lost);
    fixture.startTasks(1, 2);
    fixture.advance(20ms);
    REQUIRE(fixture.isRunning(2));
}

// Guards against runs that are declared lost because another writer's entry, or a late one, names another worker.
TEST_CASE("an announcement alone does not end the incarnation of a worker", "[Workers]")
{
    ReadySupervisor fixture;
    fixture.plan.time = 600ms;
    fixture.startTasks(1, 1);
    fixture.advance(100ms);
    for (const char* id : { "w1", "w9" }) {
        WorkerAnnouncement foreign = fixture.worker.announcement(fixture.now());
        foreign.workerId = id;
        foreign.workerStartedAt += 1'000'000;
        foreign.sequence = 4'000'000'000;
        foreign.clock += 4'000'000'000;
        fixture.supervisor->workerAnnounced(fixture.now(), foreign);
        fixture.advance(20ms);
        REQUIRE_FALSE(fixture.isReportedEnded(1));
        REQUIRE(fixture.load.isReady);
    }
    fixture.advance(600ms);
    REQUIRE(fixture.reportsOf(1).back().end == Messages::RunEnd::Done);
    REQUIRE(fixture.supervisor->workerProfile()->workerId == "w1");
}

// Guards against an announced clock far in the future, which would make all true readings count as old.
TEST_CASE("the clock of an announcement yields to that of the worker's responses", "[Workers]")
{
    SupervisorFixture fixture;
    fixture.connect(1, "entry-1");
    fixture.liveConnections = { 1 };
    WorkerAnnouncement announcement = fixture.worker.announcement(fixture.now());
    announcement.clock += 4'000'000'000;
    fixture.supervisor->workerAnnounced(fixture.now(), announcement);
    fixture.advance(5ms);
    fixture.plan.time = 5s;
    fixture.startTasks(1, 1);
    fixture.advance(100ms);
    REQUIRE(fixture.isRunning(1));
    fixture.isWorkerReachable = false;
    fixture.advance(1500ms);
    REQUIRE(fixture.reportsOf(1).back().end == Messages::RunEnd::Lapsed);
}

// Guards against runs that are declared lost before the worker has ended them: it may wait for the confirmation, or the
// deregistration may be a late one of an earlier incarnation.
TEST_CASE("a deregistration does not end runs that the worker still executes", "[Workers]")
{
    ReadySupervisor fixture;
    fixture.plan.time = 600ms;
    fixture.startTasks(1, 1);
    fixture.advance(100ms);
    fixture.supervisor->workerLeft(fixture.now(), "w1", 5);
    fixture.advance(20ms);
    REQUIRE(fixture.load.isReady);
    fixture.supervisor->workerLeft(fixture.now(), "w1", std::nullopt);
    fixture.advance(20ms);
    REQUIRE_FALSE(fixture.load.isReady);
    REQUIRE_FALSE(fixture.isReportedEnded(1));
    fixture.supervisor->workerAnnounced(fixture.now(), fixture.worker.announcement(fixture.now()));
    fixture.advance(600ms);
    REQUIRE(fixture.load.isReady);
    REQUIRE(fixture.reportsOf(1).back().end == Messages::RunEnd::Done);
}

// Guards against runs of a job that its entry ended while the connection was down, so that its request to stop them was
// lost.
TEST_CASE("runs that a reconnected entry does not claim are stopped", "[Workers]")
{
    ReadySupervisor fixture;
    fixture.plan.time = 5s;
    fixture.startTasks(1, 1);
    fixture.startTasks(1, 2);
    fixture.advance(100ms);
    fixture.supervisor->entryDisconnected(fixture.now(), 1);
    fixture.connect(2, "entry-1");
    fixture.liveConnections = { 2 };
    fixture.claim(2, { 2 });
    fixture.advance(100ms);
    REQUIRE_FALSE(fixture.isRunning(1));
    REQUIRE(fixture.isRunning(2));
}

// Guards against a run that is adopted for an entry that has ended its job.
TEST_CASE("a run that was stopped before it could be adopted does not go on", "[Workers]")
{
    ReadySupervisor fixture;
    fixture.plan.time = 5s;
    fixture.startTasks(1, 1);
    fixture.advance(100ms);
    fixture.restart(6);
    fixture.isWorkerReachable = false;
    fixture.connect(3, "entry-1");
    fixture.liveConnections = { 3 };
    fixture.claim(3, { 1 });
    fixture.advance(50ms);
    fixture.stop(3, fixture.orderedTask(1));
    fixture.isWorkerReachable = true;
    fixture.advance(500ms);
    REQUIRE_FALSE(fixture.isRunning(1));
}

// Guards against an entry that starts a task elsewhere while its run here is still being stopped.
TEST_CASE("a start is refused as busy only once the other run of its task has ended", "[Workers]")
{
    ReadySupervisor fixture;
    fixture.connect(2, "entry-2");
    fixture.liveConnections = { 1, 2 };
    fixture.plan.time = 5s;
    fixture.startTasks(1, 1);
    fixture.advance(50ms);
    fixture.areStopsLost = true;
    fixture.startTasks(2, 1);
    fixture.advance(100ms);
    REQUIRE(fixture.isRunning(1));
    REQUIRE_FALSE(fixture.isReportedEnded(1));
    fixture.areStopsLost = false;
    fixture.advance(200ms);
    REQUIRE_FALSE(fixture.isRunning(1));
    REQUIRE(fixture.isReportedEnded(1));
}

// Guards against a greeting that waited in the network and prolongs the runs of an entry that has failed meanwhile.
TEST_CASE("a connection alone does not prove that its entry is alive", "[Workers]")
{
    ReadySupervisor fixture;
    fixture.plan.time = 5s;
    fixture.startTasks(1, 1);
    fixture.advance(100ms);
    fixture.liveConnections.clear();
    const SteadyTime failedAt = fixture.now();
    fixture.advance(600ms);
    fixture.connect(2, "entry-1");
    fixture.advance(300ms);
    REQUIRE(fixture.historyOf(1).front().endedAt - failedAt < 800ms);
}

// Guards against a run that goes on unnoticed after its end was concluded.
TEST_CASE("a run that is listed after its end was concluded is stopped", "[Workers]")
{
    ReadySupervisor fixture;
    fixture.startTasks(1, 1);
    fixture.advance(300ms);
    REQUIRE(fixture.reportsOf(1).back().end == Messages::RunEnd::Done);
    fixture.plan.time = 5s;
    StartCall stray = std::get<StartCall>(*std::find_if(fixture.calls.begin(), fixture.calls.end(),
        [](const WorkerCall& call) { return std::holds_alternative<StartCall>(call); }));
    stray.run += 1;
    stray.leaseEnd += 1'000;
    fixture.worker.handle(fixture.now(), stray, 1);
    REQUIRE(fixture.isRunning(1));
    fixture.startTasks(1, 2);
    fixture.advance(900ms);
    REQUIRE_FALSE(fixture.isRunning(1));
}

// Guards against a queued run that a sidecar starts after a freeze, when its entry may have ordered the task elsewhere.
TEST_CASE("a sidecar that was frozen does not start the queued runs of a silent entry", "[Workers]")
{
    ReadySupervisor fixture;
    fixture.connect(2, "entry-2");
    fixture.liveConnections = { 1, 2 };
    fixture.plan.time = 300ms;
    fixture.startTasks(1, 1, 10);
    fixture.startTasks(1, 2, 1, 3000, 1, 5s);
    fixture.advance(10ms);
    REQUIRE(fixture.historyOf(2).empty());
    fixture.advanceWorker(1s);
    fixture.liveConnections = { 2 };
    fixture.startTasks(2, 3);
    fixture.advance(50ms);
    REQUIRE(fixture.historyOf(2).empty());
}

// Guards against a run that is reported as lost while it is adopted: the sidecar had raised the run number that the
// entry ordered, and both the report of it and the sidecar were lost.
TEST_CASE("a restarted sidecar adopts a run whose number its predecessor raised", "[Workers]")
{
    ReadySupervisor fixture;
    fixture.startTasks(1, 1);
    fixture.advance(300ms);
    fixture.plan.time = 900ms;
    fixture.startTasks(1, 1);
    fixture.advance(50ms);
    REQUIRE(fixture.historyOf(1).back().run == 2);
    fixture.restart(6);
    fixture.reports.clear();
    fixture.connect(3, "entry-1");
    fixture.liveConnections = { 3 };
    fixture.claim(3, { 1 });
    fixture.advance(100ms);
    REQUIRE(fixture.isRunning(1));
    REQUIRE_FALSE(fixture.isReportedEnded(1));
    fixture.advance(900ms);
    REQUIRE(fixture.reportsOf(1).back().end == Messages::RunEnd::Done);
}

// Guards against ends that a restarted worker forgets because they were acknowledged for its earlier incarnation; the
// tasks were run again.
TEST_CASE("the ends of runs on a restarted worker are not acknowledged in advance", "[Workers]")
{
    ReadySupervisor fixture;
    fixture.startTasks(1, 1, 8);
    fixture.advance(300ms);
    const std::vector<Messages::RunReport> reports = fixture.reportsOf(1);
    REQUIRE(std::count_if(reports.begin(), reports.end(), [](const Messages::RunReport& report) {
        return report.state == Messages::RunState::Ended;
    }) == 8);
    fixture.isWorkerReachable = false;
    fixture.startTasks(1, 2);
    fixture.advance(200ms);
    fixture.restartWorker(90'000);
    fixture.isWorkerReachable = true;
    fixture.supervisor->workerAnnounced(fixture.now(), fixture.worker.announcement(fixture.now()));
    fixture.advance(300ms);
    fixture.startTasks(1, 3);
    fixture.advance(300ms);
    REQUIRE(fixture.reportsOf(3).back().end == Messages::RunEnd::Done);
}

// Guards against a run that is reported as lost because the worker also lists the end of an earlier run of its task.
TEST_CASE("a restarted sidecar adopts a run although an earlier run of its task is listed as ended", "[Workers]")
{
    ReadySupervisor fixture;
    fixture.plan.time = 5s;
    fixture.startTasks(1, 1);
    fixture.advance(50ms);
    // The response with the end of the first run is lost, and the second one is started before the sidecar fails.
    fixture.stop(1, fixture.orderedTask(1));
    fixture.advance(1ms);
    StartCall second = std::get<StartCall>(*std::find_if(fixture.calls.begin(), fixture.calls.end(),
        [](const WorkerCall& call) { return std::holds_alternative<StartCall>(call); }));
    second.run = 2;
    fixture.worker.handle(fixture.now(), second, 1);
    REQUIRE(fixture.historyOf(1).size() == 2);
    fixture.restart(6);
    fixture.reports.clear();
    fixture.connect(3, "entry-1");
    fixture.liveConnections = { 3 };
    fixture.claim(3, { 1 }, 2);
    fixture.advance(100ms);
    REQUIRE(fixture.isRunning(1));
    REQUIRE_FALSE(fixture.isReportedEnded(1));
}

// Guards against a run that starts under a lease which other runs have prolonged beyond what its own entry allows.
TEST_CASE("a run does not start under a lease that outlasts its silent entry", "[Workers]")
{
    ReadySupervisor fixture;
    fixture.connect(2, "entry-2");
    fixture.liveConnections = { 1, 2 };
    fixture.plan.time = 5s;
    fixture.startTasks(2, 2, 1, 16'000);
    fixture.advance(1ms);
    fixture.plan.time = 600ms;
    fixture.startTasks(2, 3, 1, 8'000);
    fixture.advance(1ms);
    fixture.plan.time = 640ms;
    fixture.startTasks(2, 4, 1, 8'000);
    fixture.advance(1ms);
    fixture.plan.time = 5s;
    fixture.startTasks(1, 1, 1, 16'000, 1, 2s);
    fixture.advance(1ms);
    fixture.liveConnections = { 2 };
    const SteadyTime failedAt = fixture.now();
    fixture.advance(660ms);
    fixture.advanceWorker(2s);
    for (const Experiment::RunRecord& run : fixture.historyOf(1))
        CHECK(run.endedAt - failedAt < callerRetryDelay);
}

// Guards against adopted runs that are stopped before their entry could return the first clock sample.
TEST_CASE("an adopted run goes on while its entry has not returned a clock sample yet", "[Workers]")
{
    ReadySupervisor fixture;
    fixture.plan.time = 900ms;
    fixture.startTasks(1, 1);
    fixture.advance(100ms);
    fixture.restart(6);
    fixture.liveConnections = {};
    fixture.announceWorker();
    fixture.connect(3, "entry-1");
    fixture.claim(3, { 1 });
    fixture.advance(2ms);
    fixture.liveConnections = { 3 };
    fixture.advance(1s);
    REQUIRE(fixture.historyOf(1).front().end == Messages::RunEnd::Done);
}

// Guards against a lease that is too short because the worker's clock was not read while the worker was idle.
TEST_CASE("a run on a worker that was idle for long keeps its lease", "[Workers]")
{
    ReadySupervisor fixture;
    for (int round = 0; round < 80; ++round) {
        fixture.advance(1500ms);
        fixture.supervisor->workerAnnounced(fixture.now(), fixture.worker.announcement(fixture.now()));
    }
    fixture.plan.time = 900ms;
    fixture.startTasks(1, 1);
    fixture.advance(1200ms);
    REQUIRE(fixture.historyOf(1).size() == 1);
    REQUIRE(fixture.historyOf(1).front().end == Messages::RunEnd::Done);
}

// Guards against a token that equals one of the predecessor's after the time of day was set back: its calls stay valid.
TEST_CASE("a sidecar whose time of day was set back still voids the calls of its predecessor", "[Workers]")
{
    for (const std::uint64_t setBack : { 500, 1000, 2500, 3000 }) {
        INFO("set back by " << setBack << " ms");
        ReadySupervisor fixture;
        fixture.plan.time = 900ms;
        fixture.isNextStartLost = true;
        fixture.startTasks(1, 1);
        fixture.advance(5ms);
        REQUIRE(fixture.lostCalls.size() == 1);
        const SteadyTime sentAt = fixture.now();
        const std::uint64_t token = std::get<StartCall>(fixture.lostCalls.front()).fencingToken;
        SupervisorSettings settings;
        settings.incarnation = 6;
        settings.firstFencingToken = token - setBack;
        fixture.restart(settings);
        fixture.connect(3, "entry-1");
        fixture.liveConnections = { 3 };
        fixture.claim(3, { 1 });
        fixture.advance(300ms);
        REQUIRE(fixture.isReportedEnded(1));
        fixture.executeLate(fixture.lostCalls.front(), sentAt);
        REQUIRE_FALSE(fixture.isRunning(1));
    }
}

// Guards against a start of an earlier process that a restarted worker executes because the earlier process took its
// first token from a later time of day than this one.
TEST_CASE("a restarted worker executes no start of an earlier sidecar after the time of day was set back", "[Workers]")
{
    for (const std::uint64_t setBack : { 500, 2400, 30'000 }) {
        INFO("set back by " << setBack << " ms");
        ReadySupervisor fixture;
        const auto unixMilliseconds
            = [&fixture] { return static_cast<std::uint64_t>(Core::toUnixMilliseconds(fixture.clock.wallNow())); };
        SupervisorSettings settings;
        settings.incarnation = 6;
        settings.firstFencingToken = unixMilliseconds() + setBack;
        fixture.restart(settings);
        fixture.connect(3, "entry-1");
        fixture.liveConnections = { 3 };
        fixture.announceWorker();
        fixture.isNextStartLost = true;
        fixture.startTasks(3, 1);
        fixture.advance(5ms);
        REQUIRE(fixture.lostCalls.size() == 1);
        const SteadyTime sentAt = fixture.now();
        fixture.restartWorker(static_cast<std::int64_t>(unixMilliseconds()));
        settings.incarnation = 7;
        settings.firstFencingToken = unixMilliseconds();
        fixture.restart(settings);
        fixture.connect(4, "entry-1");
        fixture.liveConnections = { 4 };
        fixture.announceWorker();
        fixture.executeLate(fixture.lostCalls.front(), sentAt);
        CHECK_FALSE(fixture.isRunning(1));
    }
}

// Guards against runs on a young worker that a restarted sidecar ends or does not adopt while it raises its token.
TEST_CASE("a restarted sidecar adopts the runs of a worker that started shortly before", "[Workers]")
{
    ReadySupervisor fixture;
    fixture.restartWorker(Core::toUnixMilliseconds(fixture.clock.wallNow()));
    fixture.advance(300ms);
    fixture.announceWorker();
    fixture.plan.time = 900ms;
    fixture.startTasks(1, 1);
    fixture.advance(100ms);
    REQUIRE(fixture.isRunning(1));
    fixture.restart(6);
    fixture.connect(3, "entry-1");
    fixture.liveConnections = { 3 };
    fixture.claim(3, { 1 });
    fixture.announceWorker();
    fixture.advance(1s);
    REQUIRE(fixture.historyOf(1).size() == 1);
    REQUIRE(fixture.historyOf(1).front().end == Messages::RunEnd::Done);
    REQUIRE(fixture.reportsOf(1).back().end == Messages::RunEnd::Done);
}
