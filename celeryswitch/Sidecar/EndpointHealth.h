#pragma once

#include "celeryswitch/Core/Clock.h"
#include <algorithm>
#include <cstdint>

namespace celeryswitch::Sidecar {

/// Exponential backoff for the slots of a failing endpoint. After a failure the slot is withheld, longer with each
/// consecutive failure, so that an endpoint that fails fast attracts no load. From the third consecutive failure on,
/// slots are released one after the other, so that the endpoint gets one task at a time until one succeeds.
class EndpointHealth {
public:
    /// Delay after the first failure; doubles with each consecutive one.
    static constexpr std::chrono::milliseconds initialDelay { 25 };
    /// Maximum delay. Bounds both the number of tasks that a broken endpoint fails and the time to detect its recovery.
    static constexpr std::chrono::seconds maximumDelay { 2 };
    /// Consecutive failures from which on the endpoint gets one task at a time.
    static constexpr std::uint32_t probingThreshold = 3;

    /// Records a task that ended without an endpoint error; withheld slots may be released at once.
    void succeeded() { this->failures = 0; }
    /// Records a failure of the endpoint; returns the time at which the slot may be used again.
    Core::SteadyTime failed(Core::SteadyTime now)
    {
        const std::uint32_t doublings = std::min<std::uint32_t>(this->failures, 16);
        const auto delay = std::min<Core::Duration>(maximumDelay, initialDelay * (1 << doublings));
        ++this->failures;
        const bool isProbing = this->failures >= probingThreshold;
        this->lastRelease = (isProbing ? std::max(now, this->lastRelease) : now) + delay;
        return this->lastRelease;
    }
    /// Failures since the last success.
    std::uint32_t consecutiveFailures() const { return this->failures; }

private:
    std::uint32_t failures = 0;
    // Release time of the slot that was withheld last.
    Core::SteadyTime lastRelease {};
};

}
