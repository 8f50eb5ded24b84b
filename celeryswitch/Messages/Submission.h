#pragma once

#include "celeryswitch/Core/EnumNames.h"
#include "celeryswitch/Core/Identifiers.h"
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace celeryswitch::Messages {

/// Largest number of tasks in one job.
inline constexpr std::size_t maximumTasksPerJob = 2000;

/// How urgent a job's tasks are; orders work only inside a share.
enum class Urgency : std::uint8_t {
    Background,
    Normal,
    Counter,
};

/// One task of a submission.
struct TaskRequest {
    /// Caller's name of the task, unique in its job.
    std::string taskId;
    /// Body passed to the endpoint.
    std::string payload;

    template <typename Archive> void serialize(Archive& archive) { archive(this->taskId, this->payload); }
};

/// A caller's request to create a job.
struct Submission {
    std::string team;
    std::string caller;
    /// Unique among the caller's submissions; the same key means the same submission.
    std::string idempotencyKey;
    /// When the caller created the submission, in milliseconds since 1970 by its own clock.
    std::int64_t createdAt = 0;
    std::string service;
    /// Kind of work inside the service, for example "stock-check".
    std::string kind;
    Urgency urgency = Urgency::Normal;
    /// Time from acceptance to the deadline, in milliseconds; 0 means none.
    std::int64_t deadlineMilliseconds = 0;
    /// Run time of one task as declared, in milliseconds; 0 means not declared.
    std::int64_t declaredRunMilliseconds = 0;
    /// Memory of one task as declared, in bytes; 0 means not declared.
    std::int64_t declaredMemoryBytes = 0;
    /// Whether running a task twice has the effect of running it once.
    bool isIdempotent = false;
    std::vector<TaskRequest> tasks;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->team, this->caller, this->idempotencyKey, this->createdAt, this->service, this->kind,
            this->urgency, this->deadlineMilliseconds, this->declaredRunMilliseconds, this->declaredMemoryBytes,
            this->isIdempotent, this->tasks);
    }
};

/// What became of a task.
enum class TaskOutcome : std::uint8_t {
    /// Ran and the endpoint answered with success.
    Succeeded,
    /// Ran and the endpoint answered with an error.
    Failed,
    /// Started or may have started; no result is known.
    Unconfirmed,
    /// Provably never started.
    NeverStarted,
};

/// Why a task never started or has no result.
enum class TaskReason : std::uint8_t {
    None,
    EndpointError,
    EndpointConnectionLost,
    EndpointRefusedConnection,
    EndpointTimeout,
    SidecarLost,
    StaleEpoch,
    StaleClockEcho,
    AlreadyRecorded,
    NoCredit,
    Draining,
    Revoked,
    Cancelled,
    DeadlineUnreachable,
    DeadlinePassed,
    QueueFull,
    QuotaExceeded,
    NoSuchService,
    TooLarge,
    OwnerLost,
    LeaseLost,
    ConfigurationStale,
    ShuttingDown,
};

/// Result of one task.
struct TaskResult {
    std::uint32_t taskIndex = 0;
    TaskOutcome outcome = TaskOutcome::NeverStarted;
    TaskReason reason = TaskReason::None;
    /// HTTP status of the endpoint; 0 when it did not answer.
    std::uint16_t statusCode = 0;
    /// Body of the endpoint's answer.
    std::string body;
    /// Time at the endpoint, in microseconds.
    std::int64_t runMicroseconds = 0;
    /// Time queued at the sidecar, in microseconds.
    std::int64_t queueMicroseconds = 0;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->taskIndex, this->outcome, this->reason, this->statusCode, this->body, this->runMicroseconds,
            this->queueMicroseconds);
    }
};

/// State of a job as its caller sees it.
enum class JobState : std::uint8_t {
    Running,
    /// Every task has its result.
    Complete,
    /// At least one task has no result; the answer says what became of each.
    Failed,
};

/// A job's answer: whole, or marked failed.
struct JobAnswer {
    Core::JobId jobId;
    JobState state = JobState::Running;
    /// One result a task in task order; empty while the job is running.
    std::vector<TaskResult> results;

    template <typename Archive> void serialize(Archive& archive) { archive(this->jobId, this->state, this->results); }
};

}

namespace celeryswitch::Core {

template <> struct EnumTable<Messages::Urgency> {
    static constexpr std::string_view type = "Urgency";
    static constexpr std::array<std::pair<Messages::Urgency, std::string_view>, 3> names { {
        { Messages::Urgency::Background, "background" },
        { Messages::Urgency::Normal, "normal" },
        { Messages::Urgency::Counter, "counter" },
    } };
};

template <> struct EnumTable<Messages::TaskOutcome> {
    static constexpr std::string_view type = "TaskOutcome";
    static constexpr std::array<std::pair<Messages::TaskOutcome, std::string_view>, 4> names { {
        { Messages::TaskOutcome::Succeeded, "succeeded" },
        { Messages::TaskOutcome::Failed, "failed" },
        { Messages::TaskOutcome::Unconfirmed, "unconfirmed" },
        { Messages::TaskOutcome::NeverStarted, "never-started" },
    } };
};

template <> struct EnumTable<Messages::TaskReason> {
    static constexpr std::string_view type = "TaskReason";
    static constexpr std::array<std::pair<Messages::TaskReason, std::string_view>, 23> names { {
        { Messages::TaskReason::None, "none" },
        { Messages::TaskReason::EndpointError, "endpoint-error" },
        { Messages::TaskReason::EndpointConnectionLost, "endpoint-connection-lost" },
        { Messages::TaskReason::EndpointRefusedConnection, "endpoint-refused-connection" },
        { Messages::TaskReason::EndpointTimeout, "endpoint-timeout" },
        { Messages::TaskReason::SidecarLost, "sidecar-lost" },
        { Messages::TaskReason::StaleEpoch, "stale-epoch" },
        { Messages::TaskReason::StaleClockEcho, "stale-clock-echo" },
        { Messages::TaskReason::AlreadyRecorded, "already-recorded" },
        { Messages::TaskReason::NoCredit, "no-credit" },
        { Messages::TaskReason::Draining, "draining" },
        { Messages::TaskReason::Revoked, "revoked" },
        { Messages::TaskReason::Cancelled, "cancelled" },
        { Messages::TaskReason::DeadlineUnreachable, "deadline-unreachable" },
        { Messages::TaskReason::DeadlinePassed, "deadline-passed" },
        { Messages::TaskReason::QueueFull, "queue-full" },
        { Messages::TaskReason::QuotaExceeded, "quota-exceeded" },
        { Messages::TaskReason::NoSuchService, "no-such-service" },
        { Messages::TaskReason::TooLarge, "too-large" },
        { Messages::TaskReason::OwnerLost, "owner-lost" },
        { Messages::TaskReason::LeaseLost, "lease-lost" },
        { Messages::TaskReason::ConfigurationStale, "configuration-stale" },
        { Messages::TaskReason::ShuttingDown, "shutting-down" },
    } };
};

template <> struct EnumTable<Messages::JobState> {
    static constexpr std::string_view type = "JobState";
    static constexpr std::array<std::pair<Messages::JobState, std::string_view>, 3> names { {
        { Messages::JobState::Running, "running" },
        { Messages::JobState::Complete, "complete" },
        { Messages::JobState::Failed, "failed" },
    } };
};

}
