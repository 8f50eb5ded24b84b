#pragma once

#include "celeryswitch/Dispatch/CreditLedger.h"
#include <functional>

namespace celeryswitch::Dispatch {

/// Input of a placement decision.
struct PlacementRequest {
    Core::Duration expectedRun {};
    /// Time for which the task has waited.
    Core::Duration waited {};
    /// Tasks of the service that wait at this entry, including this one.
    std::uint32_t waitingTasks = 1;
    /// Round trip to another data centre.
    Core::Duration crossDataCentreRoundTrip {};
};

/// Selects the sidecar for the next task among idle credits; nothing if the task should wait for a nearer credit.
using PlacementPolicy = std::function<std::optional<SidecarIndex>(const PlacementRequest&, CreditLedger&)>;

/// Same rack first, then same data centre, then other data centres, unless a nearer credit is expected within the round
/// trip.
PlacementPolicy nearestFirstPlacement();
/// Any idle credit, other data centres first; a baseline for comparisons.
PlacementPolicy farthestFirstPlacement();

}
