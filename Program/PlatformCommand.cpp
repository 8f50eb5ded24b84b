#include "Program/CommandLine.h"
#include "Program/Commands.h"
#include "Program/MetricsServer.h"
#include "Program/StallWatch.h"
#include "celeryswitch/Core/EventLoop.h"
#include "celeryswitch/Logging/RecordWriter.h"
#include "celeryswitch/State/StateProcess.h"
#include "platform/BootFile.h"
#include "platform/ClientApi.h"
#include "platform/OperatorApi.h"
#include "platform/WorkerApi.h"
#include <boost/asio/post.hpp>
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
  --settings FILE    The platform's settings file; by default the file that CELERYSWITCH_CONFIG names.
  --metrics ADDRESS  Serves metrics at http://ADDRESS/metrics, for example 127.0.0.1:9464.

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

void logUnusableSeeds(StructuredLog& log, const Platform::BootFile& file)
{
    for (const std::string& seed : file.unusableSeeds)
        log.write(LogLevel::Warning, "seed left out", { { "seed", seed }, { "detail", "no IP address with a port" } });
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
        , stallWatch(log)
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
        Core::runEventLoop(this->context, [this](const std::string& detail) {
            this->log.write(LogLevel::Error, "unexpected error", { { "detail", detail } });
        });
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
        this->stallWatch.check();
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
        logUnusableSeeds(this->log, file.value());
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
    StallWatch stallWatch;
    std::function<void(const Platform::BootFile&)> onSettings;
    std::vector<std::string> seeds;
};

CommandResult startFailure(const Core::Error& error)
{
    return failure(ExitCode::Failed, "can't start: " + error.message());
}

/// What every role of the platform gets.
struct PlatformProcess {
    const Platform::BootFile& file;
    PlatformLoop& loop;
    StructuredLog& log;
    const Logging::RecordWriter& writer;
    Metrics::MetricRegistry& registry;
    /// "address:port" of the metrics; empty when they are not served.
    std::string metricsAddress;
};

// Serves a process's metrics, if an address was given for them.
Core::Result<std::unique_ptr<MetricsServer>> serveMetrics(
    const PlatformProcess& process, std::function<void(Metrics::MetricRegistry&)> collect)
{
    auto server = std::make_unique<MetricsServer>(process.loop.context, process.registry,
        [&process, collect = std::move(collect)](Metrics::MetricRegistry& registry) {
            collect(registry);
            registry.gauge("celeryswitch_log_records_dropped", "Log records lost because nobody read them.")
                .set(static_cast<double>(process.writer.dropped()));
        });
    if (!process.metricsAddress.empty()) {
        BOOST_OUTCOME_TRY(server->listen(process.metricsAddress));
    }
    return server;
}

// Memory that the values of one body may take, in bytes.
std::size_t valueBytesLimit(const Platform::BootFile& file)
{
    return Http::deriveLimits(file.allowance, {}).valueBytes;
}

CommandResult runEntry(const PlatformProcess& process)
{
    const Core::SystemClock clock;
    const Platform::ClientApi api(valueBytesLimit(process.file));
    PlatformLoop& loop = process.loop;
    Scheduling::SchedulingEntry entry(loop.context, Platform::entrySettings(process.file, drawIncarnation()), clock,
        process.log, process.registry, api);
    if (const Core::Result<void> started = entry.start(); !started)
        return startFailure(started.error());
    const auto metrics
        = serveMetrics(process, [&entry](Metrics::MetricRegistry& registry) { entry.collect(registry); });
    if (!metrics)
        return startFailure(metrics.error());
    loop.run([&] { entry.drain([&loop] { loop.stop(); }); },
        [&entry](const Platform::BootFile& changed) { entry.setStateAddresses(Platform::stateAddresses(changed)); });
    return ExitCode::Ok;
}

