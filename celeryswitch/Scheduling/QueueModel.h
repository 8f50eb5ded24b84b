#pragma once

#include "celeryswitch/Core/FadingSum.h"
#include <array>
#include <cstdint>

namespace celeryswitch::Scheduling {

/// Estimated duration, log-normally distributed.
struct TimeEstimate {
    /// Median, in seconds.
    double medianSeconds = 0;
    /// Standard deviation of the natural logarithm of the seconds.
    double logDeviation = 0;

    /// Probability that the duration exceeds `limitSeconds`.
    double probabilityAbove(double limitSeconds) const;
};

/// Statistics that an entry keeps of one queue's jobs: arrival rate, work per job, and actual run times against the
/// times that callers declare.
class QueueModel {
public:
    explicit QueueModel(Core::SteadyTime now);

    /// Priority of the queue; 0 is the most urgent.
    void setPriority(std::uint32_t value) { this->queuePriority = value; }
    std::uint32_t priority() const { return this->queuePriority; }

    /// Records the arrival of a job with this estimated work, in core-seconds.
    void recordArrival(Core::SteadyTime now, double coreSeconds);
    /// Records a completed step whose longest task took `longest` and whose tasks took `mean` seconds on average, both
    /// scaled to a worker of median speed.
    void recordStep(double declaredSeconds, double longest, double mean);

    /// Records the run time of a task that prefers a rack, on a worker with the label of the rack or far from it.
    void recordPlace(Core::SteadyTime now, double seconds, bool isFar);
    /// Mean of the recent run times near or far, in seconds; 0 when there are none.
    double placeSeconds(bool isFar) const;

    /// Estimated time of a step's longest task on a worker of median speed.
    TimeEstimate stepTime(double declaredSeconds) const;
    /// Estimated time of a single task of such a step, in seconds.
    double taskSeconds(double declaredSeconds) const;
    /// Mean work of a job, in core-seconds; 0 before the first arrival.
    double meanWork(Core::SteadyTime now) const
    {
        const double count = this->arrivals.at(now);
        return count > 0 ? this->work.at(now) / count : 0;
    }
    /// Work that arrives per second, in cores.
    double demand(Core::SteadyTime now) const { return this->work.rate(now, this->since); }

private:
    std::uint32_t queuePriority = 0;
    Core::SteadyTime since;
    Core::FadingSum arrivals;
    Core::FadingSum work;
    /// Exponentially weighted sums for the regression of log(actual time) on log(declared time).
    double weight = 0;
    double sumX = 0;
    double sumY = 0;
    double sumXX = 0;
    double sumXY = 0;
    double sumYY = 0;
    /// Mean of log(mean task time / longest task time) over the steps.
    double logTaskShare = -0.1;
    /// Number and sum of the run times near and far.
    std::array<Core::FadingSum, 2> placeRuns;
    std::array<Core::FadingSum, 2> placeTimes;
};

}
