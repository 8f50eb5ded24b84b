#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Core/Result.h"
#include <functional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace celeryswitch::Scenario {

/// Why a scenario could not be run, or failed.
enum class ScenarioError : std::uint8_t {
    /// The scenario file is invalid.
    Invalid,
    /// A process could not be started or did not become ready.
    StartFailed,
    /// An expectation did not hold.
    ExpectationFailed,
};

struct CommandOutput;

/// A process that the scenario runner started; ends with the object.
class ChildProcess {
public:
    /// Starts a program. Its standard error is appended to `logFile`.
    static Core::Result<ChildProcess> start(const std::vector<std::string>& command, const std::string& logFile);
    /// Kills the process when it still runs, frozen or not.
    ~ChildProcess();
    ChildProcess(ChildProcess&& other) noexcept;
    ChildProcess& operator=(ChildProcess&& other) noexcept;

    /// Waits for a line of standard output that begins with "ready" or "listening" and returns it.
    Core::Result<std::string> waitReady(Core::Duration span);
    /// Sends a signal, as SIGKILL, SIGSTOP or SIGCONT.
    void signal(int number);
    /// Waits until the process has ended; false when it still runs after `span`.
    bool waitEnd(Core::Duration span);
    /// Whether the process has been started and has not ended.
    bool isRunning();
    /// Process id.
    pid_t id() const { return this->processId; }

private:
    friend CommandOutput runCommand(const std::vector<std::string>& command, const std::string& logFile);
    ChildProcess(pid_t processId, int output);

    pid_t processId = -1;
    int output = -1;
};

/// Exit code and standard output of a command.
struct CommandOutput {
    /// Exit code; -1 when the command could not be started or was ended by a signal.
    int exitCode = -1;
    std::string output;
};

/// Runs a program to its end. Its standard error is appended to `logFile`.
CommandOutput runCommand(const std::vector<std::string>& command, const std::string& logFile);
/// Waits until a condition holds, checking it every few milliseconds; false when it does not within `span`.
bool waitUntil(Core::Duration span, const std::function<bool()>& condition);

}

namespace celeryswitch::Core {

template <> struct EnumTable<Scenario::ScenarioError> {
    static constexpr std::string_view type = "ScenarioError";
    static constexpr std::array<std::pair<Scenario::ScenarioError, std::string_view>, 3> names { {
        { Scenario::ScenarioError::Invalid, "Invalid" },
        { Scenario::ScenarioError::StartFailed, "StartFailed" },
        { Scenario::ScenarioError::ExpectationFailed, "ExpectationFailed" },
    } };
};

}
