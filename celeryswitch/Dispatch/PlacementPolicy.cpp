#include "celeryswitch/Dispatch/PlacementPolicy.h"

#include <algorithm>

namespace celeryswitch::Dispatch {

PlacementPolicy nearFirstPlacement()
{
    return [](const PlacementRequest& request, CreditLedger& ledger) -> std::optional<SidecarIndex> {
        for (Proximity proximity : { Proximity::SameRack, Proximity::SameDataCentre }) {
            if (const auto chosen = ledger.choose(proximity))
                return chosen;
        }
        const Core::Duration nearInterval
            = std::min(ledger.returnInterval(Proximity::SameRack), ledger.returnInterval(Proximity::SameDataCentre));
        // A task that has waited for the trip's time already takes any credit, so that a wrong forecast costs at most
        // one trip.
        if (nearInterval * request.waitingTasks < request.crossDataCentreTrip
            && request.waited < request.crossDataCentreTrip)
            return std::nullopt;
        return ledger.choose(Proximity::Farther);
    };
}

PlacementPolicy anywherePlacement()
{
    return [](const PlacementRequest&, CreditLedger& ledger) -> std::optional<SidecarIndex> {
        for (Proximity proximity : { Proximity::Farther, Proximity::SameDataCentre, Proximity::SameRack }) {
            if (const auto chosen = ledger.choose(proximity))
                return chosen;
        }
        return std::nullopt;
    };
}

}
