#pragma once

#include "celeryswitch/Http/BudgetReport.h"
#include "celeryswitch/Http/HttpServer.h"
#include "celeryswitch/Http/ProcessLimits.h"
#include "celeryswitch/Network/PeerTransport.h"
#include "celeryswitch/State/FleetWatcher.h"
#include "celeryswitch/Workers/EntryConnections.h"
#include "celeryswitch/Workers/RunSupervisor.h"
#include "celeryswitch/Workers/WorkerClient.h"
#include <optional>

namespace celeryswitch::Workers {

/// Settings of the sidecar of a leased worker; constant after construction.
struct WorkerSidecarSettings {
    Core::InstanceId instanceId;
    std::string dataCentre;
    /// "address:port" on which the announcements of the worker are received.
    std::string announcementAddress;
    /// "address:port" of the worker.
    std::string workerAddress;
    /// "address:port" on which entries connect.
    std::string peerAddress;
    /// Initial addresses of the state replicas.
    std::vector<std::string> stateAddresses;
    Network::AuthenticationKeys authenticationKeys;
    /// Time limit for connecting to another process.
    std::chrono::milliseconds connectTimeout { 2000 };
    /// Whether the data centre may be evacuated. The sidecar then learns it from its renewals.
    bool isEvacuable = false;
    /// Time between two renewals of the sidecar's registration.
    Core::Duration renewalInterval = std::chrono::seconds(5);
    /// Maximum number of connections to the worker.
    std::size_t workerConnections = 8;
    /// Maximum time for which a graceful shutdown waits for runs to end.
    Core::Duration drainTimeout = std::chrono::seconds(3);
    Http::ProcessAllowance allowance;
    SupervisorSettings supervisor;
};

/// The sidecar of a leased worker: connects a RunSupervisor to the network. All functions run on the thread of the
/// io_context.
class WorkerSidecar {
public:
    /// `context`, `clock`, `log`, `registry` and `protocol` must outlive the sidecar.
    WorkerSidecar(boost::asio::io_context& context, WorkerSidecarSettings settings, const Core::Clock& clock,
        Logging::StructuredLog& log, Metrics::MetricRegistry& registry, const WorkerProtocol& protocol);

    /// Opens the listening sockets and starts processing. Errors: those of the sockets.
    Core::Result<void> start();
    /// Replaces the addresses of state replicas.
    void setStateAddresses(std::vector<std::string> addresses) { this->watcher.setReplicas(std::move(addresses)); }
    /// Starts no more runs, and calls `onDone` when the last run has ended or the drain timeout has passed.
    void drain(std::function<void()> onDone);
    /// Updates the gauges of the sidecar.
    void collect(Metrics::MetricRegistry& registry) const
    {
        this->supervisor.collect(this->clock.steadyNow(), registry);
        Http::collectBudget(*this->receiveBudget, registry);
    }

private:
    void announcementReceived(const Http::HttpSession::Pointer& session, const Http::HttpRequest& request);
    void step();
    void perform(SupervisorAction& action);
    void registerWorker();
    State::FleetWatcher::Handlers watcherHandlers();
    void finishDraining();

    boost::asio::io_context& context;
    WorkerSidecarSettings settings;
    const Core::Clock& clock;
    Logging::StructuredLog& log;
    const WorkerProtocol& protocol;
    Network::PeerTransport transport;
    RunSupervisor supervisor;
    WorkerClient workerClient;
    Http::ProcessLimits limits;
    std::shared_ptr<Http::ReceiveBudget> receiveBudget;
    Http::HttpServer announcements;
    State::FleetWatcher watcher;
    EntryConnections entries;
    boost::asio::steady_timer timer;
    Messages::WorkerProfile registered;
    bool isStepping = false;
    std::function<void()> onDrained;
    Core::SteadyTime drainDeadline;
    std::shared_ptr<bool> lifetimeToken = std::make_shared<bool>(true);
};

}
