#pragma once

#include "celeryswitch/Consensus/ReplicaRole.h"
#include "celeryswitch/Logging/StructuredLog.h"
#include "celeryswitch/Metrics/MetricRegistry.h"
#include "celeryswitch/State/ControlProtocol.h"
#include "celeryswitch/State/StateSettings.h"
#include "celeryswitch/Storage/FileSystem.h"
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace celeryswitch::State {

/// Measurements of a state replica.
struct StateMetrics {
    Consensus::ReplicaRole role = Consensus::ReplicaRole::Learner;
    std::uint64_t term = 0;
    std::uint64_t commitIndex = 0;
    std::uint64_t appliedIndex = 0;
    std::uint64_t configurationVersion = 0;
    /// Syncs since the start, their total and longest time.
    std::uint64_t syncs = 0;
    Core::Duration syncTime {};
    Core::Duration longestSync {};
    /// Messages sent to other replicas.
    std::uint64_t messagesSent = 0;
    /// Events and outputs lost because a ring was full.
    std::uint64_t ringRefusals = 0;
    /// Why the replica no longer takes part; empty while it does.
    std::string stopReason;
};

/// A running replica of the state log: the decision, peer and storage threads around StateCore.
class StateProcess {
public:
    /// Takes a line for the process's log.
    using LogHook = std::function<void(const std::string& line)>;

    /// Collects what a process needs, and starts it.
    class Builder {
    public:
        /// Settings; required.
        Builder& setSettings(StateSettings value);
        /// Receives log lines, on any of the threads.
        Builder& setLog(LogHook value);
        /// File system; that of the operating system by default. Must outlive the process.
        Builder& setFileSystem(Storage::FileSystem& value);
        /// Serves operators over HTTP on "address:port", in the words of a protocol that outlives the process.
        Builder& setControl(std::string address, const ControlProtocol& protocol, Logging::StructuredLog& controlLog);
        /// Opens the data folder and starts the threads. Errors: those of Storage, with file and offset for damage, and
        /// those of the transport.
        Core::Result<std::unique_ptr<StateProcess>> start();

    private:
        StateSettings settings;
        LogHook log;
        Storage::FileSystem* files = nullptr;
        std::string controlAddress;
        const ControlProtocol* protocol = nullptr;
        Logging::StructuredLog* controlLog = nullptr;
    };

    /// Stops the process.
    ~StateProcess();
    StateProcess(const StateProcess&) = delete;
    StateProcess& operator=(const StateProcess&) = delete;

    /// Replaces the replicas, by name, that are asked for the group while this one is in none.
    void setKnownReplicas(std::map<std::string, std::string> addresses);
    /// Asks the group to do without this replica, for at most `departureLimit` of the settings, and goes on meanwhile.
    /// Calls `onDone` once, on another thread, when this replica may stop. Called at most once.
    void depart(std::function<void()> onDone);
    /// Ends the threads; what is not synced is lost, and nothing of it was confirmed.
    void stop();
    /// Bound address of the frame listener.
    const std::string& peerAddress() const;
    /// Identity of the data folder.
    const std::string& replicaId() const;
    /// Measurements now.
    StateMetrics metrics() const;
    /// Updates the gauges of the operators' connections.
    void collect(Metrics::MetricRegistry& registry) const;

private:
    class Implementation;
    explicit StateProcess(std::unique_ptr<Implementation> implementation);
    std::unique_ptr<Implementation> implementation;
};

}
