#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Core/FadingSum.h"
#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

namespace celeryswitch::Scheduling {

/// Refuses the surplus of requests that an entry's processor can't handle, before they are read, so that the others are
/// answered in time. The lag of the event loop tells whether the processor keeps up. Queues with few requests are
/// spared: the surplus is taken from the queues with the most. Pure: time and lag are passed in.
class OverloadGuard {
public:
    /// Called at short intervals: a timer was handled `lag` after it was due.
    void loopObserved(Core::SteadyTime now, Core::Duration lag);
    /// Whether a new request of a queue is taken.
    bool admits(Core::SteadyTime now, const std::string& queue);
    /// Share of the requests that is refused now, 0 to 1.
    double refusedShare() const { return this->share; }
    /// Lag that all of the latest observations had at least.
    Core::Duration standingLag() const;
    /// Time after which a refused caller is told to come back, spread by `salt`.
    Core::Duration retryDelay(std::string_view salt) const;

private:
    /// A single late observation may be a stop of the process; a lag in all of the latest ones is a backlog.
    static constexpr std::size_t observations = 2;
    static constexpr Core::Duration arrivalSpan = std::chrono::milliseconds(1000);

    struct Queue {
        Core::FadingSum arrivals { arrivalSpan };
        double admittedShare = 1;
        /// Part of a request that may still be admitted; decides so that admissions are spaced evenly.
        double credit = 0;
    };

    void divide(Core::SteadyTime now);

    std::array<Core::Duration, observations> lags {};
    std::size_t nextLag = 0;
    Core::SteadyTime observedAt;
    double share = 0;
    std::unordered_map<std::string, Queue> queues;
};

}
