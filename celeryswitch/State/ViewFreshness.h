#pragma once

#include "celeryswitch/Core/Clock.h"
#include <chrono>

namespace celeryswitch::State {

/// Decides whether a process may begin with the view of a replica. A replica that was restarted from an older log or is
/// cut off may still list members that have left and routes that were withdrawn; a process that was restarted as well
/// knows nothing newer. It therefore waits for a replica in contact with a leader, but not for ever: while the group
/// has no leader, an older view is better than none.
class ViewFreshness {
public:
    ViewFreshness(Core::SteadyTime startedAt, Core::Duration contactAgeLimit)
        : startedAt(startedAt)
        , contactAgeLimit(contactAgeLimit)
    {
    }
    /// Whether the replica is in contact with a leader.
    bool isFresh(Core::Duration contactAge) const { return contactAge <= this->contactAgeLimit; }
    /// Whether a view may be used by a process that has or has not used one before; later ones only ever go forward.
    bool isUsable(Core::SteadyTime now, Core::Duration contactAge, bool isFirst) const
    {
        return !isFirst || this->isFresh(contactAge) || now >= this->startedAt + firstViewPatience;
    }

private:
    /// Longer than an election and the return of a group after a loss of power.
    static constexpr Core::Duration firstViewPatience = std::chrono::milliseconds(2500);

    Core::SteadyTime startedAt;
    Core::Duration contactAgeLimit;
};

}
