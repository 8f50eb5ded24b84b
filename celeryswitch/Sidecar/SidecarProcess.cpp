#include "celeryswitch/Sidecar/SidecarProcess.h"

#include "celeryswitch/Core/Assert.h"
#include "celeryswitch/Network/FrameAuthenticator.h"
#include "celeryswitch/Sidecar/EndpointClient.h"
#include "celeryswitch/Sidecar/PeerLoop.h"
#include "celeryswitch/Sidecar/SidecarCore.h"
#include <boost/asio/post.hpp>
#include <cstring>
#include <mutex>
#include <thread>

namespace celeryswitch::Sidecar {

namespace asio = boost::asio;
using WorkGuard = asio::executor_work_guard<asio::io_context::executor_type>;

namespace {

// Maximum number of peer events queued for the decision thread.
constexpr std::size_t peerRingCapacity = 16 * 1024;
// The rings of the endpoint thread hold at most one element per slot and one probe.
constexpr std::uint32_t maximumSlots = 1024;
constexpr std::size_t endpointRingCapacity = 2 * maximumSlots;
// Longest time between two decision cycles.
constexpr Core::Duration maximumTimerDelay = std::chrono::seconds(1);

// Creates the identity of a new process, with a random incarnation.
Messages::Hello makeIdentity(const SidecarSettings& settings)
{
    Core::Incarnation incarnation = 0;
    std::memcpy(&incarnation, Network::randomBytes(sizeof(incarnation)).data(), sizeof(incarnation));
    return { Messages::Role::Sidecar, settings.instanceId, incarnation, settings.dataCentre, settings.rack,
        settings.service, settings.slots };
}

SidecarCoreSettings makeCoreSettings(const Messages::Hello& identity)
{
    SidecarCoreSettings settings;
    settings.identity = identity;
    settings.startsWithProbe = true;
    return settings;
}

}

/// Threads, the rings between them, and the objects that they own.
class SidecarProcess::Implementation {
public:
    Implementation(const SidecarSettings& settings, LogHook log, RegistrationHook registration)
        : log(std::move(log))
        , identity(makeIdentity(settings))
        , decisionWork(this->decisionContext.get_executor())
        , endpointWork(this->endpointContext.get_executor())
        , fromPeers(peerRingCapacity, [this] { this->wakeDecisionThread(); })
        , fromEndpoint(endpointRingCapacity, [this] { this->wakeDecisionThread(); })
        , toEndpoint(
              endpointRingCapacity, [this] { asio::post(this->endpointContext, [this] { this->startCalls(); }); })
        , peers({ settings, this->identity, this->fromPeers, this->log, std::move(registration) })
        , client(this->endpointContext, { settings.endpointAddress, settings.service, settings.connections })
        , core(makeCoreSettings(this->identity))
        , timer(this->decisionContext)
    {
    }

    ~Implementation()
    {
        this->decisionContext.stop();
        this->endpointContext.stop();
        this->peers.abort();
        this->wait();
    }

    void start()
    {
        this->threads.emplace_back([this] { this->peers.run(); });
        this->threads.emplace_back([this] { this->endpointContext.run(); });
        this->threads.emplace_back([this] {
            this->runDecisionCycle();
            this->decisionContext.run();
            this->hasEnded = true;
        });
    }

    void stop()
    {
        asio::post(this->decisionContext, [this] {
            this->log("draining", "shutdown requested");
            this->core.stop(this->clock.steadyNow());
            this->runDecisionCycle();
        });
    }

    void wait()
    {
        for (std::thread& thread : this->threads) {
            if (thread.joinable())
                thread.join();
        }
    }

    SidecarMetrics metrics() const
    {
        const std::lock_guard lock(this->metricsMutex);
        SidecarMetrics copy = this->lastMetrics;
        copy.rejectedFrames = this->peers.rejectedCount();
        return copy;
    }

