#include "celeryswitch/Dispatch/AdmissionControl.h"

#include <algorithm>
#include <cmath>

namespace celeryswitch::Dispatch {

using Core::Duration;
using Core::SteadyTime;
using Messages::TaskReason;

namespace {

// Start rates are averaged over about this long.
constexpr double rateSeconds = 2;
// Part of the queue that a kind above its part of the queue leaves to the others, so that a flood of one kind does not
// get the others refused.
constexpr double keptForOthers = 0.1;
constexpr Duration shortestRetry = std::chrono::milliseconds(100);
constexpr Duration longestRetry = std::chrono::seconds(60);

double seconds(Duration span) { return std::chrono::duration<double>(span).count(); }
Duration fromSeconds(double span) { return Duration(static_cast<std::int64_t>(std::min(span, 1e6) * 1e9)); }

}

void AdmissionControl::startsMade(SteadyTime now, KindIndex kind, std::uint32_t tasks)
{
    if (this->rates.size() <= kind)
        this->rates.resize(kind + 1);
    this->rates[kind].tasksPerSecond = this->rateOf(now, kind) + tasks / rateSeconds;
    this->rates[kind].updatedAt = now;
}

AdmissionVerdict AdmissionControl::judge(SteadyTime now, const AdmissionRequest& request) const
{
    if (!request.isServed)
        return { false, TaskReason::NoSuchService, {} };
    if (request.largestMemoryBytes > 0 && request.declaredMemoryBytes > request.largestMemoryBytes)
        return { false, TaskReason::TooLarge, {} };
    const double limit = request.waitingLimit;
    const bool isAbovePart = request.waitingOfKind + request.taskCount > limit * request.share;
    const double bound = isAbovePart ? limit * (1 - keptForOthers) : limit;
    if (request.waiting + double(request.taskCount) > bound) {
        // A job larger than the bound never fits, however long its caller waits.
        if (request.taskCount > bound)
            return { false, TaskReason::TooLarge, {} };
        const double excess = request.waiting + double(request.taskCount) - bound;
        const Duration wait = this->expectedWait(now, request, static_cast<std::uint32_t>(excess));
        return { false, TaskReason::QueueFull, std::clamp(wait, shortestRetry, longestRetry) };
    }
    if (request.deadline) {
        const std::uint32_t ahead = request.waitingOfKind + request.taskCount - 1;
        const Duration wait = ahead > 0 ? this->expectedWait(now, request, ahead) : Duration::zero();
        const Duration late = wait + request.expectedRun - (*request.deadline - now);
        if (late > Duration::zero())
            return { false, TaskReason::DeadlineUnreachable,
                wait > Duration::zero() ? std::clamp(late, shortestRetry, longestRetry) : Duration::zero() };
    }
    return {};
}

Duration AdmissionControl::expectedWait(SteadyTime now, const AdmissionRequest& request, std::uint32_t tasks) const
{
    // The observed rate is a lower bound while slots are free, so the guaranteed rate counts as well. Tasks that fit
    // into the guaranteed slots do not wait.
    const double guaranteedSlots = std::max(request.share * request.slots, 0.1);
    const double guaranteed = guaranteedSlots / std::max(seconds(request.expectedRun), 1e-4);
    const double rate = std::max(this->rateOf(now, request.kind), guaranteed);
    return fromSeconds(std::max(0.0, tasks - (request.waitingOfKind == 0 ? guaranteedSlots : 0.0)) / rate);
}

double AdmissionControl::rateOf(SteadyTime now, KindIndex kind) const
{
    if (kind >= this->rates.size())
        return 0;
    return this->rates[kind].tasksPerSecond * std::exp(-seconds(now - this->rates[kind].updatedAt) / rateSeconds);
}

}
