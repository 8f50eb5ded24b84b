#pragma once

#include "celeryswitch/Core/Clock.h"
#include <functional>
#include <map>
#include <pcg_random.hpp>
#include <stdexcept>
#include <string>

namespace celeryswitch::Explorer {

/// Mechanisms of section 3 of the design page; each can be switched off to show that the explorer notices.
struct Mechanisms {
    bool hasEpochCheck = true;
    bool hasClockEcho = true;
    bool hasTransferWait = true;
    bool hasJobTableLookup = true;
    bool hasRecovery = true;
    bool hasLeaseCheck = true;
};

/// A promise was broken.
class Violation : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Virtual time, its events, and the seeded choices of one schedule.
class Loop {
public:
    explicit Loop(std::uint64_t seed)
        : random(seed)
    {
    }

    /// Runs an action after a delay.
    void after(Core::Duration delay, std::function<void()> action)
    {
        this->events.emplace(std::pair(this->now + delay, ++this->lastNumber), std::move(action));
    }
    /// Runs events until a time.
    void runUntil(Core::Duration end)
    {
        while (!this->events.empty() && this->events.begin()->first.first <= end) {
            auto event = this->events.extract(this->events.begin());
            this->now = event.key().first;
            event.mapped()();
        }
    }
    /// A whole number from 0 to `count` - 1.
    std::uint32_t choose(std::uint32_t count) { return this->random(count); }
    /// Whether something happens that has this chance in a thousand.
    bool happens(std::uint32_t perMille) { return this->random(1000) < perMille; }
    /// A span between two, in milliseconds.
    Core::Duration span(std::uint32_t least, std::uint32_t most)
    {
        return std::chrono::microseconds(least * 1000ULL + this->random((most - least) * 1000 + 1));
    }

    /// Time since the start of the schedule.
    Core::Duration now {};

private:
    pcg32 random;
    std::map<std::pair<Core::Duration, std::uint64_t>, std::function<void()>> events;
    std::uint64_t lastNumber = 0;
};

/// Clocks of one process: each has its own origin, rate and distance from true wall time.
struct NodeClock {
    Core::Duration origin {};
    /// Parts in a thousand by which the steady clock runs fast; within the lease margin.
    std::int64_t drift = 0;
    std::int64_t wallSkewMilliseconds = 0;

    Core::SteadyTime steady(const Loop& loop) const
    {
        const Core::Duration local = this->origin + loop.now + loop.now * this->drift / 1000;
        return Core::SteadyTime(std::chrono::duration_cast<Core::SteadyTime::duration>(local));
    }
    std::int64_t wall(const Loop& loop) const
    {
        return 1'700'000'000'000 + std::chrono::duration_cast<std::chrono::milliseconds>(loop.now).count()
            + this->wallSkewMilliseconds;
    }
    Core::WallTime wallTime(const Loop& loop) const
    {
        return Core::WallTime(std::chrono::milliseconds(this->wall(loop)));
    }
    static NodeClock draw(Loop& loop)
    {
        return { std::chrono::seconds(100 + loop.choose(1000)), std::int64_t(loop.choose(41)) - 20,
            std::int64_t(loop.choose(8001)) - 4000 };
    }
};

}
