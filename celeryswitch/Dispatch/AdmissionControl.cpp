#include "celeryswitch/Dispatch/AdmissionControl.h"

#include <algorithm>
#include <cmath>

namespace celeryswitch::Dispatch {

using Core::Duration;
using Core::SteadyTime;
using Messages::TaskReason;

namespace {

// Time constant of the exponential average of start rates, in seconds.
constexpr double rateWindowSeconds = 2;
// Fraction of the queue that is closed to a kind above its share, so that a burst of one kind doesn't cause refusals
// for the others.
constexpr double fractionKeptForOthers = 0.1;
constexpr Duration minimumRetryAfter = std::chrono::milliseconds(100);
constexpr Duration maximumRetryAfter = std::chrono::seconds(60);

double seconds(Duration span) { return std::chrono::duration<double>(span).count(); }
Duration fromSeconds(double span) { return Duration(static_cast<std::int64_t>(std::min(span, 1e6) * 1e9)); }

}

void AdmissionControl::tasksStarted(SteadyTime now, KindIndex kind, std::uint32_t tasks)
{
    if (this->rates.size() <= kind)
        this->rates.resize(kind + 1);
    this->rates[kind].tasksPerSecond = this->startRate(now, kind) + tasks / rateWindowSeconds;
    this->rates[kind].updatedAt = now;
}

AdmissionResult AdmissionControl::evaluate(SteadyTime now, const AdmissionRequest& request) const
{
    if (!request.hasSidecar)
        return { false, TaskReason::NoSuchService, {} };
    if (request.largestWorkerMemoryBytes > 0 && request.declaredMemoryBytes > request.largestWorkerMemoryBytes)
        return { false, TaskReason::TooLarge, {} };
    const double limit = request.waitingTasksLimit;
    const bool isAboveShare = request.waitingOfKind + request.taskCount > limit * request.share;
    const double bound = isAboveShare ? limit * (1 - fractionKeptForOthers) : limit;
    if (request.waiting + double(request.taskCount) > bound) {
        // A job larger than the bound can never be queued.
        if (request.taskCount > bound)
            return { false, TaskReason::TooLarge, {} };
        const double excess = request.waiting + double(request.taskCount) - bound;
        const Duration wait = this->expectedWait(now, request, static_cast<std::uint32_t>(excess));
        return { false, TaskReason::QueueFull, std::clamp(wait, minimumRetryAfter, maximumRetryAfter) };
    }
    if (request.deadline) {
        const std::uint32_t ahead = request.waitingOfKind + request.taskCount - 1;
        const Duration wait = ahead > 0 ? this->expectedWait(now, request, ahead) : Duration::zero();
        const Duration lateness = wait + request.expectedRun - (*request.deadline - now);
        if (lateness > Duration::zero())
            return { false, TaskReason::DeadlineUnreachable,
                wait > Duration::zero() ? std::clamp(lateness, minimumRetryAfter, maximumRetryAfter)
                                        : Duration::zero() };
    }
    return {};
}

Duration AdmissionControl::expectedWait(SteadyTime now, const AdmissionRequest& request, std::uint32_t tasks) const
{
    // The observed rate underestimates capacity while slots are free, so the guaranteed rate is the minimum. Tasks that
    // fit into the guaranteed slots do not wait.
    const double guaranteedSlots = std::max(request.share * request.slots, 0.1);
    const double guaranteed = guaranteedSlots / std::max(seconds(request.expectedRun), 1e-4);
    const double rate = std::max(this->startRate(now, request.kind), guaranteed);
    return fromSeconds(std::max(0.0, tasks - (request.waitingOfKind == 0 ? guaranteedSlots : 0.0)) / rate);
}

double AdmissionControl::startRate(SteadyTime now, KindIndex kind) const
{
    if (kind >= this->rates.size())
        return 0;
    return this->rates[kind].tasksPerSecond * std::exp(-seconds(now - this->rates[kind].updatedAt) / rateWindowSeconds);
}

}
