#pragma once

#include "celeryswitch/Http/HttpServer.h"
#include "celeryswitch/Network/PeerTransport.h"
#include "celeryswitch/State/FleetWatcher.h"
#include "celeryswitch/Workers/RunSupervisor.h"
#include "celeryswitch/Workers/WorkerCaller.h"
#include <map>
#include <optional>

namespace celeryswitch::Workers {

/// Settings of the sidecar of a leased worker; fixed for its life.
struct WorkerSidecarSettings {
    Core::InstanceId instanceId;
    std::string dataCentre;
    /// "address:port" where the worker announces itself.
    std::string announcementAddress;
    /// "address:port" of the worker.
    std::string workerAddress;
    /// "address:port" for entries.
    std::string peerAddress;
    /// Addresses of state replicas to begin with.
    std::vector<std::string> stateAddresses;
    Network::AuthenticationKeys authenticationKeys;
    /// Time to connect to another process.
    std::chrono::milliseconds connectLimit { 2000 };
    /// Connections to the worker at most.
    std::size_t workerConnections = 8;
    /// Time for which a graceful stop waits for runs to end.
    Core::Duration drainTime = std::chrono::seconds(3);
    SupervisorSettings supervisor;
};

/// The process beside a leased worker: an event loop around RunSupervisor. Every function runs on the io_context's
/// thread.
class WorkerSidecar {
public:
    /// `context`, `clock`, `log`, `registry` and `protocol` outlive the sidecar.
    WorkerSidecar(boost::asio::io_context& context, WorkerSidecarSettings settings, const Core::Clock& clock,
        Logging::StructuredLog& log, Metrics::MetricRegistry& registry, const WorkerProtocol& protocol);

    /// Listens and begins to work.
    Core::Result<void> start();
    /// Replaces the addresses of state replicas.
    void setStateAddresses(std::vector<std::string> addresses) { this->watcher.setReplicas(std::move(addresses)); }
    /// Takes no more runs and calls `onDone` when the last one has ended or the time for it is over.
    void drain(std::function<void()> onDone);
    /// Sets the gauges of the sidecar.
    void collect(Metrics::MetricRegistry& registry) const
    {
        this->supervisor.collect(this->clock.steadyNow(), registry);
    }

private:
    void announcementReceived(const Http::HttpSession::Pointer& session, const Http::HttpRequest& request);
    void accepted(Network::PeerConnectionPointer connection);
    void frameReceived(std::uint64_t number, const std::string& payload);
    void closed(std::uint64_t number);
    void step();
    void perform(SupervisorAction& action);
    void registerWorker();
    void finishDraining();

    boost::asio::io_context& context;
    WorkerSidecarSettings settings;
    const Core::Clock& clock;
    Logging::StructuredLog& log;
    const WorkerProtocol& protocol;
    Network::PeerTransport transport;
    RunSupervisor supervisor;
    WorkerCaller caller;
    Http::HttpServer announcements;
    State::FleetWatcher watcher;
    boost::asio::steady_timer timer;
    /// Connections of entries by number; those without Hello have sent nothing yet.
    struct EntryConnection {
        Network::PeerConnectionPointer connection;
        bool isIdentified = false;
    };
    std::map<std::uint64_t, EntryConnection> connections;
    std::uint64_t lastConnection = 0;
    Messages::WorkerProfile registered;
    bool isStepping = false;
    std::function<void()> onDrained;
    Core::SteadyTime drainUntil;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}
