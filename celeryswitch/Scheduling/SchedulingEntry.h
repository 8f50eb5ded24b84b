#pragma once

#include "celeryswitch/Http/HttpServer.h"
#include "celeryswitch/Network/PeerTransport.h"
#include "celeryswitch/Scheduling/CallerProtocol.h"
#include "celeryswitch/Scheduling/JobScheduler.h"
#include "celeryswitch/Scheduling/LinkSubset.h"
#include "celeryswitch/Scheduling/SidecarLinks.h"
#include "celeryswitch/State/FleetWatcher.h"
#include <deque>
#include <unordered_map>

namespace celeryswitch::Scheduling {

/// Settings of an entry that schedules on leased workers; fixed for its life.
struct SchedulingEntrySettings {
    Core::InstanceId instanceId;
    Core::Incarnation incarnation = 0;
    std::string dataCentre;
    /// "address:port" for callers.
    std::string callerAddress;
    /// "address:port" where readiness is asked for; empty when it is not.
    std::string readinessAddress;
    /// Path of the readiness call.
    std::string readinessPath;
    /// Addresses of state replicas to begin with.
    std::vector<std::string> stateAddresses;
    Network::AuthenticationKeys authenticationKeys;
    /// Time to connect to another process.
    std::chrono::milliseconds connectLimit { 2000 };
    /// Connections of callers at most.
    std::size_t connectionsLimit = 3500;
    /// Times of a graceful stop: until no connection is accepted, and until the process ends at the latest.
    Core::Duration stopAcceptingAfter = std::chrono::milliseconds(3000);
    Core::Duration stopAfter = std::chrono::milliseconds(5000);
    SchedulerSettings scheduler;
    LinkSubsetSettings links;
};

/// The entry's process: an event loop around JobScheduler. Every function runs on the io_context's thread.
class SchedulingEntry {
public:
    /// `context`, `clock`, `log`, `registry` and `protocol` outlive the entry.
    SchedulingEntry(boost::asio::io_context& context, SchedulingEntrySettings settings, const Core::Clock& clock,
        Logging::StructuredLog& log, Metrics::MetricRegistry& registry, const CallerProtocol& protocol);

    /// Listens and begins to work.
    Core::Result<void> start();
    /// Replaces the addresses of state replicas.
    void setStateAddresses(std::vector<std::string> addresses) { this->watcher.setReplicas(std::move(addresses)); }
    /// Becomes unready, serves open connections for a while, and calls `onDone` when every job has its answer or the
    /// time for it is over.
    void drain(std::function<void()> onDone);
    /// Sets the gauges of the entry.
    void collect(Metrics::MetricRegistry& registry) const;

private:
    void received(const Http::HttpSession::Pointer& session, Http::HttpRequest request);
    void handle(
        const Http::HttpSession::Pointer& session, const Http::HttpRequest& request, Core::SteadyTime arrivedAt);
    void answerHeld(bool isRoutingKnown);
    void readinessAsked(const Http::HttpSession::Pointer& session, const Http::HttpRequest& request);
    void routingReceived(Configuration::RoutingDocument document);
    void respond(const Http::HttpSession::Pointer& session, const CallerAnswer& answer);
    void abandoned(const Http::HttpSession::Pointer& session);
    void membersReceived(const std::vector<Messages::Member>& members);
    bool isReady() const;
    void step();
    void tick();
    void finishDraining();

    boost::asio::io_context& context;
    SchedulingEntrySettings settings;
    const Core::Clock& clock;
    Logging::StructuredLog& log;
    const CallerProtocol& protocol;
    Network::PeerTransport transport;
    JobScheduler scheduler;
    Http::HttpServer callers;
    Http::HttpServer readiness;
    SidecarLinks links;
    State::FleetWatcher watcher;
    boost::asio::steady_timer timer;
    boost::asio::steady_timer tickTimer;
    Configuration::RoutingDocument routing;
    /// A request that came before the first routing document.
    struct HeldRequest {
        Http::HttpSession::Pointer session;
        Http::HttpRequest request;
        Core::SteadyTime arrivedAt;
    };
    std::deque<HeldRequest> held;
    RequestNumber lastRequest = 0;
    /// Requests without a response, both ways.
    std::unordered_map<RequestNumber, Http::HttpSession::Pointer> waiting;
    std::unordered_map<Http::HttpSession*, RequestNumber> numbers;
    bool isStepping = false;
    std::function<void()> onDrained;
    Core::SteadyTime drainBegan;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}
