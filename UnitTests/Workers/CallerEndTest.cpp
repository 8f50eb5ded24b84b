// A JobScheduler and a RunSupervisor together: how long a run lasts after its caller has left.
#include "UnitTests/Workers/SupervisorFixture.h"
#include "celeryswitch/Scheduling/JobScheduler.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace celeryswitch::Workers;
using namespace std::chrono_literals;

namespace {

constexpr Scheduling::RequestNumber requestNumber = 1;

/// An entry on connection 1 that handles its events in the order of SchedulingEntry and can be frozen.
class EntryWithSupervisor : public SupervisorFixture {
public:
    EntryWithSupervisor()
        : scheduler({}, this->log, this->registry)
    {
        this->onUpdate = [this](std::uint64_t connection, const Messages::WorkerUpdate& update) {
            if (connection == 1)
                this->unread.push_back(update);
        };
        this->scheduler.setLinkedSidecars(this->now(), { "side-1" });
    }
    /// Opens the connection between the entry and the supervisor.
    void connectEntry()
    {
        this->connect(1, "entry-1");
        Messages::Member member;
        member.identity.instanceId = "side-1";
        this->scheduler.sidecarConnected(this->now(), member);
    }
    /// Submits a job with one task that takes several seconds.
    void submitLongJob(std::uint64_t id)
    {
        Configuration::Queue queue;
        queue.name = "checkout";
        queue.service = "loans";
        queue.timeoutMilliseconds = 20'000;
        queue.stretch = 4;
        queue.maximumAttempts = 1;
        Scheduling::SubmitJob submission;
        submission.job.id = id;
        submission.job.content = "content";
        submission.job.isBestEffort = true;
        submission.callerTimeout = 20s;
        submission.job.steps.resize(1);
        submission.job.steps[0].count = 1;
        submission.job.steps[0].need = { 3000, 64, 0 };
        submission.job.steps[0].declaredMilliseconds = 5000;
        this->scheduler.submit(this->now(), this->now(), requestNumber, queue, std::move(submission));
        this->runScheduler();
    }
    /// Advances the time in steps of 1 ms.
    void run(Core::Duration span)
    {
        const SteadyTime end = this->now() + std::chrono::duration_cast<SteadyTime::duration>(span);
        while (this->now() < end) {
            this->advance(1ms);
            if (this->now() < this->frozenUntil)
                continue;
            // The updates are read before the end of the caller's connection.
            for (Messages::WorkerUpdate& update : std::exchange(this->unread, {})) {
                this->scheduler.updateReceived(this->now(), "side-1", std::move(update));
                this->runScheduler();
            }
            if (std::exchange(this->isCallerGone, false))
                this->scheduler.callerDisconnected(this->now(), requestNumber);
            this->runScheduler();
        }
    }

    Scheduling::JobScheduler scheduler;
    SteadyTime frozenUntil;
    /// Whether the caller has left and its entry has not read it.
    bool isCallerGone = false;

private:
    void runScheduler()
    {
        if (this->scheduler.isCallerCheckDue(this->now())) {
            if (std::exchange(this->isCallerGone, false))
                this->scheduler.callerDisconnected(this->now(), requestNumber);
            this->scheduler.callersChecked(this->now());
        }
        for (Scheduling::SchedulerAction& action : this->scheduler.poll(this->now())) {
            if (auto* send = std::get_if<Scheduling::SendToSidecar>(&action))
                this->supervisor->messageReceived(this->now(), 1, std::move(send->message));
        }
    }

    std::vector<Messages::WorkerUpdate> unread;
};

}

// Guards against a lease that another entry's run prolongs for a run whose caller left while its entry was stalled: it
// ended up to 1.8 s after the caller had left, and callers repeat their jobs after 1.3 s.
TEST_CASE("a run ends before its caller repeats the job, although its entry was stalled meanwhile", "[Workers]")
{
    for (const Core::Duration stall : { 0ms, 20ms, 200ms, 400ms, 550ms }) {
        INFO(stall.count());
        EntryWithSupervisor fixture;
        fixture.connect(2, "entry-2");
        fixture.liveConnections = { 2 };
        fixture.announceWorker();
        fixture.plan.time = 9s;
        fixture.connectEntry();
        fixture.run(20ms);
        fixture.submitLongJob(1);
        fixture.startTasks(2, 2);
        fixture.run(400ms);
        REQUIRE(fixture.isRunning(1));
        REQUIRE(fixture.isRunning(2));
        fixture.areStopsLost = true;
        fixture.frozenUntil = fixture.now() + std::chrono::duration_cast<SteadyTime::duration>(stall);
        fixture.isCallerGone = true;
        const SteadyTime leftAt = fixture.now();
        fixture.run(2s);
        CHECK(fixture.historyOf(1).front().endedAt - leftAt < 1300ms);
    }
}

