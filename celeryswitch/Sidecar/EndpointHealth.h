#pragma once

#include "celeryswitch/Core/Clock.h"
#include <algorithm>
#include <cstdint>

namespace celeryswitch::Sidecar {

/// Spaces out the work of an endpoint that fails. After a failure the slot is held back, longer with each failure in a
/// row, so that an endpoint that fails fast attracts no load. From the third failure in a row on, held slots come back
/// one after the other, so that the endpoint gets one task at a time until one succeeds.
class EndpointHealth {
public:
    /// Delay after the first failure in a row; doubles with each further one.
    static constexpr std::chrono::milliseconds firstDelay { 25 };
    /// Longest delay. Bounds both the tasks lost to a broken endpoint and the time to notice that it works again.
    static constexpr std::chrono::seconds longestDelay { 2 };
    /// Failures in a row from which on one task at a time is given.
    static constexpr std::uint32_t probingFailures = 3;

    /// A task ended without an endpoint error; held slots may come back at once.
    void succeeded() { this->failures = 0; }
    /// A task failed through the endpoint; returns when its slot may be used again.
    Core::SteadyTime failed(Core::SteadyTime now)
    {
        const std::uint32_t doublings = std::min<std::uint32_t>(this->failures, 16);
        const auto delay = std::min<Core::Duration>(longestDelay, firstDelay * (1 << doublings));
        ++this->failures;
        const bool isProbing = this->failures >= probingFailures;
        this->lastRelease = (isProbing ? std::max(now, this->lastRelease) : now) + delay;
        return this->lastRelease;
    }
    /// Failures since the last success.
    std::uint32_t failuresInARow() const { return this->failures; }

private:
    std::uint32_t failures = 0;
    // When the slot held back last comes back.
    Core::SteadyTime lastRelease {};
};

}
