#pragma once

#include "celeryswitch/Core/FadingSum.h"
#include <cstdint>

namespace celeryswitch::Scheduling {

/// Time that something is expected to take.
struct TimeEstimate {
    /// Median, in seconds.
    double seconds = 0;
    /// Standard deviation of the logarithm.
    double deviation = 0;

    /// Probability that it takes longer than a time.
    double probabilityAbove(double limitSeconds) const;
};

/// What an entry has learned of the jobs of one queue: how often they come, how much work they are, and how long their
/// tasks take against the times that callers declare.
class KindModel {
public:
    explicit KindModel(Core::SteadyTime now);

    /// Priority of its queue; 0 is the most urgent.
    void setPriority(std::uint32_t value) { this->queuePriority = value; }
    std::uint32_t priority() const { return this->queuePriority; }

    /// A job arrived that is expected to be this much work, in core-seconds.
    void arrived(Core::SteadyTime now, double coreSeconds);
    /// A step ended whose longest task took `longest` and whose tasks took `mean` seconds, on workers of ordinary
    /// speed.
    void observed(double declaredSeconds, double longest, double mean);

    /// Time of a step's longest task on a worker of ordinary speed.
    TimeEstimate stepTime(double declaredSeconds) const;
    /// Time of one of its tasks.
    double taskSeconds(double declaredSeconds) const;
    /// Mean work of a job, in core-seconds; 0 before the first.
    double meanWork(Core::SteadyTime now) const
    {
        const double count = this->arrivals.at(now);
        return count > 0 ? this->work.at(now) / count : 0;
    }
    /// Work that the kind asks for, in cores.
    double demand(Core::SteadyTime now) const { return this->work.rate(now, this->since); }

private:
    std::uint32_t queuePriority = 0;
    Core::SteadyTime since;
    Core::FadingSum arrivals;
    Core::FadingSum work;
    /// Weighted sums of a regression of the logarithms of actual times on those of declared ones.
    double weight = 0;
    double sumX = 0;
    double sumY = 0;
    double sumXX = 0;
    double sumXY = 0;
    double sumYY = 0;
    /// Mean of the logarithm of a task's share in its step's longest time.
    double taskShare = -0.1;
};

}
