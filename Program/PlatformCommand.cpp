#include "Program/CommandLine.h"
#include "Program/Commands.h"
#include "celeryswitch/Logging/RecordWriter.h"
#include "celeryswitch/State/StateProcess.h"
#include "platform/BootFile.h"
#include "platform/ClientApi.h"
#include "platform/OperatorApi.h"
#include "platform/WorkerApi.h"
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <random>
#include <unistd.h>

namespace celeryswitch::Program {

namespace {

using Logging::LogLevel;
using Logging::StructuredLog;

const char* const usage = R"(Runs a process of the fleet on the users' platform, until SIGTERM.

Usage:
  celeryswitch platform entry [options]
  celeryswitch platform sidecar [options]
  celeryswitch platform state [options]

Options:
  --settings FILE  The platform's settings file; by default the file that CELERYSWITCH_CONFIG names.

Records go to standard output. SIGHUP reads the settings file again.
)";

constexpr const char* settingsVariable = "CELERYSWITCH_CONFIG";
// Time between two looks at the settings file, which may change without a signal.
constexpr std::chrono::seconds settingsInterval { 2 };
// Records of one message in a second at most.
constexpr std::uint32_t recordsPerSecond = 400;
// Time between two writes of log records.
constexpr std::chrono::milliseconds logInterval { 100 };

Core::Incarnation drawIncarnation()
{
    std::random_device device;
    return ((static_cast<std::uint64_t>(device()) << 32) | device()) | 1;
}

// An event loop with the signals of the platform and its settings file.
class PlatformLoop {
public:
    PlatformLoop(std::string settingsPath, StructuredLog& log, Logging::RecordWriter& writer)
        : settingsPath(std::move(settingsPath))
        , log(log)
        , writer(writer)
        , stopSignals(this->context, SIGTERM, SIGINT)
        , reloadSignal(this->context, SIGHUP)
        , settingsTimer(this->context)
        , logTimer(this->context)
    {
    }

    // Runs until `stop` was called; `onStop` is called at SIGTERM, `onSettings` with each changed settings file.
    void run(std::function<void()> onStop, std::function<void(const Platform::BootFile&)> onSettings)
    {
        this->stopSignals.async_wait([this, onStop = std::move(onStop)](const boost::system::error_code& error, int) {
            if (error)
                return;
            this->log.write(LogLevel::Info, "stopping");
            onStop();
        });
        this->onSettings = std::move(onSettings);
        this->awaitReload();
        this->watchSettings();
        this->writeLog();
        this->context.run();
        this->log.write(LogLevel::Info, "stopped");
        this->writer.flush();
    }
    void stop() { this->context.stop(); }

    boost::asio::io_context context { 1 };

private:
    void awaitReload()
    {
        this->reloadSignal.async_wait([this](const boost::system::error_code& error, int) {
            if (error)
                return;
            this->log.write(LogLevel::Info, "reloading");
            this->reload();
            this->awaitReload();
        });
    }

    void watchSettings()
    {
        this->settingsTimer.expires_after(settingsInterval);
        this->settingsTimer.async_wait([this](const boost::system::error_code& error) {
            if (error)
                return;
            this->reload();
            this->log.reportFloods();
            this->watchSettings();
        });
    }

    void writeLog()
    {
        this->writer.flush();
        this->logTimer.expires_after(logInterval);
        this->logTimer.async_wait([this](const boost::system::error_code& error) {
            if (!error)
                this->writeLog();
        });
    }

    void reload()
    {
        const Core::Result<Platform::BootFile> file = Platform::loadBootFile(this->settingsPath);
        if (!file) {
            // A file that is just being written is read again soon; the settings in force stay.
            this->log.write(LogLevel::Warning, "settings not read", { { "detail", file.error().message() } });
            return;
        }
        if (file.value().seeds == this->seeds)
            return;
        this->seeds = file.value().seeds;
        this->log.write(
            LogLevel::Info, "settings read", { { "seeds", static_cast<std::uint64_t>(this->seeds.size()) } });
        this->onSettings(file.value());
    }

