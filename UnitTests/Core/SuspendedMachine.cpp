#include "UnitTests/Core/SuspendedMachine.h"

#include <atomic>
#include <cstdint>
#include <ctime>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

std::atomic<std::int64_t> suspendedNanoseconds { 0 };

}

// Takes the place of the C library's function in the test program.
extern "C" int clock_gettime(clockid_t id, timespec* time) noexcept
{
    constexpr std::int64_t nanosecondsPerSecond = 1'000'000'000;
    const auto result = static_cast<int>(::syscall(SYS_clock_gettime, id, time));
    if (result == 0 && (id == CLOCK_BOOTTIME || id == CLOCK_REALTIME)) {
        const std::int64_t nanoseconds = time->tv_nsec + suspendedNanoseconds;
        time->tv_sec += nanoseconds / nanosecondsPerSecond;
        time->tv_nsec = nanoseconds % nanosecondsPerSecond;
    }
    return result;
}

namespace celeryswitch::Core {

void suspendMachine(std::chrono::nanoseconds span) { suspendedNanoseconds += span.count(); }

}
