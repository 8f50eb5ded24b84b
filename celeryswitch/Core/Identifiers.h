#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <tuple>

namespace celeryswitch::Core {

/// Name of an instance from its settings, unique in the fleet.
using InstanceId = std::string;
/// Number drawn anew at each start of a process; tells a restarted process from the one before.
using Incarnation = std::uint64_t;
/// Part of the key space, 0 to `partitionCount` - 1.
using PartitionId = std::uint16_t;
/// Rises by one with each change of a partition's owner.
using Epoch = std::uint64_t;
/// Version of the fleet's configuration; 0 is the built-in one.
using ConfigurationVersion = std::uint64_t;

/// Number of partitions of the key space.
inline constexpr PartitionId partitionCount = 256;

/// Identity of a job: hash of team, caller and idempotency key.
struct JobId {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend bool operator==(const JobId&, const JobId&) = default;
    friend bool operator<(const JobId& left, const JobId& right)
    {
        return std::tie(left.high, left.low) < std::tie(right.high, right.low);
    }
    template <typename Archive> void serialize(Archive& archive) { archive(this->high, this->low); }
};

/// Identity of a task: its job and its index in the submission.
struct TaskKey {
    JobId jobId;
    std::uint32_t taskIndex = 0;

    friend bool operator==(const TaskKey&, const TaskKey&) = default;
    friend bool operator<(const TaskKey& left, const TaskKey& right)
    {
        return std::tie(left.jobId, left.taskIndex) < std::tie(right.jobId, right.taskIndex);
    }
    template <typename Archive> void serialize(Archive& archive) { archive(this->jobId, this->taskIndex); }
};

/// 32 hexadecimal digits.
std::string toString(const JobId& jobId);
/// Identity of the job that a submission creates.
JobId makeJobId(const std::string& team, const std::string& caller, const std::string& idempotencyKey);
/// Partition that a caller's submissions belong to.
PartitionId partitionOf(const std::string& team, const std::string& caller);

}

template <> struct std::hash<celeryswitch::Core::JobId> {
    std::size_t operator()(const celeryswitch::Core::JobId& jobId) const noexcept
    {
        return static_cast<std::size_t>(jobId.low);
    }
};

template <> struct std::hash<celeryswitch::Core::TaskKey> {
    std::size_t operator()(const celeryswitch::Core::TaskKey& key) const noexcept
    {
        return static_cast<std::size_t>(key.jobId.low ^ (0x9e3779b97f4a7c15ULL * (key.taskIndex + 1)));
    }
};
