#pragma once

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>

namespace celeryswitch::Core {

/// Bounded ring from one producer thread to one consumer thread.
template <typename T> class Ring {
public:
    /// `capacity` in elements; `wakeConsumer` is called on the producer's thread after each push.
    Ring(std::size_t capacity, std::function<void()> wakeConsumer)
        : queue(capacity)
        , wakeConsumer(std::move(wakeConsumer))
    {
    }

    /// Appends an element; returns false, and counts a refusal, when the ring is full. `value` is kept on refusal.
    bool tryPush(T&& value)
    {
        if (!this->queue.push(std::move(value))) {
            this->refusals.fetch_add(1, std::memory_order_relaxed);
            return false;
        }
        if (this->wakeConsumer)
            this->wakeConsumer();
        return true;
    }
    /// Takes every waiting element in order; returns how many. Consumer thread only.
    template <typename F> std::size_t drain(F&& consume)
    {
        std::size_t count = 0;
        T value;
        while (this->queue.pop(value)) {
            consume(std::move(value));
            ++count;
        }
        return count;
    }
    /// Elements waiting, as the consumer sees them.
    std::size_t size() const { return this->queue.read_available(); }
    /// Pushes refused since the start because the ring was full.
    std::uint64_t refusedCount() const { return this->refusals.load(std::memory_order_relaxed); }

private:
    boost::lockfree::spsc_queue<T> queue;
    std::function<void()> wakeConsumer;
    std::atomic<std::uint64_t> refusals { 0 };
};

}