    LogHook log;
    Messages::Hello identity;
    std::atomic<bool> hasEnded = false;

private:
    // Wakes the decision thread; events that arrive before it runs share one wake-up.
    void wakeDecisionThread()
    {
        if (!this->isWakePosted.exchange(true))
            asio::post(this->decisionContext, [this] { this->runDecisionCycle(); });
    }

    // Decision thread: passes all queued events to the core, then executes its actions.
    void runDecisionCycle()
    {
        this->isWakePosted.store(false);
        if (this->isFinished)
            return;
        const Core::SteadyTime now = this->clock.steadyNow();
        const Core::WallTime wallNow = this->clock.wallNow();
        this->fromEndpoint.drain([&](EndpointEvent event) { this->handle(now, wallNow, event); });
        this->fromPeers.drain([&](PeerEvent event) { this->handle(now, wallNow, event); });
        for (Action& action : this->core.poll(now, wallNow))
            this->execute(std::move(action));
        this->publishMetrics();
        if (this->core.isStopped() && this->overflow.empty())
            return this->finish();
        this->timer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(
            std::clamp<Core::Duration>(this->core.nextWakeUp() - now, Core::Duration::zero(), maximumTimerDelay)));
        this->timer.async_wait([this](const boost::system::error_code& error) {
            if (!error)
                this->runDecisionCycle();
        });
    }

    void handle(Core::SteadyTime now, Core::WallTime wallNow, EndpointEvent& event)
    {
        if (event.isProbe)
            this->core.probeFinished(now, event.isReachable);
        else
            this->core.callFinished(now, wallNow, std::move(event.call));
    }

    void handle(Core::SteadyTime now, Core::WallTime wallNow, PeerEvent& event)
    {
        if (auto* frame = std::get_if<PeerFrame>(&event))
            this->handleFrame(now, wallNow, std::move(*frame));
        else if (const auto* heartbeat = std::get_if<PeerHeartbeat>(&event))
            this->core.heartbeatReceived(now, heartbeat->heartbeat, heartbeat->fromAddress);
        else if (const auto* opened = std::get_if<PeerConnected>(&event))
            this->core.connectionOpened(now, opened->connectionId);
        else
            this->core.connectionClosed(std::get<PeerDisconnected>(event).connectionId);
    }

    void handleFrame(Core::SteadyTime now, Core::WallTime wallNow, PeerFrame frame)
    {
        const Core::ConfigurationVersion before = this->core.configurationVersion();
        this->core.frameReceived(now, wallNow, frame.connectionId, std::move(frame.message));
        if (this->core.configurationVersion() != before)
            this->log("configuration in force", "version " + std::to_string(this->core.configurationVersion()));
    }

    void execute(Action action)
    {
        if (std::holds_alternative<StartCall>(action) || std::holds_alternative<ProbeEndpoint>(action)) {
            CELERY_ASSERT(this->toEndpoint.tryPush(std::move(action)));
            return;
        }
        while (!this->overflow.empty() && this->peers.actions().tryPush(std::move(this->overflow.front())))
            this->overflow.pop_front();
        if (this->overflow.empty() && this->peers.actions().tryPush(std::move(action)))
            return;
        // The peer thread is overloaded. A lost frame requires closing its connection; a heartbeat may be dropped.
        if (const auto* frame = std::get_if<SendFrame>(&action)) {
            this->core.connectionClosed(frame->connectionId);
            this->overflow.emplace_back(CloseConnection { frame->connectionId });
        } else if (std::holds_alternative<CloseConnection>(action)) {
            this->overflow.push_back(std::move(action));
        }
    }

    // Endpoint thread: starts queued calls and probes.
    void startCalls()
    {
        this->toEndpoint.drain([this](Action action) {
            if (auto* call = std::get_if<StartCall>(&action))
                this->client.call(std::move(*call), [this](CallResult result) {
                    this->report({ false, false, std::move(result) });
                });
            else
                this->client.probe([this](bool isReachable) { this->report({ true, isReachable, {} }); });
        });
    }

