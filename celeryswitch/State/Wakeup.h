#pragma once

#include "celeryswitch/Core/Clock.h"
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
    /// Sleeps until `notify` or a time.
    void waitUntil(Core::SteadyTime due)
    {
        std::unique_lock<std::mutex> guard(this->mutex);
        this->condition.wait_until(guard, due, [this] { return this->isNotified; });
        this->isNotified = false;
    }

private:
    std::mutex mutex;
    std::condition_variable condition;
    bool isNotified = false;
};

}
