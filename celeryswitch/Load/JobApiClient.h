#pragma once

#include "celeryswitch/Http/HttpConnection.h"
#include "celeryswitch/Messages/Submission.h"
#include <string>

namespace celeryswitch::Load {

/// What an entry's answer means for the job.
enum class AnswerMeaning : std::uint8_t {
    /// The job is complete or failed; the answer has one result a task.
    Ended,
    /// The job is running.
    Running,
    /// This request started nothing and never will.
    NotRun,
    /// Tasks of the job may have run.
    MayHaveRun,
    /// No job is known under the key.
    UnknownJob,
    /// The answer is none that an entry gives.
    Malformed,
};

/// A job's name at an entry.
struct JobName {
    std::string team;
    std::string caller;
    std::string idempotencyKey;
};

/// An entry's answer, decoded.
struct EntryAnswer {
    AnswerMeaning meaning = AnswerMeaning::Malformed;
    /// State and results of a job that has ended.
    Messages::JobAnswer job;
    /// Reason of a refusal, or what is wrong with a malformed answer.
    std::string reason;
    std::uint32_t retryAfterSeconds = 0;
};

/// Longest answer of an entry, which holds the results of all tasks of a job.
inline constexpr std::size_t longestJobAnswerBytes = 256 * 1024 * 1024;

/// Request that submits a job and waits for its answer. An empty token sends none.
Http::HttpRequest submitRequest(
    const Messages::Submission& submission, std::uint32_t waitMilliseconds, const std::string& token);
/// Request that fetches a job and waits for its end.
Http::HttpRequest fetchRequest(const JobName& job, std::uint32_t waitMilliseconds, const std::string& token);
/// Request that cancels a job.
Http::HttpRequest cancelRequest(const JobName& job, const std::string& token);
/// Decodes an answer; never fails, because a malformed answer is a finding of its own.
EntryAnswer parseAnswer(const Http::HttpResponse& answer);

}

namespace celeryswitch::Core {

template <> struct EnumTable<Load::AnswerMeaning> {
    static constexpr std::string_view type = "AnswerMeaning";
    static constexpr std::array<std::pair<Load::AnswerMeaning, std::string_view>, 6> names { {
        { Load::AnswerMeaning::Ended, "ended" },
        { Load::AnswerMeaning::Running, "running" },
        { Load::AnswerMeaning::NotRun, "not-run" },
        { Load::AnswerMeaning::MayHaveRun, "may-have-run" },
        { Load::AnswerMeaning::UnknownJob, "unknown-job" },
        { Load::AnswerMeaning::Malformed, "malformed" },
    } };
};

}
