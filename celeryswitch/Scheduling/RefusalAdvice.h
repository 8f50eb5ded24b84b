#pragma once

#include "celeryswitch/Scheduling/WorkerTable.h"

namespace celeryswitch::Scheduling {

/// Whether any of the workers that an entry knows could ever run a step's tasks. A request that can't be served is
/// refused at once instead of after its wait. Workers that are not known yet count as suitable.
bool hasSuitableWorker(const WorkerTable& workers, const PlacementRequest& request);

/// Time after which a refused caller is told to come back: when room is expected for work of its rank, so that callers
/// whose work ranks higher return first. The time is spread by a hash of the job, so that callers that were refused
/// together do not return together.
Core::Duration retryDelay(double predictedWaitSeconds, std::uint64_t job);

}
