#pragma once

#include "celeryswitch/Core/Clock.h"
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace celeryswitch::Experiment {

/// Discrete-event queue on a virtual clock; events at the same time run in the order in which they were scheduled.
class EventQueue {
public:
    using Action = std::function<void()>;

    /// Current virtual time.
    Core::SteadyTime now() const { return this->time; }
    /// Schedules an action after a delay, which must not be negative.
    void scheduleAfter(Core::Duration delay, Action action) { this->scheduleAt(this->time + delay, std::move(action)); }
    /// Schedules an action at a time; a time in the past counts as now.
    void scheduleAt(Core::SteadyTime when, Action action)
    {
        this->events.push({ std::max(when, this->time), this->nextSequence++, std::move(action) });
    }
    /// Runs all events up to and including `end`, and advances the clock to it.
    void runUntil(Core::SteadyTime end)
    {
        while (!this->events.empty() && this->events.top().when <= end) {
            // top() is const; the event is moved out before its action runs, since the action may schedule others.
            Event event = std::move(const_cast<Event&>(this->events.top()));
            this->events.pop();
            this->time = event.when;
            event.action();
        }
        this->time = std::max(this->time, end);
    }

private:
    struct Event {
        Core::SteadyTime when;
        std::uint64_t sequence;
        Action action;

        bool operator<(const Event& other) const
        {
            return this->when != other.when ? this->when > other.when : this->sequence > other.sequence;
        }
    };

    std::priority_queue<Event> events;
    Core::SteadyTime time { std::chrono::seconds(1000) };
    std::uint64_t nextSequence = 0;
};

}
