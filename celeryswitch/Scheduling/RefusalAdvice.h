#pragma once

#include "celeryswitch/Core/Clock.h"
#include <cstdint>

namespace celeryswitch::Scheduling {

/// Time after which a refused caller is told to come back: when room is expected for work of its rank, so that callers
/// whose work ranks higher return first. The time is spread by a hash of the job, so that callers that were refused
/// together do not return together.
Core::Duration retryDelay(double predictedWaitSeconds, std::uint64_t job);

}
