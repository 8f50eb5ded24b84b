#include "celeryswitch/Core/Clock.h"

#include "celeryswitch/Core/Assert.h"
#include <ctime>

namespace celeryswitch::Core {

BootClock::time_point BootClock::now() noexcept
{
    timespec time {};
    const int result = ::clock_gettime(CLOCK_BOOTTIME, &time);
    CELERY_ASSERT(result == 0);
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

}
