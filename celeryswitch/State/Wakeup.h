#pragma once

#include "celeryswitch/Core/Clock.h"
#include <algorithm>
#include <condition_variable>
#include <mutex>

namespace celeryswitch::State {

/// Blocks one thread until another has work for it.
class Wakeup {
public:
    /// Unblocks the waiting thread, or makes its next wait return at once.
    void notify()
    {
        {
            const std::lock_guard<std::mutex> guard(this->mutex);
            this->isNotified = true;
        }
        this->condition.notify_one();
    }
    /// Sleeps until `notify` or a time, for `maximumWait` at most.
    void waitUntil(Core::SteadyTime due)
    {
        const Core::Duration wait
            = std::clamp<Core::Duration>(due - Core::BootClock::now(), Core::Duration::zero(), maximumWait);
        std::unique_lock<std::mutex> guard(this->mutex);
        this->condition.wait_for(guard, wait, [this] { return this->isNotified; });
        this->isNotified = false;
    }

private:
    static constexpr Core::Duration maximumWait = std::chrono::seconds(1);

    std::mutex mutex;
    std::condition_variable condition;
    bool isNotified = false;
};

}
