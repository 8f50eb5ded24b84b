#pragma once

#include "celeryswitch/Core/Result.h"

namespace celeryswitch::Program {

/// Exit codes of every command; part of the command line's contract. As the code of an Error, the reason that a command
/// gives up.
enum class ExitCode : int {
    /// The command did what it was asked.
    Ok = 0,
    /// The command ran and failed, or a check that it made did not pass.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// A settings, workload, scenario or change file is invalid.
    InvalidSettings = 3,
    /// No process that could answer was reached; the request may or may not have been applied.
    Unreachable = 4,
    /// The request was understood and refused; nothing was changed.
    Refused = 5,
};

/// Outcome of a command: the exit code, or an Error with an ExitCode whose detail says what is wrong and what to do.
using CommandResult = Core::Result<ExitCode>;

}

namespace celeryswitch::Core {

template <> struct EnumTable<Program::ExitCode> {
    static constexpr std::string_view type = "ExitCode";
    static constexpr std::array<std::pair<Program::ExitCode, std::string_view>, 6> names { {
        { Program::ExitCode::Ok, "ok" },
        { Program::ExitCode::Failed, "failed" },
        { Program::ExitCode::Usage, "usage" },
        { Program::ExitCode::InvalidSettings, "settings invalid" },
        { Program::ExitCode::Unreachable, "unreachable" },
        { Program::ExitCode::Refused, "refused" },
    } };
};

}
