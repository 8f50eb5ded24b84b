#pragma once

#include "celeryswitch/Messages/Submission.h"
#include <cereal/types/variant.hpp>
#include <variant>

namespace celeryswitch::Messages {

/// Role of an instance.
enum class Role : std::uint8_t {
    Entry,
    Sidecar,
    State,
    /// A command run by an operator or a tool.
    Operator,
};

/// Identity that each side of a connection gives first.
struct Hello {
    Role role = Role::Operator;
    Core::InstanceId instanceId;
    Core::Incarnation incarnation = 0;
    std::string dataCentre;
    std::string rack;
    /// Service of the endpoint beside a sidecar; empty for other roles.
    std::string service;
    /// Slots of the endpoint beside a sidecar; 0 for other roles.
    std::uint32_t slots = 0;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(
            this->role, this->instanceId, this->incarnation, this->dataCentre, this->rack, this->service, this->slots);
    }
};

/// What waits at an entry for a service's slots; lets a sidecar decide which entry gets a free slot.
struct Backlog {
    std::uint32_t queuedTasks = 0;
    /// Rank of the best waiting task; smaller goes first.
    double bestRank = 0;

    template <typename Archive> void serialize(Archive& archive) { archive(this->queuedTasks, this->bestRank); }
};

/// One task to start.
struct TaskStart {
    std::uint32_t taskIndex = 0;
    std::string payload;
    /// Time left until the deadline, in microseconds; 0 means none.
    std::int64_t deadlineMicroseconds = 0;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->taskIndex, this->payload, this->deadlineMicroseconds);
    }
};

/// Entry to sidecar: start tasks of one job, in order, as slots of this entry's credits come free.
struct StartTasks {
    Core::PartitionId partition = 0;
    Core::Epoch epoch = 0;
    /// Newest clock sample received from this sidecar incarnation.
    std::int64_t clockEcho = 0;
    Core::Incarnation sidecarIncarnation = 0;
    Core::JobId jobId;
    std::string team;
    std::string kind;
    std::uint32_t jobTaskCount = 0;
    /// Creation time of the submission, milliseconds since 1970.
    std::int64_t createdAt = 0;
    bool isIdempotent = false;
    /// Credits that this message uses; the rest of the tasks wait in the sidecar's queue.
    std::uint32_t credits = 0;
    Backlog backlog;
    std::vector<TaskStart> tasks;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->partition, this->epoch, this->clockEcho, this->sidecarIncarnation, this->jobId, this->team,
            this->kind, this->jobTaskCount, this->createdAt, this->isIdempotent, this->credits, this->backlog,
            this->tasks);
    }
};

/// Sidecar to entry: results of tasks of one job.
struct TaskResults {
    Core::JobId jobId;
    std::vector<TaskResult> results;
    /// Credits given back to this entry with these results.
    std::uint32_t creditsReturned = 0;
    std::int64_t clockSample = 0;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->jobId, this->results, this->creditsReturned, this->clockSample);
    }
};

/// Entry to sidecar: take back tasks of one job that have not started; all of them when `taskIndexes` is empty.
struct RevokeTasks {
    Core::JobId jobId;
    std::vector<std::uint32_t> taskIndexes;

    template <typename Archive> void serialize(Archive& archive) { archive(this->jobId, this->taskIndexes); }
};

/// Sidecar to entry: change of the credits that this entry holds.
struct CreditUpdate {
    /// Rises with each update to this entry; an update below the last one seen is ignored.
    std::uint64_t sequence = 0;
    std::uint32_t granted = 0;
    /// Idle credits that the sidecar asks back.
    std::uint32_t recalled = 0;
    std::int64_t clockSample = 0;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->sequence, this->granted, this->recalled, this->clockSample);
    }
};

/// Entry to sidecar: idle credits given back.
struct CreditReturn {
    std::uint32_t credits = 0;
    Backlog backlog;

    template <typename Archive> void serialize(Archive& archive) { archive(this->credits, this->backlog); }
};

/// New owner of a partition to each sidecar: raise the fence to `epoch` and return the partition's records.
struct RecoverPartition {
    Core::PartitionId partition = 0;
    Core::Epoch epoch = 0;

    template <typename Archive> void serialize(Archive& archive) { archive(this->partition, this->epoch); }
};

/// State of a task in a sidecar's fence.
enum class FenceState : std::uint8_t {
    Queued,
    Started,
    Finished,
};

/// One task that a sidecar has accepted.
struct FenceRecord {
    Core::TaskKey task;
    FenceState state = FenceState::Queued;
    std::uint32_t jobTaskCount = 0;
    std::int64_t createdAt = 0;
    std::string team;
    std::string kind;
    TaskResult result;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->task, this->state, this->jobTaskCount, this->createdAt, this->team, this->kind, this->result);
    }
};

