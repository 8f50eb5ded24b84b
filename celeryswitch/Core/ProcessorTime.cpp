#include "celeryswitch/Core/ProcessorTime.h"

#include "celeryswitch/Core/Assert.h"
#include <ctime>

namespace celeryswitch::Core {

Duration processorTime()
{
    timespec time {};
    const int result = ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    CELERY_ASSERT(result == 0);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

}
