#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Core/Result.h"
#include "celeryswitch/Entry/EntryCore.h"
#include "celeryswitch/Entry/EntrySettings.h"
#include <functional>
#include <memory>
#include <string>

namespace celeryswitch::Entry {

/// A running entry with an HTTP, a decision and a peer thread, which communicate through bounded ring buffers.
class EntryProcess {
public:
    /// Receives one log line per call; called from any thread.
    using LogHook = std::function<void(const std::string& message)>;
    /// Returns the body of /metrics for a snapshot; called on the HTTP thread.
    using MetricsHook = std::function<std::string(const EntrySnapshot&)>;

    /// Configures and starts an entry process.
    class Builder {
    public:
        /// Sets the settings of the process.
        Builder& setSettings(EntrySettings settings);
        /// Sets the clock, which must outlive the process. The default is the system clock.
        Builder& setClock(const Core::Clock& clock);
        /// Sets the receiver of log lines. By default they are discarded.
        Builder& setLog(LogHook hook);
        /// Replaces the function that formats /metrics.
        Builder& setMetricsText(MetricsHook hook);
        /// Opens all listeners and starts the threads. Errors: Http::HttpServerError, Network::TransportError.
        Core::Result<std::unique_ptr<EntryProcess>> start();

    private:
        EntrySettings settings;
        const Core::Clock* clock = nullptr;
        LogHook log;
        MetricsHook metricsText;
    };

    ~EntryProcess();
    EntryProcess(const EntryProcess&) = delete;
    EntryProcess& operator=(const EntryProcess&) = delete;

    /// Bound addresses, for example "127.0.0.1:8080".
    const std::string& httpAddress() const;
    const std::string& peerAddress() const;
    const std::string& datagramAddress() const;
    /// Latest state; at most about 100 ms old.
    EntrySnapshot snapshot() const;
    /// Stops gracefully: refuses new submissions as not run, waits for running jobs, releases the partitions and joins
    /// the threads. Returns false if this takes longer than `timeout`; jobs that still run are then abandoned.
    bool stop(Core::Duration timeout = std::chrono::minutes(5));

private:
    class Implementation;
    explicit EntryProcess(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> implementation;
};

}
