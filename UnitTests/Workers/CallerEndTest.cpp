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
