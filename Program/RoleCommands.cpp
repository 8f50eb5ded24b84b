#include "Program/CommandLine.h"
#include "Program/Commands.h"
#include "Program/StopSignal.h"
#include "celeryswitch/Entry/EntryProcess.h"
#include "celeryswitch/Settings/RoleDocuments.h"
#include "celeryswitch/Settings/RoleSettings.h"
#include "celeryswitch/Sidecar/SidecarProcess.h"
#include "celeryswitch/State/StateProcess.h"
#include <unistd.h>

namespace celeryswitch::Program {

namespace {

using Logging::LogLevel;
using Logging::StructuredLog;

const char* const usage = R"(Runs a process of the fleet until SIGTERM or SIGINT, then stops gracefully.

Usage:
  celeryswitch entry [options]
  celeryswitch sidecar [options]
  celeryswitch state [options]

Options:
  --settings FILE  Settings of the process; docs/settings.md lists every key [default: celeryswitch.toml].

Once it listens, the process prints one line with its addresses: "ready pid=1 peer=127.0.0.1:7001 ...". Records go to
standard error.
)";

constexpr std::chrono::milliseconds signalInterval { 200 };

Core::Error startFailure(const Core::Error& error)
{
    return failure(ExitCode::Failed, "can't start: " + error.message());
}

CommandResult announce(const std::string& addresses)
{
    return print("ready pid=" + std::to_string(getpid()) + " " + addresses + "\n");
}

// Writes the log's counts of suppressed records in time while the process runs.
void waitForStop(const StopSignal& signal, StructuredLog& log)
{
    while (!signal.waitFor(signalInterval))
        log.reportFloods();
    log.write(LogLevel::Info, "stopping");
}

CommandResult runEntry(const Settings::SettingsDocument& document, const StopSignal& signal, StructuredLog& log)
{
    Core::Result<std::unique_ptr<Entry::EntryProcess>> process
        = Entry::EntryProcess::Builder()
              .setSettings(Settings::entrySettings(document))
              .setLog([&log](const std::string& message) {
                  log.write(LogLevel::Info, "entry", { { "detail", message } });
              })
              .start();
    if (!process)
        return startFailure(process.error());
    Entry::EntryProcess& entry = *process.value();
    log.write(LogLevel::Info, "started", { { "http", entry.httpAddress() }, { "peer", entry.peerAddress() } });
    BOOST_OUTCOME_TRY(announce(
        "http=" + entry.httpAddress() + " peer=" + entry.peerAddress() + " datagram=" + entry.datagramAddress()));
    waitForStop(signal, log);
    if (!entry.stop())
        return failure(ExitCode::Failed, "jobs were still running when the time for the graceful stop was over");
    return ExitCode::Ok;
}

CommandResult runSidecar(const Settings::SettingsDocument& document, const StopSignal& signal, StructuredLog& log)
{
    Core::Result<std::unique_ptr<Sidecar::SidecarProcess>> process
        = Sidecar::SidecarProcess::Builder()
              .setSettings(Settings::sidecarSettings(document))
              .setLog([&log](std::string_view event, const std::string& detail) {
                  log.write(LogLevel::Info, event, { { "detail", detail } });
              })
              .start();
    if (!process)
        return startFailure(process.error());
    Sidecar::SidecarProcess& sidecar = *process.value();
    log.write(LogLevel::Info, "started", { { "peer", sidecar.peerAddress() } });
    BOOST_OUTCOME_TRY(announce("peer=" + sidecar.peerAddress() + " datagram=" + sidecar.datagramAddress()));
    waitForStop(signal, log);
    sidecar.stop();
    sidecar.wait();
    return ExitCode::Ok;
}

CommandResult runState(const Settings::SettingsDocument& document, const StopSignal& signal, StructuredLog& log)
{
    Core::Result<std::unique_ptr<State::StateProcess>> process
        = State::StateProcess::Builder()
              .setSettings(Settings::stateSettings(document))
              .setLog([&log](const std::string& line) {
                  log.write(LogLevel::Info, "state", { { "detail", line } });
              })
              .start();
    if (!process)
        return startFailure(process.error());
    State::StateProcess& state = *process.value();
    log.write(LogLevel::Info, "started", { { "peer", state.peerAddress() }, { "replica", state.replicaId() } });
    BOOST_OUTCOME_TRY(announce("peer=" + state.peerAddress() + " replica=" + state.replicaId()));
    waitForStop(signal, log);
    state.stop();
    return ExitCode::Ok;
}

}

CommandResult runRole(const std::vector<std::string>& arguments)
{
    BOOST_OUTCOME_TRY(const CommandLine line, CommandLine::parse(usage, arguments));
    if (line.isHelp())
        return ExitCode::Ok;
    const Messages::Role role = Core::enumValue<Messages::Role>(arguments[0]).value_or(Messages::Role::Operator);
    const Settings::SettingsDocument document = Settings::loadDocument(line.text("--settings"), role);
    BOOST_OUTCOME_TRY(checkProblems(document));
    const StopSignal signal;
    const Core::SystemClock clock;
    StructuredLog log(Settings::logSettings(document, role), clock);
    const auto run = role == Messages::Role::Entry ? runEntry : role == Messages::Role::Sidecar ? runSidecar : runState;
    CommandResult result = run(document, signal, log);
    if (result)
        log.write(LogLevel::Info, "stopped");
    else
        log.write(LogLevel::Error, "ended", { { "detail", result.error().detail() } });
    return result;
}

}
