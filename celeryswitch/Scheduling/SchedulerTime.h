#pragma once

#include "celeryswitch/Core/Clock.h"
#include <algorithm>
#include <cstdint>

namespace celeryswitch::Scheduling {

/// `now` plus a number of seconds; negative numbers count as 0 and more than a hundred years as a hundred years.
inline Core::SteadyTime addSeconds(Core::SteadyTime now, double seconds)
{
    // The sum with a time of this process stays within the range of the clock.
    constexpr double longest = 100 * 365.0 * 24 * 3600;
    return now
        + std::chrono::duration_cast<Core::SteadyTime::duration>(
            std::chrono::duration<double>(std::min(std::max(0.0, seconds), longest)));
}

/// Seconds from `now` until `time`; negative when it has passed.
inline double secondsUntil(Core::SteadyTime now, Core::SteadyTime time)
{
    return std::chrono::duration<double>(time - now).count();
}

/// Duration in whole milliseconds, rounded towards zero.
inline std::int64_t toMilliseconds(Core::Duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

}
