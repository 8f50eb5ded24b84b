#include "celeryswitch/Scheduling/RefusalAdvice.h"

#include <algorithm>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace celeryswitch::Scheduling {

namespace {

// Bounds of the time until callers return, before it is spread over as much again.
constexpr double minimumRetrySeconds = 1;
constexpr double maximumRetrySeconds = 15;

}

Core::Duration retryDelay(double predictedWaitSeconds, std::uint64_t job)
{
    const double base = std::clamp(predictedWaitSeconds, minimumRetrySeconds, maximumRetrySeconds);
    const double spread = static_cast<double>(XXH3_64bits(&job, sizeof(job)) >> 11) / static_cast<double>(1ULL << 53);
    return std::chrono::duration_cast<Core::Duration>(std::chrono::duration<double>(base * (1 + spread)));
}

}
