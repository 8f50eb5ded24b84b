#pragma once

#include "celeryswitch/Core/Clock.h"
#include <algorithm>

namespace celeryswitch::Scheduling {

/// Spaces the decisions of an entry so that they take at most a part of its time, however many messages arrive: what
/// arrives between two of them is decided on together. An entry that is not busy decides on each message at once.
class DecisionPacer {
public:
    /// Earliest time of the next decisions.
    Core::SteadyTime nextAt() const { return this->next; }
    /// Decisions were made and carried out from `from` to `to`.
    void decided(Core::SteadyTime from, Core::SteadyTime to)
    {
        this->next = to + std::min((to - from) * pauseFactor, longestPause);
    }

private:
    /// Length of a pause relative to the decisions before it.
    static constexpr int pauseFactor = 4;
    /// Bound of the delay that pauses add to an answer; a process that was stopped meanwhile measures long decisions.
    static constexpr Core::Duration longestPause = std::chrono::milliseconds(5);

    Core::SteadyTime next;
};

}