    std::string settingsPath;
    StructuredLog& log;
    Logging::RecordWriter& writer;
    boost::asio::signal_set stopSignals;
    boost::asio::signal_set reloadSignal;
    boost::asio::steady_timer settingsTimer;
    boost::asio::steady_timer logTimer;
    std::function<void(const Platform::BootFile&)> onSettings;
    std::vector<std::string> seeds;
};

CommandResult startFailure(const Core::Error& error)
{
    return failure(ExitCode::Failed, "can't start: " + error.message());
}

CommandResult runEntry(const Platform::BootFile& file, PlatformLoop& loop, StructuredLog& log)
{
    const Core::SystemClock clock;
    const Platform::ClientApi api;
    Scheduling::SchedulingEntry entry(loop.context, Platform::entrySettings(file, drawIncarnation()), clock, log, api);
    if (const Core::Result<void> started = entry.start(); !started)
        return startFailure(started.error());
    loop.run([&] { entry.drain([&loop] { loop.stop(); }); },
        [&entry](const Platform::BootFile& changed) { entry.setStateAddresses(Platform::stateAddresses(changed)); });
    return ExitCode::Ok;
}

CommandResult runSidecar(const Platform::BootFile& file, PlatformLoop& loop, StructuredLog& log)
{
    const Core::SystemClock clock;
    const Platform::WorkerApi api;
    Workers::WorkerSidecar sidecar(loop.context, Platform::sidecarSettings(file, drawIncarnation()), clock, log, api);
    if (const Core::Result<void> started = sidecar.start(); !started)
        return startFailure(started.error());
    loop.run([&] { sidecar.drain([&loop] { loop.stop(); }); },
        [&sidecar](
            const Platform::BootFile& changed) { sidecar.setStateAddresses(Platform::stateAddresses(changed)); });
    return ExitCode::Ok;
}

CommandResult runState(const Platform::BootFile& file, PlatformLoop& loop, StructuredLog& log)
{
    const Platform::OperatorApi api;
    Core::Result<std::unique_ptr<State::StateProcess>> process
        = State::StateProcess::Builder()
              .setSettings(Platform::stateSettings(file))
              .setLog([&log](const std::string& line) {
                  log.write(LogLevel::Info, "state", { { "detail", line } });
              })
              .setControl(file.controlAddress, api, log)
              .start();
    if (!process)
        return startFailure(process.error());
    loop.run(
        [&] {
            process.value()->stop();
            loop.stop();
        },
        [](const Platform::BootFile&) {});
    return ExitCode::Ok;
}

}

CommandResult runPlatform(const std::vector<std::string>& arguments)
{
    BOOST_OUTCOME_TRY(const CommandLine line, CommandLine::parse(usage, arguments));
    if (line.isHelp())
        return ExitCode::Ok;
    std::string path = line.text("--settings");
    if (const char* named = std::getenv(settingsVariable); path.empty() && named)
        path = named;
    if (path.empty())
        return failure(ExitCode::Usage, std::string("give --settings or set ") + settingsVariable);
    const Core::Result<Platform::BootFile> file = Platform::loadBootFile(path);
    if (!file)
        return failure(ExitCode::InvalidSettings, file.error().message());
    const Core::SystemClock clock;
    Logging::LogSettings logSettings;
    logSettings.role = arguments[1];
    logSettings.instanceId = file.value().node;
    logSettings.recordsPerSecond = recordsPerSecond;
    Logging::RecordWriter writer(STDOUT_FILENO);
    logSettings.output = [&writer](const std::string& record) { writer.add(record); };
    StructuredLog log(std::move(logSettings), clock);
    log.write(LogLevel::Info, "starting",
        { { "ip", file.value().ip }, { "seeds", static_cast<std::uint64_t>(file.value().seeds.size()) },
            { "bootstrap", file.value().isFirstStart ? 1 : 0 } });
    PlatformLoop loop(path, log, writer);
    if (line.has("entry"))
        return runEntry(file.value(), loop, log);
    return line.has("sidecar") ? runSidecar(file.value(), loop, log) : runState(file.value(), loop, log);
}

}
