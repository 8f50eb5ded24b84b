#pragma once

#include "celeryswitch/Core/FadingSum.h"
#include "celeryswitch/Messages/WorkMessages.h"
#include <cstdint>

namespace celeryswitch::Workers {

/// Judges one worker by what became of its runs: its speed against the expected times, the room that it gives back, and
/// whether it refuses, fails or stalls what it is to run. A worker that does is on probation: it gets one run at a
/// time, with a pause after each failure that grows, until one succeeds at a usable speed.
class WorkerHealth {
public:
    /// A run made progress: `expected` of its expected time in `elapsed`.
    void progressed(Core::SteadyTime now, Core::Duration expected, Core::Duration elapsed);
    /// A run ended and gave its room back; `isFailed` is set for a failure of the run or the worker.
    void ended(Core::SteadyTime now, Messages::RunEnd end, const Messages::Room& room);

    /// The worker refused a run because it is unhealthy. It did nothing, and is as free as before.
    void refused(Core::SteadyTime now);

    /// Speed of the worker, in percent of the ordinary one.
    std::uint16_t pacePercent(Core::SteadyTime now) const;
    /// Room that ends of runs give back, in thousandths of a core a second.
    std::int64_t freedMilliCoresPerSecond(Core::SteadyTime now) const;
    /// Whether the worker gets one run at a time.
    bool isOnProbation() const { return this->onProbation; }
    /// When a worker on probation may get its next run.
    Core::SteadyTime probeAt() const { return this->nextProbe; }
    /// Part of the latest runs that failed, 0 to 100.
    std::uint8_t failurePercent(Core::SteadyTime now) const;

private:
    void failed(Core::SteadyTime now);
    void judge(Core::SteadyTime now);

    Core::FadingSum expectedTime { std::chrono::milliseconds(1000) };
    Core::FadingSum elapsedTime { std::chrono::milliseconds(1000) };
    Core::FadingSum freed { std::chrono::milliseconds(500) };
    Core::FadingSum ends { std::chrono::milliseconds(2000) };
    Core::FadingSum failures { std::chrono::milliseconds(2000) };
    std::uint32_t failuresInARow = 0;
    std::uint32_t failedProbes = 0;
    Core::SteadyTime nextProbe;
    bool onProbation = false;
};

}
