#pragma once

#include <chrono>

namespace celeryswitch::Core {

/// Monotonic clock that also counts the time for which the machine was suspended, which std::chrono::steady_clock
/// leaves out: leases and deadlines expire during a suspension as well. A type of its own, so that the compiler refuses
/// to mix its times with those of std::chrono::steady_clock.
struct BootClock {
    // Names that the standard library requires of a clock.
    // NOLINTBEGIN(readability-identifier-naming)
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true;
    // NOLINTEND(readability-identifier-naming)

    static time_point now() noexcept;
};

/// Monotonic time of one process; never compared between processes.
using SteadyTime = BootClock::time_point;
/// Wall clock time; may jump.
using WallTime = std::chrono::system_clock::time_point;
/// Span of time at the resolution that decisions use.
using Duration = std::chrono::nanoseconds;

/// Source of time, passed in so that tests and experiments can set it.
class Clock {
public:
    virtual ~Clock() = default;
    /// Monotonic time.
    virtual SteadyTime steadyNow() const = 0;
    /// Wall clock time.
    virtual WallTime wallNow() const = 0;
};

/// The clocks of the operating system.
class SystemClock final : public Clock {
public:
    SteadyTime steadyNow() const override { return BootClock::now(); }
    WallTime wallNow() const override { return std::chrono::system_clock::now(); }
};

/// A clock that moves only when told to.
class ManualClock final : public Clock {
public:
    SteadyTime steadyNow() const override { return this->steady; }
    WallTime wallNow() const override { return this->wall; }
    /// Moves both clocks forward.
    void advance(Duration span)
    {
        this->steady += std::chrono::duration_cast<SteadyTime::duration>(span);
        this->wall += std::chrono::duration_cast<WallTime::duration>(span);
    }

private:
    SteadyTime steady { std::chrono::seconds(1000) };
    WallTime wall { std::chrono::seconds(1700000000) };
};

/// Wall clock time in milliseconds since 1970.
inline std::int64_t toUnixMilliseconds(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

/// Microseconds of a steady time, the unit of clock samples in messages.
inline std::int64_t toClockSample(SteadyTime time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
}

}
