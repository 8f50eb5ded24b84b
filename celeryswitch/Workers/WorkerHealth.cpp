#include "celeryswitch/Workers/WorkerHealth.h"

#include <algorithm>

namespace celeryswitch::Workers {

using Messages::RunEnd;

namespace {

// Seconds of ordinary progress that stand for what is expected of a worker that has shown little.
constexpr double priorSeconds = 0.3;
// Failures without a success between them that put a worker on probation when they are also this part of its latest
// runs. Jobs that fail everywhere are too rare for both.
constexpr std::uint32_t failureLimit = 2;
constexpr std::uint8_t failureLimitPercent = 40;
// Ends that stand for what is expected of a worker that has shown little.
constexpr double priorEnds = 2;
// Bounds of the pause between two runs on probation; it doubles with each failure.
constexpr Core::Duration shortestProbePause = std::chrono::milliseconds(100);
constexpr Core::Duration longestProbePause = std::chrono::milliseconds(1600);
// Bounds of the speed, in percent, below which a worker goes on probation and above which it leaves it.
constexpr int stalledPercent = 25;
constexpr int usablePercent = 50;
constexpr double freedSpanSeconds = 0.5;

}

void WorkerHealth::progressed(Core::SteadyTime now, Core::Duration expected, Core::Duration elapsed)
{
    this->expectedTime.add(now, std::chrono::duration<double>(expected).count());
    this->elapsedTime.add(now, std::chrono::duration<double>(elapsed).count());
    this->judge(now);
}

void WorkerHealth::ended(Core::SteadyTime now, RunEnd end, const Messages::Room& room)
{
    this->freed.add(now, static_cast<double>(room.milliCores));
    if (end == RunEnd::Failed) {
        this->failed(now);
        return;
    }
    if (end == RunEnd::Done) {
        this->ends.add(now, 1);
        this->failuresInARow = 0;
    }
    this->judge(now);
    if (!this->onProbation)
        this->failedProbes = 0;
}

void WorkerHealth::refused(Core::SteadyTime now) { this->failed(now); }

void WorkerHealth::failed(Core::SteadyTime now)
{
    this->ends.add(now, 1);
    this->failures.add(now, 1);
    ++this->failuresInARow;
    this->judge(now);
    if (!this->onProbation) {
        this->failedProbes = 0;
        return;
    }
    // What was ordered before the pause is no probe.
    if (now < this->nextProbe)
        return;
    this->nextProbe
        = now + std::min(longestProbePause, shortestProbePause * (1 << std::min<std::uint32_t>(this->failedProbes, 8)));
    ++this->failedProbes;
}

void WorkerHealth::judge(Core::SteadyTime now)
{
    const int pace = this->pacePercent(now);
    const bool isFailing = this->failuresInARow >= failureLimit && this->failurePercent(now) >= failureLimitPercent;
    if (isFailing || pace < stalledPercent)
        this->onProbation = true;
    else if (this->failuresInARow == 0 && pace >= usablePercent)
        this->onProbation = false;
}

std::uint8_t WorkerHealth::failurePercent(Core::SteadyTime now) const
{
    return static_cast<std::uint8_t>(100 * this->failures.at(now) / (this->ends.at(now) + priorEnds));
}

std::uint16_t WorkerHealth::pacePercent(Core::SteadyTime now) const
{
    const double pace = (this->expectedTime.at(now) + priorSeconds) / (this->elapsedTime.at(now) + priorSeconds);
    return static_cast<std::uint16_t>(std::clamp(pace * 100, 1.0, 1000.0));
}

std::int64_t WorkerHealth::freedMilliCoresPerSecond(Core::SteadyTime now) const
{
    return static_cast<std::int64_t>(this->freed.at(now) / freedSpanSeconds);
}

}