    // Endpoint thread: sends an event to the decision thread.
    void report(EndpointEvent event) { CELERY_ASSERT(this->fromEndpoint.tryPush(std::move(event))); }

    void publishMetrics()
    {
        const std::lock_guard lock(this->metricsMutex);
        this->lastMetrics = { this->core.counts(), this->core.runningTasks(), this->core.queuedTasks(),
            this->core.taskFence().taskCount(), this->core.taskFence().bodyBytes(), this->core.isDraining(),
            this->core.configurationVersion(), 0,
            this->fromPeers.refusedCount() + this->peers.actions().refusedCount() };
    }

    // Decision thread: shuts the threads down after the core has stopped.
    void finish()
    {
        this->isFinished = true;
        this->log("stopped", "all running tasks have ended");
        this->timer.cancel();
        this->peers.finish();
        asio::post(this->endpointContext, [this] { this->client.stop(); });
        this->endpointWork.reset();
        this->decisionWork.reset();
    }

    Core::SystemClock clock;
    asio::io_context decisionContext { 1 };
    asio::io_context endpointContext { 1 };
    WorkGuard decisionWork;
    WorkGuard endpointWork;
    Core::Ring<PeerEvent> fromPeers;
    Core::Ring<EndpointEvent> fromEndpoint;
    Core::Ring<Action> toEndpoint;

public:
    PeerLoop peers;

private:
    EndpointClient client;
    SidecarCore core;
    asio::steady_timer timer;
    std::deque<Action> overflow;
    std::atomic<bool> isWakePosted = false;
    bool isFinished = false;
    mutable std::mutex metricsMutex;
    SidecarMetrics lastMetrics;
    std::vector<std::thread> threads;
};

SidecarProcess::Builder& SidecarProcess::Builder::setSettings(SidecarSettings settings)
{
    this->settings = std::move(settings);
    return *this;
}

SidecarProcess::Builder& SidecarProcess::Builder::setLog(
    std::function<void(std::string_view event, const std::string& detail)> log)
{
    this->log = std::move(log);
    return *this;
}

SidecarProcess::Builder& SidecarProcess::Builder::setRegistration(
    std::function<void(const Messages::Member&)> registration)
{
    this->registration = std::move(registration);
    return *this;
}

Core::Result<std::unique_ptr<SidecarProcess>> SidecarProcess::Builder::start()
{
    if (this->settings.instanceId.empty())
        return Core::Error(SidecarError::InvalidSettings, "instanceId is empty");
    if (this->settings.slots < 1 || this->settings.slots > maximumSlots)
        return Core::Error(SidecarError::InvalidSettings, "slots must be 1 to 1024");
    if (this->settings.connections < this->settings.slots)
        return Core::Error(SidecarError::InvalidSettings, "connections must be at least slots");
    if (!this->settings.authentication.keys.contains(this->settings.authentication.currentKeyId))
        return Core::Error(SidecarError::InvalidSettings, "the current authentication key is not listed");
    LogHook hook = this->log ? this->log : [](std::string_view, const std::string&) {};
    auto implementation = std::make_unique<Implementation>(this->settings, std::move(hook), this->registration);
    BOOST_OUTCOME_TRY(implementation->peers.open());
    implementation->start();
    return std::unique_ptr<SidecarProcess>(new SidecarProcess(std::move(implementation)));
}

SidecarProcess::SidecarProcess(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{
}

SidecarProcess::~SidecarProcess() = default;

void SidecarProcess::stop() { this->implementation->stop(); }
void SidecarProcess::wait() { this->implementation->wait(); }
bool SidecarProcess::isEnded() const { return this->implementation->hasEnded; }
const std::string& SidecarProcess::peerAddress() const { return this->implementation->peers.peerAddress(); }
const std::string& SidecarProcess::datagramAddress() const { return this->implementation->peers.datagramAddress(); }
Core::Incarnation SidecarProcess::incarnation() const { return this->implementation->identity.incarnation; }
SidecarMetrics SidecarProcess::metrics() const { return this->implementation->metrics(); }

}
