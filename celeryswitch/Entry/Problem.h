#pragma once

#include "celeryswitch/Dispatch/Dispatcher.h"
#include "celeryswitch/Messages/TaskMessages.h"
#include <string>

namespace celeryswitch::Entry {

/// What a refused or lost request means for its tasks.
enum class Execution : std::uint8_t {
    /// This request started nothing and never will.
    NotRun,
    /// Tasks of this submission may have run, because of this request or an earlier one with its key.
    MayHaveRun,
    /// No job is known under the key.
    UnknownJob,
};

/// An error answer as problem details (RFC 9457).
struct Problem {
    /// HTTP status.
    std::uint16_t status = 500;
    /// Last part of the problem type's URI, for example "key-reuse".
    std::string type;
    std::string title;
    std::string detail;
    /// Path of the field concerned, "tasks[3].id"; empty when there is none.
    std::string field;
    Execution execution = Execution::NotRun;
    /// Name of the TaskReason; empty when there is none.
    std::string reason;
    /// Seconds after which the request may succeed; 0 means that it can't.
    std::uint32_t retryAfterSeconds = 0;
};

/// Answer that carries a problem.
Messages::ForwardedAnswer makeAnswer(const Problem& problem);
/// Problem of a submission that was refused as not run for this reason.
Problem refusalOf(Messages::TaskReason reason, Core::Duration retryAfter, std::string detail);

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
