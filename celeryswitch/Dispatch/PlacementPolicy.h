#pragma once

#include "celeryswitch/Dispatch/CreditLedger.h"
#include <functional>

namespace celeryswitch::Dispatch {

/// What a placement is decided from.
struct PlacementRequest {
    /// Expected run time of the task.
    Core::Duration expectedRun {};
    /// How long the task has waited.
    Core::Duration waited {};
    /// Tasks of the service that wait at this entry, this one included.
    std::uint32_t waitingTasks = 1;
    /// Round trip to another data centre.
    Core::Duration crossDataCentreTrip {};
};

/// Chooses the sidecar for the next task among idle credits; nothing means that the task waits for a nearer credit.
using PlacementPolicy = std::function<std::optional<SidecarIndex>(const PlacementRequest&, CreditLedger&)>;

/// Near first: same rack, then same data centre, then farther unless a nearer credit is expected back before the trip
/// would be over.
PlacementPolicy nearFirstPlacement();
/// Any idle credit, without regard to distance.
PlacementPolicy anywherePlacement();

}
