#include "Program/StallWatch.h"

#include <ctime>

namespace celeryswitch::Program {

namespace {

std::chrono::nanoseconds readClock(clockid_t id)
{
    timespec time {};
    ::clock_gettime(id, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

std::int64_t toMilliseconds(std::chrono::nanoseconds span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

}

StallWatch::StallWatch(Logging::StructuredLog& log)
    : log(log)
    , last(read())
{
}

StallWatch::Reading StallWatch::read() { return { readClock(CLOCK_BOOTTIME), readClock(CLOCK_MONOTONIC) }; }

void StallWatch::check()
{
    const Reading now = read();
    const std::chrono::nanoseconds elapsed = now.withSuspension - this->last.withSuspension;
    if (elapsed > stallThreshold)
        this->log.write(Logging::LogLevel::Warning, "process stalled",
            { { "stalled_ms", toMilliseconds(elapsed) },
                { "suspended_ms", toMilliseconds(elapsed - (now.withoutSuspension - this->last.withoutSuspension)) } });
    this->last = now;
}

}
