#pragma once

#include "celeryswitch/Core/Clock.h"

namespace celeryswitch::Scheduling {

/// Recognizes the time after an entry was frozen, suspended or starved in which it reads what has arrived meanwhile.
/// Reports that wait in its connections may tell of ends and progress that it does not know yet: until they have been
/// read, no request is begun, no task is placed, and no job or connection is given up.
class StallGuard {
public:
    /// Called at short intervals while the entry runs.
    void observe(Core::SteadyTime now)
    {
        const bool isStall = this->lastSeenAt != Core::SteadyTime {} && now - this->lastSeenAt > stallThreshold;
        if (isStall && now >= this->backlogUntil + recoveryTime)
            this->backlogUntil = now + backlogTime;
        this->lastSeenAt = now;
    }
    /// Whether the entry is still reading what has arrived during a stall.
    bool isReadingBacklog(Core::SteadyTime now)
    {
        this->observe(now);
        return now < this->backlogUntil;
    }
    /// End of the latest such time.
    Core::SteadyTime backlogEnd() const { return this->backlogUntil; }

private:
    /// Well above the time for which a process that works normally is stopped, and below the time after which the lack
    /// of news makes an entry give up jobs or connections.
    static constexpr Core::Duration stallThreshold = std::chrono::milliseconds(250);
    /// Time in which an entry reads what has arrived during a stall.
    static constexpr Core::Duration backlogTime = std::chrono::milliseconds(100);
    /// Minimum time between two such times, so that an entry that stalls again and again still decides.
    static constexpr Core::Duration recoveryTime = std::chrono::seconds(1);

    Core::SteadyTime lastSeenAt;
    Core::SteadyTime backlogUntil;
};

}
