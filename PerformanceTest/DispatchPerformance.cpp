#include "PerformanceTest/DispatchPerformance.h"

#include "celeryswitch/Dispatch/Dispatcher.h"
#include "celeryswitch/Dispatch/QuotaTracker.h"
#include <chrono>

namespace celeryswitch::PerformanceTest {

namespace {

using Clock = std::chrono::steady_clock;

const Core::SteadyTime start { std::chrono::seconds(1000) };

double secondsSince(Clock::time_point begin) { return std::chrono::duration<double>(Clock::now() - begin).count(); }

std::string sidecarName(std::uint32_t index) { return "s" + std::to_string(index); }

void addSidecars(Dispatch::Dispatcher& dispatcher, std::uint32_t count, std::uint32_t credits)
{
    for (std::uint32_t index = 0; index < count; ++index) {
        dispatcher.addSidecar(start, { sidecarName(index), "loans", index % 4 == 0 ? "a" : "b", "r", 8 });
        dispatcher.creditsGranted(start, sidecarName(index), credits);
    }
}

Dispatch::JobDescription job(std::uint64_t number, std::uint32_t tasks)
{
    Dispatch::JobDescription description;
    description.jobId = { 1, number };
    description.service = "loans";
    description.kind = "lamp-checkout";
    description.team = "counter";
    description.taskCount = tasks;
    return description;
}

Messages::TaskResult success(std::uint32_t task)
{
    Messages::TaskResult result;
    result.taskIndex = task;
    result.outcome = Messages::TaskOutcome::Succeeded;
    result.runMicroseconds = 100'000;
    return result;
}

// Submits, starts and finishes jobs of one task; microseconds a task.
double placementCost(std::uint32_t sidecars)
{
    constexpr std::uint32_t tasks = 20'000;
    Dispatch::Dispatcher dispatcher({ .dataCentre = "a" });
    addSidecars(dispatcher, sidecars, 8);
    dispatcher.poll(start);
    const auto begin = Clock::now();
    for (std::uint32_t number = 0; number < tasks; ++number) {
        const Core::SteadyTime now = start + std::chrono::microseconds(10 * number);
        dispatcher.submit(now, job(number, 1));
        for (const Dispatch::Decision& decision : dispatcher.poll(now)) {
            if (const auto* started = std::get_if<Dispatch::StartDecision>(&decision)) {
                dispatcher.taskFinished(now, started->sidecarId, started->jobId, success(0));
                dispatcher.creditsGranted(now, started->sidecarId, 1);
            }
        }
    }
    return secondsSince(begin) * 1e6 / tasks;
}

// Starts and finishes jobs of 200; starts a second.
double batchedStarts()
{
    constexpr std::uint32_t jobs = 500;
    Dispatch::Dispatcher dispatcher({ .dataCentre = "a" });
    addSidecars(dispatcher, 100, 8);
    std::uint32_t tasks = 0;
    const auto begin = Clock::now();
    for (std::uint32_t number = 0; number < jobs; ++number) {
        const Core::SteadyTime now = start + std::chrono::milliseconds(number);
        dispatcher.submit(now, job(number, 200));
        for (const Dispatch::Decision& decision : dispatcher.poll(now)) {
            const auto* started = std::get_if<Dispatch::StartDecision>(&decision);
            if (!started)
                continue;
            for (std::uint32_t task : started->taskIndexes)
                dispatcher.taskFinished(now, started->sidecarId, started->jobId, success(task));
            dispatcher.creditsGranted(now, started->sidecarId, started->credits);
            tasks += static_cast<std::uint32_t>(started->taskIndexes.size());
        }
    }
    return tasks / secondsSince(begin);
}

// Cancels jobs of one task that all wait; microseconds a cancellation.
double cancellationCost(std::uint32_t jobs)
{
    Dispatch::Dispatcher dispatcher({ .dataCentre = "a" });
    addSidecars(dispatcher, 1, 0);
    for (std::uint32_t number = 0; number < jobs; ++number)
        dispatcher.submit(start, job(number, 1));
    const auto begin = Clock::now();
    for (std::uint32_t number = 0; number < jobs; ++number)
        dispatcher.cancelJob(start, { 1, number });
    dispatcher.poll(start);
    return secondsSince(begin) * 1e6 / jobs;
}

// One exchange of 390 teams' usage with four other entries; milliseconds.
double quotaExchange()
{
    constexpr int teams = 390;
    Dispatch::QuotaTracker quota;
    Messages::TeamUsage usage;
    for (int team = 0; team < teams; ++team) {
        const std::string name = "team-" + std::to_string(team);
        const Dispatch::TeamIndex index = quota.indexOf(name);
        quota.setLimit(index, 1000);
        quota.tryTake(start, index, 10);
        usage.teams.push_back({ name, 10, 5 });
    }
    const auto begin = Clock::now();
    for (const char* entry : { "e1", "e2", "e3", "e4" })
        quota.usageReceived(start, entry, usage);
    quota.takeUsage(start + std::chrono::seconds(1));
    return secondsSince(begin) * 1e3;
}

}

std::vector<PerformanceCase> dispatchCases()
{
    const double small = placementCost(100);
    const double middle = placementCost(1000);
    const double large = placementCost(8100);
    return { { "placement at 100 sidecars", small, "us", {} }, { "placement at 1,000 sidecars", middle, "us", {} },
        { "placement at 8,100 sidecars", large, "us", {} },
        { "placement at 8,100 sidecars / at 100", large / small, "times", 2.0 },
        { "starts a second in jobs of 200, one core", batchedStarts(), "1/s", 25'000.0, false },
        { "cancellation of 1,000 waiting jobs, each", cancellationCost(1000), "us", {} },
        { "cancellation of 10,000 waiting jobs, each", cancellationCost(10'000), "us", 100.0 },
        { "quota exchange of 390 teams with 4 entries", quotaExchange(), "ms", {} } };
}

}