/// Sidecar to the new owner of a partition: its records, in one or more parts.
struct PartitionRecords {
    Core::PartitionId partition = 0;
    Core::Epoch epoch = 0;
    Core::Incarnation incarnation = 0;
    bool isLastPart = true;
    std::vector<FenceRecord> records;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->partition, this->epoch, this->incarnation, this->isLastPart, this->records);
    }
};

/// Sidecar to entries, by UDP.
struct SidecarHeartbeat {
    Core::InstanceId instanceId;
    Core::Incarnation incarnation = 0;
    std::int64_t clockSample = 0;
    std::uint32_t freeSlots = 0;
    std::uint32_t queuedTasks = 0;
    bool isDraining = false;
    Core::ConfigurationVersion configurationVersion = 0;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->instanceId, this->incarnation, this->clockSample, this->freeSlots, this->queuedTasks,
            this->isDraining, this->configurationVersion);
    }
};

/// Entry to sidecars, by UDP.
struct EntryHeartbeat {
    Core::InstanceId instanceId;
    Core::Incarnation incarnation = 0;
    Core::ConfigurationVersion configurationVersion = 0;
    Backlog backlog;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->instanceId, this->incarnation, this->configurationVersion, this->backlog);
    }
};

/// Sidecar to entry: send the configuration if it is newer than `knownVersion`.
struct FetchConfiguration {
    Core::ConfigurationVersion knownVersion = 0;

    template <typename Archive> void serialize(Archive& archive) { archive(this->knownVersion); }
};

/// Entry to sidecar: the configuration document in its serialized form.
struct ConfigurationDelivery {
    Core::ConfigurationVersion version = 0;
    std::string document;

    template <typename Archive> void serialize(Archive& archive) { archive(this->version, this->document); }
};

/// What a caller asks of a job.
enum class JobOperation : std::uint8_t {
    Submit,
    Fetch,
    Cancel,
};

/// Entry to the owner of a partition: handle this request and answer under `requestId`.
struct ForwardSubmission {
    std::uint64_t requestId = 0;
    JobOperation operation = JobOperation::Submit;
    /// Time that the caller waits for the answer, in milliseconds.
    std::uint32_t waitMilliseconds = 0;
    /// Whole for Submit; for Fetch and Cancel only team, caller and idempotencyKey.
    Submission submission;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->requestId, this->operation, this->waitMilliseconds, this->submission);
    }
};

/// Answer to ForwardSubmission: HTTP status and JSON body to relay to the caller.
struct ForwardedAnswer {
    std::uint64_t requestId = 0;
    std::uint16_t statusCode = 0;
    /// Seconds for Retry-After; 0 means no such header.
    std::uint32_t retryAfterSeconds = 0;
    std::string contentType;
    std::string body;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->requestId, this->statusCode, this->retryAfterSeconds, this->contentType, this->body);
    }
};

/// One team's use of its quota at an entry.
struct TeamUse {
    std::string team;
    /// Starts in the last exchange interval.
    std::uint32_t starts = 0;
    /// Tasks that waited or were refused for the quota in the last exchange interval.
    std::uint32_t demand = 0;

    template <typename Archive> void serialize(Archive& archive) { archive(this->team, this->starts, this->demand); }
};

/// Entry to entries, once a second: use of team quotas.
struct TeamUsage {
    std::vector<TeamUse> teams;

    template <typename Archive> void serialize(Archive& archive) { archive(this->teams); }
};

/// Every frame between entries and sidecars, and between entries. Append only: the index is part of the format.
using PeerMessage
    = std::variant<Hello, StartTasks, TaskResults, RevokeTasks, CreditUpdate, CreditReturn, RecoverPartition,
        PartitionRecords, FetchConfiguration, ConfigurationDelivery, ForwardSubmission, ForwardedAnswer, TeamUsage>;

/// Every datagram.
using PeerDatagram = std::variant<SidecarHeartbeat, EntryHeartbeat>;

}

namespace celeryswitch::Core {

template <> struct EnumTable<Messages::Role> {
    static constexpr std::string_view type = "Role";
    static constexpr std::array<std::pair<Messages::Role, std::string_view>, 4> names { {
        { Messages::Role::Entry, "entry" },
        { Messages::Role::Sidecar, "sidecar" },
        { Messages::Role::State, "state" },
        { Messages::Role::Operator, "operator" },
    } };
};

template <> struct EnumTable<Messages::FenceState> {
    static constexpr std::string_view type = "FenceState";
    static constexpr std::array<std::pair<Messages::FenceState, std::string_view>, 3> names { {
        { Messages::FenceState::Queued, "queued" },
        { Messages::FenceState::Started, "started" },
        { Messages::FenceState::Finished, "finished" },
    } };
};

}