CommandResult runSidecar(const PlatformProcess& process)
{
    const Core::SystemClock clock;
    const Platform::WorkerApi api(valueBytesLimit(process.file));
    PlatformLoop& loop = process.loop;
    Workers::WorkerSidecar sidecar(loop.context, Platform::sidecarSettings(process.file, drawIncarnation()), clock,
        process.log, process.registry, api);
    if (const Core::Result<void> started = sidecar.start(); !started)
        return startFailure(started.error());
    const auto metrics
        = serveMetrics(process, [&sidecar](Metrics::MetricRegistry& registry) { sidecar.collect(registry); });
    if (!metrics)
        return startFailure(metrics.error());
    loop.run([&] { sidecar.drain([&loop] { loop.stop(); }); },
        [&sidecar](
            const Platform::BootFile& changed) { sidecar.setStateAddresses(Platform::stateAddresses(changed)); });
    return ExitCode::Ok;
}

// Sets the gauges of a state replica.
void collectState(const State::StateMetrics& metrics, Metrics::MetricRegistry& registry)
{
    const auto set = [&registry](const char* name, const char* help, auto value) {
        registry.gauge(name, help).set(static_cast<double>(value));
    };
    for (const auto& [role, name] : Core::EnumTable<Consensus::ReplicaRole>::names)
        registry.gauge("celeryswitch_state_role", "1 for the role of this replica.", { { "role", std::string(name) } })
            .set(metrics.role == role ? 1 : 0);
    set("celeryswitch_state_term", "Term of the state log.", metrics.term);
    set("celeryswitch_state_commit_index", "Last record known to be committed.", metrics.commitIndex);
    set("celeryswitch_state_applied_index", "Last record applied.", metrics.appliedIndex);
    set("celeryswitch_state_syncs", "Syncs of the log since the start.", metrics.syncs);
    set("celeryswitch_state_sync_seconds", "Time of all syncs.",
        std::chrono::duration<double>(metrics.syncTime).count());
    set("celeryswitch_state_longest_sync_seconds", "Longest sync.",
        std::chrono::duration<double>(metrics.longestSync).count());
    set("celeryswitch_state_messages_sent", "Messages sent to other replicas.", metrics.messagesSent);
    set("celeryswitch_state_ring_refusals", "Events lost because a ring was full.", metrics.ringRefusals);
    set("celeryswitch_state_stopped", "Whether this replica takes no part because its storage failed.",
        metrics.stopReason.empty() ? 0 : 1);
}

CommandResult runState(const PlatformProcess& process)
{
    StructuredLog& log = process.log;
    const Platform::OperatorApi api(valueBytesLimit(process.file));
    Core::Result<std::unique_ptr<State::StateProcess>> state
        = State::StateProcess::Builder()
              .setSettings(Platform::stateSettings(process.file))
              .setLog([&log](const std::string& line) {
                  log.write(LogLevel::Info, "state", { { "detail", line } });
              })
              .setControl(process.file.controlAddress, api, log)
              .start();
    if (!state)
        return startFailure(state.error());
    const auto metrics = serveMetrics(process, [&state](Metrics::MetricRegistry& registry) {
        collectState(state.value()->metrics(), registry);
        state.value()->collect(registry);
    });
    if (!metrics)
        return startFailure(metrics.error());
    process.loop.run(
        [&] {
            state.value()->depart([&] {
                boost::asio::post(process.loop.context, [&] {
                    state.value()->stop();
                    process.loop.stop();
                });
            });
        },
        [&state](const Platform::BootFile& changed) {
            state.value()->setKnownReplicas(Platform::stateSettings(changed).initialReplicas);
        });
    return ExitCode::Ok;
}

}

CommandResult runPlatform(const std::vector<std::string>& arguments)
{
    // The platform may tell of new settings before the event loop listens; they are read at the start anyway.
    std::signal(SIGHUP, SIG_IGN);
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
    logUnusableSeeds(log, file.value());
    PlatformLoop loop(path, log, writer);
    Metrics::MetricRegistry registry;
    const PlatformProcess process { file.value(), loop, log, writer, registry, line.text("--metrics") };
    if (line.has("entry"))
        return runEntry(process);
    return line.has("sidecar") ? runSidecar(process) : runState(process);
}

}
