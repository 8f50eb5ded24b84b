#include "celeryswitch/Scheduling/JobBudget.h"
#include "UnitTests/Core/AllocationCounter.h"
#include "UnitTests/Scheduling/SchedulerFixture.h"
#include <pcg_random.hpp>

using namespace celeryswitch;
using namespace celeryswitch::Scheduling;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t workers = 10;

// An open order, as the sidecar knows it.
struct OpenOrder {
    std::size_t sidecar = 0;
    Messages::OrderedTask ordered;
    std::uint32_t run = 0;
};

// A scheduler with callers and sidecars drawn at random, which allocate nothing that lasts.
class RandomLoad {
public:
    RandomLoad(JobScheduler& scheduler, Core::ManualClock& clock, const Configuration::Queue& queue)
        : scheduler(scheduler)
        , clock(clock)
        , queue(queue)
    {
        this->orders.reserve(100'000);
        this->requests.reserve(100'000);
    }

    void step()
    {
        const std::size_t kind = this->below(8);
        if (kind < 3)
            this->submit();
        else if (kind < 6)
            this->report();
        else if (kind == 6)
            this->leave();
        else
            this->clock.advance(std::chrono::milliseconds(this->below(20)));
        this->poll();
    }
    // Lets every caller go, and every outcome be forgotten.
    void finish()
    {
        for (const RequestNumber request : this->requests)
            this->scheduler.callerDisconnected(this->clock.steadyNow(), request);
        this->poll();
        this->clock.advance(60s);
        this->poll();
    }
    std::size_t refused = 0;

private:
    std::size_t below(std::size_t bound) { return static_cast<std::size_t>(this->random() % bound); }
    std::string sidecar(std::size_t number) const { return "side-" + std::to_string(number); }

    void submit()
    {
        SubmitJob submission;
        submission.job.id = ++this->lastJob;
        submission.job.content = std::string(this->below(3) == 0 ? this->below(4000) : 20, 'c');
        submission.job.isBestEffort = true;
        submission.callerTimeout = 60s;
        const std::size_t steps = this->below(20) == 0 ? 1 + this->below(3000) : 1 + this->below(3);
        for (std::size_t step = 0; step < steps; ++step) {
            StepSpecification& specification = submission.job.steps.emplace_back();
            specification.count = static_cast<std::uint32_t>(1 + this->below(this->below(10) == 0 ? 500 : 5));
            specification.need = { static_cast<std::int64_t>(this->below(500)), 16, 0 };
            specification.declaredMilliseconds = 60'000;
            if (this->below(4) == 0)
                specification.dataRack = std::string(this->below(40), 'r');
            if (step > 0 && this->below(2) == 0)
                specification.dependencies = { static_cast<std::uint32_t>(this->below(step)), 0 };
        }
        this->requests.push_back(++this->lastRequest);
        this->scheduler.submit(
            this->clock.steadyNow(), this->clock.steadyNow(), this->lastRequest, this->queue, std::move(submission));
    }

    void report()
    {
        Messages::WorkerUpdate update;
        update.handledSequence = UINT64_MAX;
        update.load.free = { 32'000, 65'536, 0 };
        update.load.isReady = true;
        const std::size_t number = 1 + this->below(workers);
        for (std::size_t index = 0; index < this->orders.size();) {
            const OpenOrder order = this->orders[index];
            if (order.sidecar != number || this->below(3) == 0) {
                ++index;
                continue;
            }
            const Messages::RunEnd end = this->below(10) == 0 ? Messages::RunEnd::NotStarted : Messages::RunEnd::Done;
            update.reports.push_back(
                { order.ordered, order.run, Messages::RunState::Ended, end, Messages::RunRefusal::None, 60'000, 0 });
            this->orders[index] = this->orders.back();
            this->orders.pop_back();
        }
        this->scheduler.updateReceived(this->clock.steadyNow(), this->sidecar(number), std::move(update));
    }

    void leave()
    {
        if (this->requests.empty())
            return;
        const std::size_t index = this->below(this->requests.size());
        this->scheduler.callerDisconnected(this->clock.steadyNow(), this->requests[index]);
        this->requests[index] = this->requests.back();
        this->requests.pop_back();
    }

    void poll()
    {
        for (const SchedulerAction& action : this->scheduler.poll(this->clock.steadyNow())) {
            if (const auto* answer = std::get_if<AnswerRequest>(&action)) {
                this->refused += answer->answer.reason == "too many open jobs" ? 1 : 0;
                continue;
            }
            const auto& send = std::get<SendToSidecar>(action);
            if (const auto* start = std::get_if<Messages::StartRuns>(&send.message)) {
                for (const auto& [index, run] : start->tasks)
                    this->orders.push_back({ std::stoul(send.sidecar.substr(5)),
                        { { start->job, 0, start->step, index }, start->order }, run });
            }
        }
    }

    JobScheduler& scheduler;
    Core::ManualClock& clock;
    const Configuration::Queue& queue;
    pcg64 random { 20261207 };
    std::vector<OpenOrder> orders;
    std::vector<RequestNumber> requests;
    std::uint64_t lastJob = 0;
    RequestNumber lastRequest = 0;
};

}

// Guards against callers whose open jobs take the memory of the entry, and against a count that differs from what the
// records take.
TEST_CASE("open jobs take no more memory than the budget counts", "[Scheduling]")
{
    // For what does not belong to a job: the views of the workers, statistics and tables that keep their size.
    constexpr std::size_t toleratedBytes = 256 * 1024;
    SchedulerSettings settings;
    settings.jobBudgetBytes = 4 * 1024 * 1024;
    SchedulerFixture fixture(workers, settings);
    RandomLoad load(fixture.scheduler, fixture.clock, fixture.queue);
    const std::size_t before = allocatedBytes();
    const JobBudget& budget = fixture.scheduler.budget();
    std::size_t most = 0;
    for (int step = 0; step < 4000; ++step) {
        load.step();
        INFO("step " << step << ", " << fixture.scheduler.openJobs() << " open jobs");
        REQUIRE(allocatedBytes() - before <= budget.heldBytes() + toleratedBytes);
        REQUIRE(budget.heldBytes() <= budget.limitBytes() + toleratedBytes);
        most = std::max(most, budget.heldBytes());
    }
    CHECK(load.refused > 10);
    CHECK(most > budget.limitBytes() / 2);
    load.finish();
    CHECK(fixture.scheduler.openJobs() == 0);
    CHECK(budget.heldBytes() == 0);
}

// Guards against large jobs that leave no memory for ordinary ones, and against a legal job that is never taken.
TEST_CASE("a budget takes one job of any size, and leaves room for ordinary ones", "[Scheduling]")
{
    JobBudget budget(800'000);
    REQUIRE(budget.admits(2'000'000));
    budget.addJob(400'000);
    CHECK_FALSE(budget.admits(200'000));
    CHECK(budget.admits(90'000));
    budget.addJob(90'000);
    CHECK_FALSE(budget.admits(20'000));
    CHECK(budget.admits(10'000));
    // Open jobs still get their records when no new one is taken.
    budget.change(0, 200'000);
    CHECK_FALSE(budget.admits(1'000));
    CHECK(budget.hasRecords());
    CHECK(budget.hasTraces());
    budget.change(0, 50'000);
    CHECK_FALSE(budget.hasTraces());
    budget.change(0, 100'000);
    CHECK_FALSE(budget.hasRecords());
    budget.change(350'000, 0);
    budget.removeJob(90'000);
    budget.removeJob(400'000);
    CHECK(budget.heldBytes() == 0);
    CHECK(budget.admits(2'000'000));
}

// Guards against a refusal that is not true, and against one that does not say when to come back.
TEST_CASE("a job that there is no memory for is refused as not run", "[Scheduling]")
{
    SchedulerSettings settings;
    settings.jobBudgetBytes = 64 * 1024;
    SchedulerFixture fixture(2, settings);
    fixture.fillWorkers(2, 100);
    RequestNumber request = 0;
    while (fixture.answers.empty() && request < 1000) {
        SubmitJob submission = fixture.makeJob(100 + ++request);
        submission.job.steps.front().declaredMilliseconds = 60'000;
        submission.callerTimeout = 600s;
        fixture.submit(request, std::move(submission));
    }
    REQUIRE(fixture.answers.count(request) == 1);
    CHECK(fixture.answers[request].kind == AnswerKind::NotRun);
    CHECK(fixture.answers[request].retryAfter >= 1s);
    CHECK_FALSE(fixture.scheduler.isKnown(100 + request));
    // A job that ends makes place for another.
    fixture.scheduler.callerDisconnected(fixture.now(), 1);
    fixture.submit(2000, fixture.makeJob(5000));
    CHECK(fixture.scheduler.isKnown(5000));
}
