#include "celeryswitch/Dispatch/RetryBudget.h"

#include <algorithm>
#include <random>

namespace celeryswitch::Dispatch {

namespace {

// Retries that may be saved up. One worker that drains hands back its 8 slots and as many queued batches at once.
constexpr double largestBurst = 100;
constexpr std::int64_t firstBackoffMicroseconds = 10'000;
constexpr std::int64_t largestBackoffMicroseconds = 1'000'000;

}

RetryBudget::RetryBudget(std::uint64_t seed)
    : tokens(largestBurst)
    , generator(seed)
{
}

void RetryBudget::setPercent(std::int64_t newPercent) { this->percent = double(newPercent); }

void RetryBudget::startsMade(std::uint32_t count)
{
    this->tokens = std::min(largestBurst, this->tokens + count * this->percent / 100);
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
        = std::min(largestBackoffMicroseconds, firstBackoffMicroseconds << std::min<std::uint32_t>(attempt, 16));
    return std::chrono::microseconds(std::uniform_int_distribution<std::int64_t>(0, bound)(this->generator));
}

double RetryBudget::available() const { return this->tokens; }

}
