#include "celeryswitch/Workers/WorkerHealth.h"

#include <algorithm>

namespace celeryswitch::Workers {

using Messages::RunEnd;

namespace {

// Seconds of ordinary progress that stand for what is expected of a worker that has shown little.
constexpr double priorSeconds = 0.3;
// Failures without a success between them that put a worker on probation. Jobs that fail everywhere are rare enough
// that this many in a row on one worker point at the worker.
constexpr std::uint32_t failureLimit = 3;
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
    if (end == RunEnd::Done)
        this->failuresInARow = 0;
    else if (end == RunEnd::Failed)
        ++this->failuresInARow;
    this->judge(now);
}

void WorkerHealth::judge(Core::SteadyTime now)
{
    const int pace = this->pacePercent(now);
    if (this->failuresInARow >= failureLimit || pace < stalledPercent)
        this->onProbation = true;
    else if (this->failuresInARow == 0 && pace >= usablePercent)
        this->onProbation = false;
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
