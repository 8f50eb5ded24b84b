#include "celeryswitch/Dispatch/RetryBudget.h"

#include <algorithm>
#include <random>

namespace celeryswitch::Dispatch {

namespace {

// Largest number of accumulated retries. A draining worker returns the tasks of its 8 slots and as many queued batches
// at once.
constexpr double maximumBurst = 100;
constexpr std::int64_t initialBackoffMicroseconds = 10'000;
constexpr std::int64_t maximumBackoffMicroseconds = 1'000'000;

}

RetryBudget::RetryBudget(std::uint64_t seed)
    : tokens(maximumBurst)
    , generator(seed)
{
}

void RetryBudget::setPercent(std::int64_t newPercent) { this->percent = double(newPercent); }

void RetryBudget::tasksStarted(std::uint32_t count)
{
    this->tokens = std::min(maximumBurst, this->tokens + count * this->percent / 100);
}

bool RetryBudget::tryTake()
{
    if (this->tokens < 1 || this->percent <= 0)
        return false;
    this->tokens -= 1;
    return true;
}

Core::Duration RetryBudget::backoff(std::uint32_t attempt)
{
    const std::int64_t bound
        = std::min(maximumBackoffMicroseconds, initialBackoffMicroseconds << std::min<std::uint32_t>(attempt, 16));
    return std::chrono::microseconds(std::uniform_int_distribution<std::int64_t>(0, bound)(this->generator));
}

double RetryBudget::available() const { return this->tokens; }

}
