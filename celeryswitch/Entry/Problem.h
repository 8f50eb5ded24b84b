#pragma once

#include "celeryswitch/Dispatch/Dispatcher.h"
#include "celeryswitch/Messages/TaskMessages.h"
#include <string>

namespace celeryswitch::Entry {

/// What is known about the execution of a refused or lost request's tasks.
enum class Execution : std::uint8_t {
    /// This request has not started any task and never will.
    NotRun,
    /// Tasks may have run, started by this request or by an earlier one with the same key.
    MayHaveRun,
    /// No job with this key is known.
    UnknownJob,
};

/// Error response as problem details (RFC 9457).
struct Problem {
    /// HTTP status code.
    std::uint16_t status = 500;
    /// Last component of the problem type URI, for example "key-reuse".
    std::string type;
    std::string title;
    std::string detail;
    /// Path of the invalid field, for example "tasks[3].id"; empty if none.
    std::string field;
    Execution execution = Execution::NotRun;
    /// Name of the TaskReason; empty if none.
    std::string reason;
    /// Value of the Retry-After header in seconds; 0 if a retry can't succeed.
    std::uint32_t retryAfterSeconds = 0;
};

/// Formats a problem as an answer.
Messages::ForwardedAnswer makeAnswer(const Problem& problem);
/// Problem for a submission that was refused, and not run, for the given reason.
Problem makeRefusal(Messages::TaskReason reason, Core::Duration retryAfter, std::string detail);

}

namespace celeryswitch::Core {

template <> struct EnumTable<Entry::Execution> {
    static constexpr std::string_view type = "Execution";
    static constexpr std::array<std::pair<Entry::Execution, std::string_view>, 3> names { {
        { Entry::Execution::NotRun, "not-run" },
        { Entry::Execution::MayHaveRun, "may-have-run" },
        { Entry::Execution::UnknownJob, "unknown-job" },
    } };
};

}
