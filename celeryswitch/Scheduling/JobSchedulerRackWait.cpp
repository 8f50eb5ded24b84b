// Waits of steps for workers of the rack that they prefer.
#include "celeryswitch/Scheduling/JobScheduler.h"

#include "celeryswitch/Scheduling/SchedulerTime.h"

namespace celeryswitch::Scheduling {

using Core::SteadyTime;

namespace {

// Limit of logged times, in seconds; waits may be infinite.
constexpr double longestLoggedSeconds = 1000;

std::int64_t loggedMilliseconds(double seconds)
{
    return static_cast<std::int64_t>(std::min(seconds, longestLoggedSeconds) * 1000);
}

}

void JobScheduler::decideRackWait(
    SteadyTime now, double referenceSpeed, Job& job, std::uint32_t stepIndex, PlacementRequest& request)
{
    Step& step = job.steps[stepIndex];
    const bool hasReservations = step.reservations > 0;
    // Without a wait, reservations mean that the step waits for room wherever it is.
    if (step.hasLeftRack || (hasReservations && !step.rackWait))
        return;
    const auto queue = step.rackWait && hasReservations ? std::optional(step.rackWait->queue) : std::nullopt;
    this->workDone.candidatesEvaluated += this->workerTable.size();
    PlacementWaitQuery query;
    query.places = forecastPlaces(this->workerTable, referenceSpeed, request, queue);
    query.time = request.time;
    query.farFactor = this->settings.farFactor;
    query.waitedSeconds = step.rackWait ? secondsUntil(step.rackWait->begunAt, now) : 0;
    query.stretch = request.stretch;
    query.slackSeconds = request.slackSeconds;
    query.callerTimeoutSeconds = request.callerTimeoutSeconds;
    const PlacementWaitDecision decision = this->settings.placementWait(query);
    if (decision.isWaiting) {
        if (!step.rackWait) {
            step.rackWait = std::make_unique<RackWait>();
            step.rackWait->begunAt = now;
            this->metrics.rackWaitBegun();
            this->traceRackWait(now, job, "wait for the rack begins", decision, query);
        }
        step.rackWait->queue = { query.places.aheadMilliCores, now };
        step.rackWait->until = addSeconds(now, decision.longestSeconds);
        request.isNearOnly = true;
        request.maximumWaitSeconds = decision.longestSeconds;
        return;
    }
    if (!step.rackWait || decision.reason == PlacementWaitReason::RoomNear)
        return;
    step.rackWait.reset();
    step.hasLeftRack = true;
    this->metrics.rackWaitFellBack();
    this->traceRackWait(now, job, "wait for the rack ends elsewhere", decision, query);
    this->releaseReservations(job, stepIndex);
    request.reservationsPerTask = this->settings.reservationsPerTask;
}

void JobScheduler::traceRackWait(SteadyTime now, Job& job, std::string_view message,
    const PlacementWaitDecision& decision, const PlacementWaitQuery& query)
{
    this->trace(now, job, message,
        { { "job", Messages::jobText(job.specification.id) },
            { "reason", std::string(Core::enumName(decision.reason)) },
            { "near_wait_ms", loggedMilliseconds(query.places.nearWaitSeconds) },
            { "near_finish_ms", loggedMilliseconds(decision.nearFinishSeconds) },
            { "far_finish_ms", loggedMilliseconds(decision.farFinishSeconds) },
            { "near_late_percent", static_cast<std::int64_t>(decision.nearLateProbability * 100) },
            { "far_late_percent", static_cast<std::int64_t>(decision.farLateProbability * 100) },
            { "waited_ms", loggedMilliseconds(query.waitedSeconds) },
            { "longest_ms", loggedMilliseconds(decision.longestSeconds) } });
}

}
