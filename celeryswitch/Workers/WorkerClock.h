#pragma once

#include "celeryswitch/Core/Clock.h"
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>

namespace celeryswitch::Workers {

/// Relates a worker's steady clock, which may run up to 2 % slow, to the clock of this process.
class WorkerClock {
public:
    /// Records a reading in milliseconds that arrived at `now`; readings that arrive out of order or that no clock
    /// reaches are ignored.
    void sample(Core::SteadyTime now, std::int64_t milliseconds)
    {
        if (milliseconds < 0 || milliseconds > largestReading)
            return;
        if (!this->reading || milliseconds >= *this->reading) {
            this->reading = milliseconds;
            this->readAt = now;
        }
    }
    /// Whether a reading was recorded.
    bool isKnown() const { return this->reading.has_value(); }
    /// Estimate of the worker's clock in milliseconds; it runs ahead of a slow clock.
    std::int64_t at(Core::SteadyTime now) const
    {
        return this->reading.value_or(0)
            + std::chrono::duration_cast<std::chrono::milliseconds>(now - this->readAt).count();
    }
    /// Time on this process's clock by which the worker's clock has certainly reached `milliseconds`; a hundred years
    /// away if that is later.
    Core::SteadyTime certainlyPassedAt(std::int64_t milliseconds) const
    {
        const double left = static_cast<double>(milliseconds) - static_cast<double>(this->reading.value_or(0));
        const double microseconds = std::clamp(left * 1000 / slowestRate, -farthestMicroseconds, farthestMicroseconds);
        return this->readAt + std::chrono::microseconds(std::llround(microseconds));
    }

    /// Highest reading in milliseconds that the worker's clock has certainly reached by `time`.
    std::int64_t lowestAt(Core::SteadyTime time) const
    {
        const double elapsed = std::chrono::duration<double, std::milli>(time - this->readAt).count();
        return this->reading.value_or(0)
            + static_cast<std::int64_t>(std::floor(elapsed * (elapsed < 0 ? 1 : slowestRate)));
    }

private:
    // The platform of leased workers permits clocks that run 2 % slow.
    static constexpr double slowestRate = 0.98;
    // Largest whole number of the worker's messages; the sum with a lease or an elapsed time stays within 63 bits.
    static constexpr std::int64_t largestReading = (std::int64_t(1) << 53) - 1;
    // A hundred years; the sum with a time of this process stays within its range.
    static constexpr double farthestMicroseconds = 100 * 365.0 * 24 * 3600 * 1e6;

    std::optional<std::int64_t> reading;
    Core::SteadyTime readAt;
};

}
