#pragma once

#include "celeryswitch/Core/Clock.h"
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace celeryswitch::Experiment {

/// Events on a virtual clock, run in order of time and then of scheduling.
class EventQueue {
public:
    using Action = std::function<void()>;

    /// Current virtual time.
    Core::SteadyTime now() const { return this->time; }
    /// Runs an action after a delay, which must not be negative.
    void after(Core::Duration delay, Action action) { this->at(this->time + delay, std::move(action)); }
    /// Runs an action at a time; one in the past runs next.
    void at(Core::SteadyTime when, Action action)
    {
        this->events.push({ std::max(when, this->time), this->nextSequence++, std::move(action) });
    }
    /// Runs every event up to and including a time.
    void runUntil(Core::SteadyTime end)
    {
        while (!this->events.empty() && this->events.top().when <= end) {
            // The queue gives only constant access; the event leaves it before its action runs.
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
