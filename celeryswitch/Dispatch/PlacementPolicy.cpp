#include "celeryswitch/Dispatch/PlacementPolicy.h"

#include <algorithm>

namespace celeryswitch::Dispatch {

PlacementPolicy nearestFirstPlacement()
{
    return [](const PlacementRequest& request, CreditLedger& ledger) -> std::optional<SidecarIndex> {
        for (Proximity proximity : { Proximity::SameRack, Proximity::SameDataCentre }) {
            if (const auto chosen = ledger.choose(proximity))
                return chosen;
        }
        const Core::Duration nearInterval
            = std::min(ledger.returnInterval(Proximity::SameRack), ledger.returnInterval(Proximity::SameDataCentre));
        // A task that has already waited one round trip takes any credit, which limits the cost of a wrong estimate to
        // one round trip.
        if (nearInterval * request.waitingTasks < request.crossDataCentreRoundTrip
            && request.waited < request.crossDataCentreRoundTrip)
            return std::nullopt;
        return ledger.choose(Proximity::OtherDataCentre);
    };
}

PlacementPolicy farthestFirstPlacement()
{
    return [](const PlacementRequest&, CreditLedger& ledger) -> std::optional<SidecarIndex> {
        for (Proximity proximity : { Proximity::OtherDataCentre, Proximity::SameDataCentre, Proximity::SameRack }) {
            if (const auto chosen = ledger.choose(proximity))
                return chosen;
        }
        return std::nullopt;
    };
}

}
