#pragma once

#include "celeryswitch/Core/Clock.h"
#include <algorithm>
#include <cstdint>

namespace celeryswitch::Scheduling {

/// A time in a number of seconds, or now when the number is negative.
inline Core::SteadyTime after(Core::SteadyTime now, double seconds)
{
    return now
        + std::chrono::duration_cast<Core::SteadyTime::duration>(std::chrono::duration<double>(std::max(0.0, seconds)));
}

/// Seconds from now to a time; negative when it has passed.
inline double secondsUntil(Core::SteadyTime now, Core::SteadyTime time)
{
    return std::chrono::duration<double>(time - now).count();
}

/// A span in whole milliseconds.
inline std::int64_t milliseconds(Core::Duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

}