// Guards against a run that outlasts the return of its caller because the end of the connection reached the entry late:
// a close that is lost once arrives after TCP's shortest retransmission timeout of 200 ms.
TEST_CASE("a run ends before its caller repeats the job, although the close reaches the entry late", "[Workers]")
{
    for (const Core::Duration delay : { 20ms, 100ms, 200ms }) {
        INFO(delay.count());
        EntryWithSupervisor fixture;
        fixture.connect(2, "entry-2");
        fixture.liveConnections = { 2 };
        fixture.announceWorker();
        fixture.plan.time = 9s;
        fixture.connectEntry();
        fixture.run(20ms);
        fixture.submitLongJob(1);
        fixture.startTasks(2, 2);
        fixture.run(400ms);
        REQUIRE(fixture.isRunning(1));
        fixture.areStopsLost = true;
        const SteadyTime leftAt = fixture.now();
        fixture.run(delay);
        fixture.isCallerGone = true;
        fixture.run(2s);
        CHECK(fixture.historyOf(1).front().endedAt - leftAt < 1300ms);
    }
}

// Guards against a lease that outlasts the return of the callers of an entry that stalls or fails while the ends of
// their connections are still on the way to it.
TEST_CASE("the lease ends before callers repeat jobs whose closes never reach a silent entry", "[Workers]")
{
    EntryWithSupervisor fixture;
    fixture.connect(2, "entry-2");
    fixture.liveConnections = { 2 };
    fixture.announceWorker();
    fixture.plan.time = 9s;
    fixture.connectEntry();
    fixture.run(20ms);
    fixture.submitLongJob(1);
    fixture.startTasks(2, 2);
    fixture.run(400ms);
    REQUIRE(fixture.isRunning(1));
    fixture.areStopsLost = true;
    const SteadyTime leftAt = fixture.now();
    fixture.run(200ms);
    fixture.frozenUntil = fixture.now() + 10s;
    fixture.run(2s);
    CHECK(fixture.historyOf(1).front().endedAt - leftAt < 1300ms);
}

// Guards against orders that wait at a sidecar because the lease that another entry's runs were granted leaves too
// little room for the age of a sample that a live entry returns.
TEST_CASE("an order with a sample of 250 ms starts at once beside the runs of another entry", "[Workers]")
{
    SupervisorFixture fixture;
    fixture.connect(1, "entry-1");
    fixture.connect(2, "entry-2");
    fixture.liveConnections = { 1, 2 };
    fixture.announceWorker();
    fixture.plan.time = 5s;
    fixture.startTasks(2, 2);
    fixture.advance(500ms);
    fixture.liveConnections = { 2 };
    fixture.advance(250ms);
    Messages::StartRuns start;
    start.sequence = 1000;
    start.order = 1000;
    start.clockEcho = Core::toClockSample(fixture.now() - 250ms);
    start.job = 3;
    start.content = "content";
    start.need = { 3000, 64, 0 };
    start.expectedMilliseconds = 200;
    start.rank = 1;
    start.startWithinMicroseconds = 500'000;
    start.deadlineMicroseconds = 5'000'000;
    start.bornAt = fixture.orderedBornAt;
    start.tasks = { { 0, 1 } };
    fixture.supervisor->messageReceived(fixture.now(), 1, std::move(start));
    fixture.advance(2ms);
    CHECK(fixture.isRunning(3));
}

// Guards against orders that a new entry, or one with a new link, gets back until it may return a sample.
TEST_CASE("an order right after a connection starts at once", "[Workers]")
{
    EntryWithSupervisor fixture;
    fixture.announceWorker();
    fixture.plan.time = 9s;
    fixture.submitLongJob(1);
    fixture.connectEntry();
    fixture.run(2ms);
    CHECK(fixture.isRunning(1));
    fixture.run(300ms);
    CHECK(fixture.isRunning(1));
    CHECK(fixture.historyOf(1).size() == 1);
}
