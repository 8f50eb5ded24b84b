#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Core/Result.h"
#include "celeryswitch/Entry/EntryCore.h"
#include "celeryswitch/Entry/EntrySettings.h"
#include <functional>
#include <memory>
#include <string>

namespace celeryswitch::Entry {

/// A running entry: HTTP, decision and peer threads joined by bounded rings.
class EntryProcess {
public:
    /// Receives one line a noteworthy event; called from any thread.
    using LogHook = std::function<void(const std::string& message)>;
    /// Gives the text of /metrics for a snapshot; called on the HTTP thread.
    using MetricsHook = std::function<std::string(const EntrySnapshot&)>;

    /// Collects what an entry process needs.
    class Builder {
    public:
        /// Sets the settings.
        Builder& setSettings(EntrySettings settings);
        /// Sets the clock, which must outlive the process; the system's clock without it.
        Builder& setClock(const Core::Clock& clock);
        /// Sets the log hook.
        Builder& setLog(LogHook hook);
        /// Replaces the text of /metrics.
        Builder& setMetricsText(MetricsHook hook);
        /// Listens at every address and starts the threads. Errors: JobApiError, Network::TransportError.
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

    /// Bound addresses, "127.0.0.1:8080".
    const std::string& httpAddress() const;
    const std::string& peerAddress() const;
    const std::string& datagramAddress() const;
    /// State of at most 100 ms ago.
    EntrySnapshot snapshot() const;
    /// Stops gracefully: refuses new submissions as not run, lets running jobs end, releases the partitions, and ends
    /// the threads. Returns false when jobs were still running after `patience`; they are then cut off.
    bool stop(Core::Duration patience = std::chrono::minutes(5));

private:
    class Implementation;
    explicit EntryProcess(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> implementation;
};

}
