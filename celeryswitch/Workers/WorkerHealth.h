#pragma once

#include "celeryswitch/Core/FadingSum.h"
#include "celeryswitch/Messages/WorkMessages.h"
#include <cstdint>

namespace celeryswitch::Workers {

/// Health of one worker, derived from the outcome of its runs: its speed relative to the expected times, the rate at
/// which it frees capacity, and whether it refuses, fails or stalls runs. A worker that does is put on probation: it
/// gets one run at a time, with a growing delay after each failure, until one succeeds at sufficient speed.
class WorkerHealth {
public:
    /// Records progress of a run: the part `expected` of its expected time took `elapsed`.
    void recordProgress(Core::SteadyTime now, Core::Duration expected, Core::Duration elapsed);
    /// Records the end of a run, which freed `room`.
    void recordEnd(Core::SteadyTime now, Messages::RunEnd end, const Messages::Room& room);

    /// Records a start that the worker refused because it is unhealthy. Counts as a failure, but frees no capacity.
    void recordRefusal(Core::SteadyTime now);

    /// Speed of the worker in percent of the expected speed.
    std::uint16_t pacePercent(Core::SteadyTime now) const;
    /// Rate at which ending runs free capacity, in thousandths of a core per second.
    std::int64_t freedMilliCoresPerSecond(Core::SteadyTime now) const;
    /// Whether the worker is limited to one run at a time.
    bool isOnProbation() const { return this->onProbation; }
    /// Earliest time of the next run of a worker on probation.
    Core::SteadyTime probeAt() const { return this->nextProbe; }
    /// Share of the recent runs that failed, 0 to 100.
    std::uint8_t failurePercent(Core::SteadyTime now) const;

private:
    void recordFailure(Core::SteadyTime now);
    void updateProbation(Core::SteadyTime now);

    Core::FadingSum expectedTime { std::chrono::milliseconds(1000) };
    Core::FadingSum elapsedTime { std::chrono::milliseconds(1000) };
    Core::FadingSum freedMilliCores { std::chrono::milliseconds(500) };
    Core::FadingSum recentEnds { std::chrono::milliseconds(2000) };
    Core::FadingSum recentFailures { std::chrono::milliseconds(2000) };
    std::uint32_t consecutiveFailures = 0;
    std::uint32_t failedProbes = 0;
    Core::SteadyTime nextProbe;
    bool onProbation = false;
};

}
