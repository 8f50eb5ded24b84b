#pragma once

#include "celeryswitch/Core/Clock.h"
#include <cstdint>
#include <pcg_random.hpp>

namespace celeryswitch::Dispatch {

/// Token bucket that limits retries to a percentage of starts, with exponential backoff and full jitter.
class RetryBudget {
public:
    /// `seed` of the jitter.
    explicit RetryBudget(std::uint64_t seed);

    /// Retries as a percentage of starts, 0 to 100.
    void setPercent(std::int64_t percent);
    /// Adds the retries earned by first starts.
    void tasksStarted(std::uint32_t count);
    /// Takes one retry from the budget; false if none is available.
    bool tryTake();
    /// Random delay before retry `attempt` (from 0), uniform between 0 and an exponential bound.
    Core::Duration backoff(std::uint32_t attempt);
    /// Number of retries available.
    double available() const;

private:
    double percent = 10;
    double tokens;
    pcg32 generator;
};

}
