#pragma once

#include <cstddef>

namespace celeryswitch::Scheduling {

/// Memory that an entry spends on the records of open jobs and on outcomes. A part of it is kept for what open jobs
/// come to need: a new job is refused before the tasks of those that were taken lack a place.
class JobBudget {
public:
    /// Memory of the record of a task that was ordered, of a step of which a task was, of a reservation, and of the
    /// outcome of an ended job, in bytes.
    static constexpr std::size_t taskBytes = 256;
    static constexpr std::size_t stepBytes = 512;
    static constexpr std::size_t reservationBytes = 256;
    static constexpr std::size_t outcomeBytes = 256;
    /// Jobs of up to this size may use more of the budget than larger ones.
    static constexpr std::size_t ordinaryBytes = 16 * 1024;

    explicit JobBudget(std::size_t limitBytes)
        : limit(limitBytes)
    {
    }

    /// Whether a new job whose records take `bytes` is taken. A large one is taken if it is the only one, whatever its
    /// size.
    bool admits(std::size_t bytes) const
    {
        if (bytes <= ordinaryBytes)
            return this->held + bytes <= this->limit / 4 * 3;
        return this->largeJobs == 0 || this->held + bytes <= this->limit / 8 * 5;
    }
    /// Whether there is memory for further records of open jobs, and for further traces of them.
    bool hasRecords() const { return this->held < this->limit; }
    bool hasTraces() const { return this->held < this->limit / 8 * 7; }

    void addJob(std::size_t bytes)
    {
        this->held += bytes;
        this->largeJobs += bytes > ordinaryBytes ? 1 : 0;
    }
    void removeJob(std::size_t bytes)
    {
        this->held -= bytes;
        this->largeJobs -= bytes > ordinaryBytes ? 1 : 0;
    }
    /// Counts what a job or an outcome takes besides.
    void change(std::size_t before, std::size_t after) { this->held += after - before; }

    std::size_t heldBytes() const { return this->held; }
    std::size_t limitBytes() const { return this->limit; }

private:
    std::size_t limit;
    std::size_t held = 0;
    std::size_t largeJobs = 0;
};

}
