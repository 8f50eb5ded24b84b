#pragma once

#include <chrono>

namespace celeryswitch::Core {

/// Makes the clocks of this process advance as after a suspension of the machine: CLOCK_BOOTTIME and the time of day
/// count the time, CLOCK_MONOTONIC does not. Lasts until the end of the process.
void suspendMachine(std::chrono::nanoseconds span);

}
