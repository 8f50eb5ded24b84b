#pragma once

#include "celeryswitch/Http/HttpServer.h"
#include "celeryswitch/Http/ProcessLimits.h"
#include "celeryswitch/Network/PeerTransport.h"
#include "celeryswitch/Scheduling/CallerProtocol.h"
#include "celeryswitch/Scheduling/DecisionPacer.h"
#include "celeryswitch/Scheduling/DeferredRequests.h"
#include "celeryswitch/Scheduling/JobScheduler.h"
#include "celeryswitch/Scheduling/LinkSubset.h"
#include "celeryswitch/Scheduling/OverloadGuard.h"
#include "celeryswitch/Scheduling/SidecarLinks.h"
#include "celeryswitch/Scheduling/StallGuard.h"
#include "celeryswitch/State/FleetWatcher.h"
#include <unordered_map>

namespace celeryswitch::Scheduling {

/// Settings of an entry that schedules on leased workers; constant during its lifetime.
struct SchedulingEntrySettings {
    Core::InstanceId instanceId;
    Core::Incarnation incarnation = 0;
    std::string dataCentre;
    /// "address:port" on which callers connect.
    std::string callerAddress;
    /// "address:port" of the readiness check; empty to disable it.
    std::string readinessAddress;
    /// Path of the readiness check.
    std::string readinessPath;
    /// Initial addresses of the state replicas.
    std::vector<std::string> stateAddresses;
    Network::AuthenticationKeys authenticationKeys;
    /// Timeout of connections to other processes.
    std::chrono::milliseconds connectLimit { 2000 };
    /// Maximum number of callers' connections; `allowance` may lower it.
    std::size_t connectionsLimit = 3500;
    Http::ProcessAllowance allowance;
    /// Graceful stop: time after which no new connections are accepted, and time after which remaining jobs are ended.
    Core::Duration stopAcceptingAfter = std::chrono::milliseconds(3000);
    Core::Duration stopAfter = std::chrono::milliseconds(5000);
    SchedulerSettings scheduler;
    LinkSubsetSettings links;
};

/// Runs a JobScheduler in an event loop: HTTP requests, connections to sidecars, routing documents and timers. All
/// functions must be called on the io_context's thread.
class SchedulingEntry {
public:
    /// `context`, `clock`, `log`, `registry` and `protocol` outlive the entry.
    SchedulingEntry(boost::asio::io_context& context, SchedulingEntrySettings settings, const Core::Clock& clock,
        Logging::StructuredLog& log, Metrics::MetricRegistry& registry, const CallerProtocol& protocol);

    /// Opens the listening sockets and starts the timers; fails when an address can't be bound.
    Core::Result<void> start();
    /// Replaces the addresses of the state replicas.
    void setStateAddresses(std::vector<std::string> addresses) { this->watcher.setReplicas(std::move(addresses)); }
    /// Reports not ready, serves open connections for `stopAcceptingAfter`, and calls `onDone` when all jobs are
    /// answered or soon after `stopAfter`.
    void drain(std::function<void()> onDone);
    /// Updates the entry's gauges.
    void collect(Metrics::MetricRegistry& registry) const;

private:
    void requestReceived(const Http::HttpSession::Pointer& session, Http::HttpRequest request);
    // Answer to a request that was not read whole.
    Http::HttpResponse refuseUnread(std::uint16_t status, const std::string& reason) const;
    void handle(
        const Http::HttpSession::Pointer& session, const Http::HttpRequest& request, Core::SteadyTime arrivedAt);
    // Refuses requests that have waited for the routing document for too long.
    void refuseOverdue();
    void readinessRequested(const Http::HttpSession::Pointer& session, const Http::HttpRequest& request);
    void routingReceived(Configuration::RoutingDocument document);
    void respond(const Http::HttpSession::Pointer& session, const CallerAnswer& answer);
    void sessionClosed(const Http::HttpSession::Pointer& session);
    void abandonRequest(Core::SteadyTime now, RequestNumber number);
    // Ends the requests of all callers whose connections have ended.
    void checkCallers(Core::SteadyTime now);
    // The time now; recognizes a stall before the event at hand is decided on.
    Core::SteadyTime observeTime();
    void evacuationsReceived(const std::set<std::string>& dataCentres);
    void membersReceived(const std::vector<Messages::Member>& members);
    bool isReady() const;
    // Runs the scheduler now, or at the end of the pause after its latest run.
    void runScheduler();
    void runSchedulerNow(Core::SteadyTime now);
    // Sets the timer to `time`, unless it ends earlier.
    void wakeAt(Core::SteadyTime time);
    void carryOut(std::vector<SchedulerAction> actions);
    // Whether a request is refused unread because the processor can't keep up.
    bool isSurplus(const Http::HttpRequest& request, const Configuration::Queue& queue, std::string_view rest);
    void recordLoop(Core::SteadyTime now, Core::Duration lag);
    void tick();
    void finishDraining();

    boost::asio::io_context& context;
    SchedulingEntrySettings settings;
    const Core::Clock& clock;
    Logging::StructuredLog& log;
    const CallerProtocol& protocol;
    Network::PeerTransport transport;
    StallGuard stallGuard;
    OverloadGuard overloadGuard;
    DecisionPacer pacer;
    Http::ProcessLimits limits;
    JobScheduler scheduler;
    std::shared_ptr<Http::ReceiveBudget> receiveBudget;
    Http::HttpServer callers;
    Http::HttpServer readiness;
    SidecarLinks links;
    LinkSubset linkSubset;
    State::FleetWatcher watcher;
    boost::asio::steady_timer timer;
    /// End of the running timer; the maximum time while none runs.
    Core::SteadyTime timerEndsAt = Core::SteadyTime::max();
    boost::asio::steady_timer tickTimer;
    Core::SteadyTime tickDueAt = Core::SteadyTime::max();
    /// Requests refused unread, and the time of the latest record of them.
    std::uint64_t surplusRefused = 0;
    std::uint64_t surplusRecorded = 0;
    Core::SteadyTime loopRecordedAt;
    Configuration::RoutingDocument routing;
    struct ReceivedRequest {
        Http::HttpSession::Pointer session;
        Http::HttpRequest request;
    };
    /// Requests received before the first routing document, or while the backlog of a stall is read.
    DeferredRequests<ReceivedRequest> deferredRequests;
    RequestNumber lastRequest = 0;
    /// Open requests by number, and their numbers by session.
    std::unordered_map<RequestNumber, Http::HttpSession::Pointer> openRequests;
    std::unordered_map<Http::HttpSession*, RequestNumber> requestNumbers;
    bool isSchedulerRunning = false;
    std::function<void()> onDrained;
    Core::SteadyTime drainStartedAt;
    std::shared_ptr<bool> lifetimeToken = std::make_shared<bool>(true);
};

}
