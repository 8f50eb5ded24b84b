#include "celeryswitch/Scenario/ChildProcess.h"

#include <csignal>
#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace celeryswitch::Scenario {

namespace {

constexpr std::chrono::milliseconds pollInterval { 5 };

// Becomes the program; runs in the child between fork and exec, so it calls only async-signal-safe functions.
[[noreturn]] void become(char* const* arguments, int output, int errors)
{
    // A runner that is killed takes its processes with it.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    // The runner's own signals, such as an interrupt from the terminal, are not for the processes.
    setpgid(0, 0);
    dup2(output, STDOUT_FILENO);
    dup2(errors, STDERR_FILENO);
    // An inherited socket would keep a connection or an address of the runner in use.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execv(arguments[0], arguments);
    _exit(127);
}

}

Core::Result<ChildProcess> ChildProcess::start(const std::vector<std::string>& command, const std::string& logFile)
{
    int pipeEnds[2] = { -1, -1 };
    const int errors = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (errors < 0 || pipe2(pipeEnds, O_CLOEXEC) != 0)
        return Core::Error(ScenarioError::StartFailed, "no pipe or log file " + logFile);
    std::vector<char*> arguments;
    for (const std::string& argument : command)
        arguments.push_back(const_cast<char*>(argument.c_str()));
    arguments.push_back(nullptr);
    const pid_t child = fork();
    if (child == 0)
        become(arguments.data(), pipeEnds[1], errors);
    close(pipeEnds[1]);
    close(errors);
    if (child < 0) {
        close(pipeEnds[0]);
        return Core::Error(ScenarioError::StartFailed, "no more processes for " + command[0]);
    }
    return ChildProcess(child, pipeEnds[0]);
}

ChildProcess::ChildProcess(pid_t processId, int output)
    : processId(processId)
    , output(output)
{
}

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : processId(std::exchange(other.processId, -1))
    , output(std::exchange(other.output, -1))
{
}

ChildProcess& ChildProcess::operator=(ChildProcess&& other) noexcept
{
    std::swap(this->processId, other.processId);
    std::swap(this->output, other.output);
    return *this;
}

ChildProcess::~ChildProcess()
{
    if (this->isRunning()) {
        kill(this->processId, SIGKILL);
        waitpid(this->processId, nullptr, 0);
    }
    if (this->output >= 0)
        close(this->output);
}

Core::Result<std::string> ChildProcess::waitReady(Core::Duration span)
{
    const Core::SteadyTime end = Core::BootClock::now() + std::chrono::duration_cast<Core::SteadyTime::duration>(span);
    std::string line;
    for (;;) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - Core::BootClock::now());
        pollfd wait { this->output, POLLIN, 0 };
        char character = 0;
        if (left.count() <= 0 || poll(&wait, 1, static_cast<int>(left.count())) <= 0)
            return Core::Error(ScenarioError::StartFailed, "not ready in time");
        if (read(this->output, &character, 1) != 1)
            return Core::Error(ScenarioError::StartFailed, "ended before it was ready; its log says why");
        if (character != '\n') {
            line += character;
        } else if (line.compare(0, 5, "ready") == 0 || line.compare(0, 9, "listening") == 0) {
            return line;
        } else {
            line.clear();
        }
    }
}

void ChildProcess::signal(int number)
{
    if (this->isRunning())
        kill(this->processId, number);
}

bool ChildProcess::waitEnd(Core::Duration span)
{
    return waitUntil(span, [this] { return !this->isRunning(); });
}

bool ChildProcess::isRunning()
{
    if (this->processId > 0 && waitpid(this->processId, nullptr, WNOHANG) == this->processId)
        this->processId = -1;
    return this->processId > 0;
}

CommandOutput runCommand(const std::vector<std::string>& command, const std::string& logFile)
{
    CommandOutput result;
    Core::Result<ChildProcess> child = ChildProcess::start(command, logFile);
    if (!child)
        return result;
    char buffer[4096];
    for (ssize_t size = 0; (size = read(child.value().output, buffer, sizeof(buffer))) > 0;)
        result.output.append(buffer, static_cast<std::size_t>(size));
    int status = 0;
    if (waitpid(std::exchange(child.value().processId, -1), &status, 0) > 0 && WIFEXITED(status))
        result.exitCode = WEXITSTATUS(status);
    return result;
}

bool waitUntil(Core::Duration span, const std::function<bool()>& condition)
{
    const Core::SteadyTime end = Core::BootClock::now() + std::chrono::duration_cast<Core::SteadyTime::duration>(span);
    while (!condition()) {
        if (Core::BootClock::now() >= end)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

}
