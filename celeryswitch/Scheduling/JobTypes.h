#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Messages/WorkMessages.h"
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace celeryswitch::Scheduling {

using Messages::Room;
using Messages::StepJobId;
using Messages::TaskId;

/// Identifies a caller's pending request within one entry; 0 means none.
using RequestNumber = std::uint64_t;

/// One step of a job: a number of tasks with the same requirements.
struct StepSpecification {
    std::uint32_t count = 0;
    /// Resources that each task needs.
    Room need;
    /// Run time of a task as its caller declares it, in milliseconds; the actual time may differ by a large factor.
    std::uint32_t declaredMilliseconds = 0;
    /// Indices of earlier steps that must be completed first.
    std::vector<std::uint32_t> dependencies;
    /// Label that the worker must have; empty when any worker will do.
    std::string requiredLabel;
    /// Rack that holds the data; empty when tasks don't depend on it.
    std::string dataRack;
    /// Maximum number of this step's tasks on one worker; 0 means no limit.
    std::uint32_t tasksPerWorker = 0;
    /// Execution modes beyond independent tasks that are started and retried one by one.
    bool isGang = false;
    bool isColocated = false;
    bool isSpeculative = false;
    bool isLongRunning = false;
    bool isFiller = false;
    bool hasCheckpoints = false;
};

/// A job as submitted by its caller.
struct JobSpecification {
    StepJobId id;
    /// Opaque content that the worker receives with each task.
    std::string content;
    std::vector<StepSpecification> steps;
    /// Whether the job is answered at its end and never stored.
    bool isBestEffort = false;
    /// Number of repetitions at fixed times; 0 means that the job runs once, at once.
    std::uint32_t repeats = 0;
    std::int64_t startAtMilliseconds = 0;
    std::int64_t intervalMilliseconds = 0;
};

/// Submits a job.
struct SubmitJob {
    JobSpecification job;
    /// Time that the caller waits for the answer; zero when the caller doesn't state it.
    Core::Duration callerTimeout {};
};
/// Asks for a job's state.
struct QueryJob {
    StepJobId id;
};
/// Cancels a job.
struct CancelJob {
    StepJobId id;
};
/// Asks for the number of a queue's jobs that have not begun.
struct QueryQueue { };
/// The request can't be decoded.
struct InvalidRequest {
    std::string problem;
};

/// Decoded request of a caller to a queue.
using CallerRequest = std::variant<SubmitJob, QueryJob, CancelJob, QueryQueue, InvalidRequest>;

/// Job state as reported to callers.
enum class JobState : std::uint8_t {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

/// Kind of an answer to a caller's request.
enum class AnswerKind : std::uint8_t {
    /// The job's state, in `state`.
    State,
    /// The job was cancelled.
    Cancelled,
    /// Number of jobs that have not begun, in `pending`.
    Pending,
    /// The request was refused and nothing of it has run; the caller may send it again after `retryAfter`.
    NotRun,
    /// The job was ended without a result after it had begun; some of its tasks may have run.
    GivenUp,
    /// The queue does not exist.
    UnknownQueue,
    /// The job is unknown to this entry.
    UnknownJob,
    /// The request can't be decoded.
    Malformed,
};

/// Answer to a caller's request.
struct CallerAnswer {
    AnswerKind kind = AnswerKind::NotRun;
    JobState state = JobState::Queued;
    std::uint64_t pending = 0;
    Core::Duration retryAfter {};
    /// Human-readable reason; also the value of the metrics' label "reason".
    std::string reason;
};

}

namespace celeryswitch::Core {

template <> struct EnumTable<Scheduling::JobState> {
    static constexpr std::string_view type = "JobState";
    static constexpr std::array<std::pair<Scheduling::JobState, std::string_view>, 5> names { {
        { Scheduling::JobState::Queued, "queued" },
        { Scheduling::JobState::Running, "running" },
        { Scheduling::JobState::Completed, "completed" },
        { Scheduling::JobState::Failed, "failed" },
        { Scheduling::JobState::Cancelled, "cancelled" },
    } };
};

template <> struct EnumTable<Scheduling::AnswerKind> {
    static constexpr std::string_view type = "AnswerKind";
    static constexpr std::array<std::pair<Scheduling::AnswerKind, std::string_view>, 8> names { {
        { Scheduling::AnswerKind::State, "state" },
        { Scheduling::AnswerKind::Cancelled, "cancelled" },
        { Scheduling::AnswerKind::Pending, "pending" },
        { Scheduling::AnswerKind::NotRun, "not-run" },
        { Scheduling::AnswerKind::GivenUp, "given-up" },
        { Scheduling::AnswerKind::UnknownQueue, "unknown-queue" },
        { Scheduling::AnswerKind::UnknownJob, "unknown-job" },
        { Scheduling::AnswerKind::Malformed, "malformed" },
    } };
};

}
