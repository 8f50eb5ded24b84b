#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Messages/WorkMessages.h"
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace celeryswitch::Scheduling {

using Messages::Room;
using Messages::TaskId;

/// Number of a caller's request that waits for its answer; 0 means none.
using RequestNumber = std::uint64_t;

/// A step of a job: tasks that are alike.
struct StepSpecification {
    std::uint32_t count = 0;
    /// Room that each task needs.
    Room need;
    /// Declared time of a task, in milliseconds; far off at times.
    std::uint32_t declaredMilliseconds = 0;
    /// Earlier steps whose tasks must all be done first.
    std::vector<std::uint32_t> after;
    /// Label that the worker must have; empty for any.
    std::string requiredLabel;
    /// Rack where the data is; empty when it does not matter.
    std::string dataRack;
    /// Most tasks of the step on one worker; 0 means no limit.
    std::uint32_t tasksPerWorker = 0;
    /// Forms of work that need more than starting and retrying each task by itself.
    bool isGang = false;
    bool isColocated = false;
    bool isSpeculative = false;
    bool isLongRunning = false;
    bool isFiller = false;
    bool hasCheckpoints = false;
};

/// A job as its caller hands it in.
struct JobSpecification {
    std::uint64_t id = 0;
    /// Passed to the worker with each task.
    std::string content;
    std::vector<StepSpecification> steps;
    /// Whether the answer comes at the job's end and the job is not stored.
    bool isBestEffort = false;
    /// Times that the steps run at fixed times; 0 means once, now.
    std::uint32_t repeats = 0;
    std::int64_t startAtMilliseconds = 0;
    std::int64_t intervalMilliseconds = 0;
};

/// A caller hands in a job.
struct SubmitJob {
    JobSpecification job;
    /// Time that the caller waits for the answer; zero when it does not say.
    Core::Duration patience {};
};
/// A caller asks for a job's state.
struct QueryJob {
    std::uint64_t id = 0;
};
/// A caller cancels a job.
struct CancelJob {
    std::uint64_t id = 0;
};
/// A caller asks how many jobs of a queue have not begun.
struct QueryQueue { };
/// The request can't be understood.
struct UnknownCall {
    std::string problem;
};

/// What a caller asks of a queue.
using CallerRequest = std::variant<SubmitJob, QueryJob, CancelJob, QueryQueue, UnknownCall>;

/// State of a job as callers see it.
enum class JobState : std::uint8_t {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

/// What a request comes to.
enum class AnswerKind : std::uint8_t {
    /// The job's state, in `state`.
    State,
    /// The job was cancelled.
    Cancelled,
    /// Number of jobs that have not begun, in `pending`.
    Pending,
    /// The request was not accepted and has not run; it may be sent again after `retryAfter`.
    NotRun,
    /// The job began and was given up; it may have run in part.
    GivenUp,
    /// There is no such queue.
    UnknownQueue,
    /// There is no such job.
    UnknownJob,
    /// The request can't be understood.
    Malformed,
};

/// Answer to a caller's request.
struct CallerAnswer {
    AnswerKind kind = AnswerKind::NotRun;
    JobState state = JobState::Queued;
    std::uint64_t pending = 0;
    Core::Duration retryAfter {};
    /// Reason for people and logs.
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
