#pragma once

#include <algorithm>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace celeryswitch::Messages {

/// Room on a worker, or what a task needs of it.
struct Room {
    /// Largest amount that is taken from other processes: 2^32 times as much, the tasks of a step, or the sum over
    /// 100,000 workers stays far within 63 bits.
    static constexpr std::int64_t largestAmount = 1'000'000'000;

    /// Thousandths of a core.
    std::int64_t milliCores = 0;
    std::int64_t memoryMegabytes = 0;
    std::int64_t accelerators = 0;

    /// Whether every amount is from 0 to `largestAmount`.
    bool isInRange() const
    {
        const auto isAmount = [](std::int64_t amount) { return amount >= 0 && amount <= largestAmount; };
        return isAmount(this->milliCores) && isAmount(this->memoryMegabytes) && isAmount(this->accelerators);
    }
    /// Whether this much fits into `free`.
    bool fits(const Room& free) const
    {
        return this->milliCores <= free.milliCores && this->memoryMegabytes <= free.memoryMegabytes
            && this->accelerators <= free.accelerators;
    }
    /// How many times this much fits into `free`.
    std::int64_t countIn(const Room& free) const
    {
        std::int64_t count = INT32_MAX;
        const auto limit = [&count](std::int64_t need, std::int64_t available) {
            if (need > 0)
                count = std::min(count, std::max<std::int64_t>(0, available) / need);
        };
        limit(this->milliCores, free.milliCores);
        limit(this->memoryMegabytes, free.memoryMegabytes);
        limit(this->accelerators, free.accelerators);
        return count;
    }
    Room& operator+=(const Room& other)
    {
        this->milliCores += other.milliCores;
        this->memoryMegabytes += other.memoryMegabytes;
        this->accelerators += other.accelerators;
        return *this;
    }
    Room& operator-=(const Room& other)
    {
        this->milliCores -= other.milliCores;
        this->memoryMegabytes -= other.memoryMegabytes;
        this->accelerators -= other.accelerators;
        return *this;
    }
    friend Room operator-(Room left, const Room& right) { return left -= right; }
    friend Room operator*(Room room, std::int64_t count)
    {
        return { room.milliCores * count, room.memoryMegabytes * count, room.accelerators * count };
    }

    friend bool operator==(const Room&, const Room&) = default;
    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->milliCores, this->memoryMegabytes, this->accelerators);
    }
};

/// What stays the same for one life of a worker.
struct WorkerProfile {
    std::string workerId;
    /// Start of this life of the worker, milliseconds since 1970.
    std::int64_t bornAt = 0;
    std::string service;
    Room capacity;
    std::vector<std::string> labels;

    friend bool operator==(const WorkerProfile&, const WorkerProfile&) = default;
    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->workerId, this->bornAt, this->service, this->capacity, this->labels);
    }
};

}
