#include "celeryswitch/Workers/WorkerHealth.h"

#include <algorithm>

namespace celeryswitch::Workers {

using Messages::RunEnd;

namespace {

// Prior for the pace of a worker with few observations, as seconds of progress at ordinary speed.
constexpr double priorSeconds = 0.3;
// A worker goes on probation after this many consecutive failures if they also reach this share of its recent runs.
// Jobs that fail on every worker are too rare to meet both conditions.
constexpr std::uint32_t probationFailures = 2;
constexpr std::uint8_t probationFailurePercent = 40;
// Prior for the failure rate of a worker with few observations, as a number of successful runs.
constexpr double priorEnds = 2;
// Bounds of the delay between runs on probation; it doubles with each failure.
constexpr Core::Duration minimumProbeDelay = std::chrono::milliseconds(100);
constexpr Core::Duration maximumProbeDelay = std::chrono::milliseconds(1600);
// A worker goes on probation below the first pace and may leave it from the second on.
constexpr int probationPacePercent = 25;
constexpr int recoveryPacePercent = 50;
constexpr double freedWindowSeconds = 0.5;

}

void WorkerHealth::recordProgress(Core::SteadyTime now, Core::Duration expected, Core::Duration elapsed)
{
    this->expectedTime.add(now, std::chrono::duration<double>(expected).count());
    this->elapsedTime.add(now, std::chrono::duration<double>(elapsed).count());
    this->updateProbation(now);
}

void WorkerHealth::recordEnd(Core::SteadyTime now, RunEnd end, const Messages::Room& room)
{
    this->freedMilliCores.add(now, static_cast<double>(room.milliCores));
    if (end == RunEnd::Failed) {
        this->recordFailure(now);
        return;
    }
    if (end == RunEnd::Done) {
        this->recentEnds.add(now, 1);
        this->consecutiveFailures = 0;
    }
    this->updateProbation(now);
    if (!this->onProbation)
        this->failedProbes = 0;
}

void WorkerHealth::recordRefusal(Core::SteadyTime now) { this->recordFailure(now); }

void WorkerHealth::recordFailure(Core::SteadyTime now)
{
    this->recentEnds.add(now, 1);
    this->recentFailures.add(now, 1);
    ++this->consecutiveFailures;
    this->updateProbation(now);
    if (!this->onProbation) {
        this->failedProbes = 0;
        return;
    }
    // A run that was started before the delay does not count as a probe.
    if (now < this->nextProbe)
        return;
    this->nextProbe
        = now + std::min(maximumProbeDelay, minimumProbeDelay * (1 << std::min<std::uint32_t>(this->failedProbes, 8)));
    ++this->failedProbes;
}

void WorkerHealth::updateProbation(Core::SteadyTime now)
{
    const int pace = this->pacePercent(now);
    const bool isFailing
        = this->consecutiveFailures >= probationFailures && this->failurePercent(now) >= probationFailurePercent;
    if (isFailing || pace < probationPacePercent)
        this->onProbation = true;
    else if (this->consecutiveFailures == 0 && pace >= recoveryPacePercent)
        this->onProbation = false;
}

std::uint8_t WorkerHealth::failurePercent(Core::SteadyTime now) const
{
    return static_cast<std::uint8_t>(100 * this->recentFailures.at(now) / (this->recentEnds.at(now) + priorEnds));
}

std::uint16_t WorkerHealth::pacePercent(Core::SteadyTime now) const
{
    const double pace = (this->expectedTime.at(now) + priorSeconds) / (this->elapsedTime.at(now) + priorSeconds);
    return static_cast<std::uint16_t>(std::clamp(pace * 100, 1.0, 1000.0));
}

std::int64_t WorkerHealth::freedMilliCoresPerSecond(Core::SteadyTime now) const
{
    return static_cast<std::int64_t>(this->freedMilliCores.at(now) / freedWindowSeconds);
}

}
