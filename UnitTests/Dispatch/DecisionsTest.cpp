#include "celeryswitch/Dispatch/AdmissionControl.h"
#include "celeryswitch/Dispatch/CreditLedger.h"
#include "celeryswitch/Dispatch/FairQueue.h"
#include "celeryswitch/Dispatch/OutlierDetector.h"
#include "celeryswitch/Dispatch/PlacementPolicy.h"
#include "celeryswitch/Dispatch/QuotaTracker.h"
#include "celeryswitch/Dispatch/RetryBudget.h"
#include "celeryswitch/Dispatch/RunTimeEstimator.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace celeryswitch::Dispatch;
using namespace std::chrono_literals;

namespace {

const Core::SteadyTime start { 100s };

FairQueue::Job queuedJob(std::uint64_t number, KindIndex kind, TeamIndex team, std::uint32_t tasks)
{
    auto job = std::make_shared<QueuedJob>();
    job->jobId = { 0, number };
    job->kind = kind;
    job->team = team;
    job->taskCount = tasks;
    job->enqueuedAt = start;
    return job;
}

}

// Guards against estimates that rely on declared run times, which are inaccurate.
TEST_CASE("measured run times replace the declared one", "[Dispatch]")
{
    RunTimeEstimator estimator;
    const KindIndex kind = estimator.indexOf("loans", "lamp-checkout");
    REQUIRE(estimator.estimate(kind, 5s).mean == 5s);
    for (int sample = 0; sample < 100; ++sample)
        estimator.record(kind, 100ms);
    REQUIRE(estimator.estimate(kind, 5s).isMeasured);
    REQUIRE(estimator.estimate(kind, 5s).mean == 100ms);
}

// Guards against a team that takes a kind's whole share by submitting more tasks.
TEST_CASE("teams share a kind's slots regardless of their queue lengths", "[Dispatch]")
{
    FairQueue queue({});
    queue.push(queuedJob(1, 0, 1, 100));
    queue.push(queuedJob(2, 0, 2, 10));
    std::array<int, 3> started {};
    for (int pick = 0; pick < 10; ++pick) {
        const FairQueue::Job job = queue.next(start, { 50, 0 });
        REQUIRE(job);
        queue.take(job, 1, 1);
        ++started[job->team];
    }
    REQUIRE(started[1] == 5);
    REQUIRE(started[2] == 5);
}

// Guards against cancelled tasks that still start or still count as waiting.
TEST_CASE("a cancelled job leaves the queue at once", "[Dispatch]")
{
    FairQueue queue({});
    const FairQueue::Job job = queuedJob(1, 0, 1, 5);
    queue.push(job);
    REQUIRE(queue.cancel(job).size() == 5);
    REQUIRE(queue.waiting() == 0);
    REQUIRE_FALSE(queue.next(start, { 8, 0 }));
}

// Guards against a kind above its share that uses the reserved slots.
TEST_CASE("a kind above its share leaves the reserve to other kinds", "[Dispatch]")
{
    FairQueue queue({});
    queue.push(queuedJob(1, 0, 1, 100));
    queue.push(queuedJob(2, 1, 1, 1));
    // Both kinds have the same weight; kind 0 takes 36 of 40 slots, far above its half.
    queue.take(queue.next(start, { 40, 0.1 }), 1, 36);
    const FairQueue::Job other = queue.next(start, { 4, 0.1 });
    REQUIRE(other);
    REQUIRE(other->kind == 1);
    queue.take(other, 1, 1);
    REQUIRE_FALSE(queue.next(start, { 3, 0.1 }));
}

// Guards against remote placement while near slots are free, and against waiting indefinitely for near ones.
TEST_CASE("placement prefers near credits and uses remote ones when waiting costs more", "[Dispatch]")
{
    CreditLedger ledger(1);
    ledger.add(0, Proximity::SameDataCentre);
    ledger.add(1, Proximity::OtherDataCentre);
    ledger.setUsable(0, true);
    ledger.setUsable(1, true);
    ledger.grant(start, 0, 1);
    ledger.grant(start, 1, 1);
    const PlacementPolicy place = nearestFirstPlacement();
    const PlacementRequest request { 100ms, 0ms, 1, 3ms };
    REQUIRE(place(request, ledger) == SidecarIndex(0));
    REQUIRE(ledger.take(0, 1) == 1);
    REQUIRE(place(request, ledger) == SidecarIndex(1));
    REQUIRE(ledger.idle() == 1);
}

// Guards against refusals without a usable retry time, and against queueing jobs that can never run.
TEST_CASE("admission refuses what can't run and says when to retry", "[Dispatch]")
{
    AdmissionControl admission;
    AdmissionRequest request { 0, 10, {}, 0, 0, true, 95, 95, 100, 0.5, 8, 100ms };
    const AdmissionResult full = admission.evaluate(start, request);
    REQUIRE(full.reason == Messages::TaskReason::QueueFull);
    REQUIRE(full.retryAfter > Core::Duration::zero());
    request.taskCount = 200;
    REQUIRE(admission.evaluate(start, request).reason == Messages::TaskReason::TooLarge);
    request.taskCount = 1;
    request.waiting = request.waitingOfKind = 40;
    request.deadline = start + 500ms;
    REQUIRE(admission.evaluate(start, request).reason == Messages::TaskReason::DeadlineUnreachable);
    request.deadline = start + 5s;
    REQUIRE(admission.evaluate(start, request).isAccepted);
}

// Guards against retries that multiply the load.
TEST_CASE("retries stop when the budget is used up", "[Dispatch]")
{
    RetryBudget budget(1);
    while (budget.tryTake()) { }
    budget.tasksStarted(100);
    int retries = 0;
    while (budget.tryTake())
        ++retries;
    REQUIRE(retries == 10);
    REQUIRE(budget.backoff(3) <= 80ms);
}

// Guards against an endpoint that still gets tasks after a run of failures, and against ejecting the whole fleet.
TEST_CASE("failing endpoints are ejected up to the limit and return through probes", "[Dispatch]")
{
    OutlierDetector detector(1);
    for (SidecarIndex sidecar = 0; sidecar < 4; ++sidecar)
        detector.add(sidecar);
    for (SidecarIndex sidecar : { 0, 1 }) {
        for (int failure = 0; failure < 3; ++failure) {
            detector.started(start, sidecar, 1);
            detector.finished(start, sidecar, false, 1ms, 100ms);
        }
    }
    REQUIRE(detector.health(0) == EndpointHealth::Ejected);
    REQUIRE(detector.health(1) == EndpointHealth::Active);
    const Core::SteadyTime later = start + 10s;
    detector.review(later, 60s);
    for (int probe = 0; probe < 3; ++probe) {
        REQUIRE(detector.allowance(later, 0) == 1);
        detector.started(later, 0, 1);
        REQUIRE(detector.allowance(later, 0) == 0);
        detector.finished(later, 0, true, 100ms, 100ms);
    }
    REQUIRE(detector.health(0) == EndpointHealth::Active);
}

// Guards against entries that each grant a team its full quota.
TEST_CASE("entries split a team's quota by demand", "[Dispatch]")
{
    QuotaTracker quota;
    const TeamIndex team = quota.indexOf("counter");
    quota.setLimit(team, 100);
    REQUIRE(quota.tryTake(start, team, 1000) <= 100);
    quota.recordUnmetDemand(team, 200);
    quota.usageReceived(start, "e2", { { { "counter", 25, 50 } } });
    quota.takeUsage(start + 1s);
    REQUIRE(quota.localRate(team) > 60);
    REQUIRE(quota.localRate(team) < 80);
}
