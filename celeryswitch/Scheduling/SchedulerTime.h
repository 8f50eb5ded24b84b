#pragma once

#include "celeryswitch/Core/Clock.h"
#include <algorithm>
#include <cstdint>

namespace celeryswitch::Scheduling {

/// `now` plus a number of seconds; negative numbers count as 0.
inline Core::SteadyTime addSeconds(Core::SteadyTime now, double seconds)
{
    return now
        + std::chrono::duration_cast<Core::SteadyTime::duration>(std::chrono::duration<double>(std::max(0.0, seconds)));
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
