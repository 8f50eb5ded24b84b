#include "celeryswitch/Workers/WorkerSidecar.h"

#include "celeryswitch/Core/EventLoop.h"

namespace celeryswitch::Workers {

using Logging::LogLevel;

namespace {

constexpr std::size_t announcementConnectionLimit = 64;
constexpr std::size_t handshakeLimit = 256;
constexpr Http::HttpLimits announcementLimits { 256 * 1024, 16 * 1024, std::chrono::seconds(3), std::chrono::seconds(3),
    std::chrono::seconds(30) };
// Upper bound of the timer delay, so that a missed deadline is noticed within this time.
constexpr Core::Duration maximumTimerDelay = std::chrono::seconds(1);

Messages::Hello identityOf(const WorkerSidecarSettings& settings)
{
    return { Messages::Role::Sidecar, settings.instanceId, settings.supervisor.incarnation, settings.dataCentre, "", "",
        0 };
}

SupervisorSettings supervisorSettings(const WorkerSidecarSettings& settings, const Core::Clock& clock)
{
    SupervisorSettings result = settings.supervisor;
    // The time of day rises across restarts of this process and of the worker, neither of which remembers a token.
    result.firstFencingToken
        = static_cast<std::uint64_t>(std::max<std::int64_t>(1, Core::toUnixMilliseconds(clock.wallNow())));
    return result;
}

State::FleetWatcherSettings watcherSettings(const WorkerSidecarSettings& settings)
{
    State::FleetWatcherSettings result;
    result.identity = identityOf(settings);
    result.isWatching = false;
    result.renewalInterval = settings.renewalInterval;
    result.registration = Messages::Member { result.identity, settings.peerAddress, "", {}, 0 };
    result.replicas = settings.stateAddresses;
    result.seed = settings.supervisor.incarnation;
    return result;
}

}

WorkerSidecar::WorkerSidecar(boost::asio::io_context& context, WorkerSidecarSettings settings, const Core::Clock& clock,
    Logging::StructuredLog& log, Metrics::MetricRegistry& registry, const WorkerProtocol& protocol)
    : context(context)
    , settings(std::move(settings))
    , clock(clock)
    , log(log)
    , protocol(protocol)
    , transport(context, this->settings.authenticationKeys)
    , supervisor(supervisorSettings(this->settings, clock), log, registry, clock.steadyNow())
    , workerClient(context, this->settings.workerAddress, this->settings.workerConnections, protocol,
          [this](std::uint64_t callId, CallResult result) {
              this->supervisor.callFinished(this->clock.steadyNow(), callId, std::move(result));
              this->step();
          })
    , limits(Http::deriveLimits(
          this->settings.allowance, { .connections = announcementConnectionLimit, .handshakes = handshakeLimit }))
    , receiveBudget(Http::makeBudget(this->limits.receiveBudgetBytes, log))
    , announcements(context, announcementLimits, this->limits.connections,
          { [this](const Http::HttpSession::Pointer& session, const Http::HttpRequest& request) {
               this->announcementReceived(session, request);
           },
              [](std::uint16_t status, const std::string& reason) {
                  return Http::HttpResponse { status, {}, reason };
              },
              {} },
          this->receiveBudget)
    , watcher(context, this->transport, log, watcherSettings(this->settings), this->watcherHandlers())
    , entries(log,
          { [this](std::uint64_t connection, const Messages::Hello& hello) {
               this->supervisor.entryConnected(this->clock.steadyNow(), connection, hello);
               this->step();
           },
              [this](std::uint64_t connection, Messages::WorkMessage message) {
                  this->supervisor.messageReceived(this->clock.steadyNow(), connection, std::move(message));
                  this->step();
              },
              [this](std::uint64_t connection) {
                  this->supervisor.entryDisconnected(this->clock.steadyNow(), connection);
                  this->step();
              } })
    , timer(context)
{
}

State::FleetWatcher::Handlers WorkerSidecar::watcherHandlers()
{
    if (!this->settings.isEvacuable)
        return {};
    return { {}, {}, [this](const std::set<std::string>& dataCentres) {
                this->supervisor.setEvacuated(
                    this->clock.steadyNow(), dataCentres.count(this->settings.dataCentre) > 0);
                this->step();
            } };
}

Core::Result<void> WorkerSidecar::start()
{
    this->transport.setConnectLimit(this->settings.connectTimeout);
    this->transport.setHandshakeLimit(this->limits.handshakes);
    BOOST_OUTCOME_TRY(this->transport.listen(this->settings.peerAddress,
        [this](Network::PeerConnectionPointer connection) { this->entries.add(std::move(connection)); }));
    this->announcements.setBacklog(this->limits.backlog);
    BOOST_OUTCOME_TRY(this->announcements.listen(this->settings.announcementAddress));
    this->watcher.start();
    this->step();
    return Core::success();
}

void WorkerSidecar::announcementReceived(const Http::HttpSession::Pointer& session, const Http::HttpRequest& request)
{
    WorkerRequest decoded = this->protocol.decode(request);
    if (const auto* announce = std::get_if<AnnounceRequest>(&decoded)) {
        if (!this->supervisor.workerAnnounced(this->clock.steadyNow(), announce->announcement))
            this->log.write(LogLevel::Info, "announcement of an earlier incarnation ignored",
                { { "worker", announce->announcement.workerId }, { "born", announce->announcement.workerStartedAt } });
        session->respond(this->protocol.acknowledgement());
    } else if (const auto* deregister = std::get_if<DeregisterRequest>(&decoded)) {
        this->supervisor.workerLeft(this->clock.steadyNow(), deregister->workerId, deregister->workerStartedAt);
        session->respond(this->protocol.acknowledgement());
    } else {
        const auto& invalid = std::get<InvalidRequest>(decoded);
        this->log.write(
            LogLevel::Warning, "announcement refused", { { "path", request.path }, { "detail", invalid.problem } });
        session->respond(invalid.response);
    }
    this->step();
}

void WorkerSidecar::step()
{
    // An action may close a connection, whose handler calls this function again.
    if (std::exchange(this->isStepping, true))
        return;
    const Core::SteadyTime now = this->clock.steadyNow();
    {
        const Core::ScopeExit endOfStep([this] { this->isStepping = false; });
        for (SupervisorAction& action : this->supervisor.poll(now))
            this->perform(action);
    }
    this->registerWorker();
    this->finishDraining();
    const Core::Duration delay = std::clamp<Core::Duration>(
        this->supervisor.nextWakeUp() - now, std::chrono::milliseconds(1), maximumTimerDelay);
    this->timer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(delay));
    this->timer.async_wait(
        [this, guard = std::weak_ptr<bool>(this->lifetimeToken)](const boost::system::error_code& error) {
            if (!error && !guard.expired())
                this->step();
        });
}

void WorkerSidecar::registerWorker()
{
    const std::optional<Messages::WorkerProfile> worker = this->supervisor.workerProfile();
    if (!worker || *worker == this->registered)
        return;
    this->registered = *worker;
    this->watcher.setRegistration(
        Messages::Member { identityOf(this->settings), this->settings.peerAddress, "", {}, 0, *worker });
}

void WorkerSidecar::perform(SupervisorAction& action)
{
    if (auto* call = std::get_if<CallWorker>(&action)) {
        this->workerClient.call(std::move(*call));
    } else if (auto* send = std::get_if<SendUpdate>(&action)) {
        this->entries.send(send->connection, std::move(send->update));
    } else if (const auto* offer = std::get_if<SendOffer>(&action)) {
        this->entries.send(offer->connection, offer->offer);
    } else if (const auto* drop = std::get_if<DisconnectEntry>(&action)) {
        this->entries.close(drop->connection);
    }
}

void WorkerSidecar::drain(std::function<void()> onDone)
{
    this->onDrained = std::move(onDone);
    this->drainDeadline = this->clock.steadyNow() + this->settings.drainTimeout;
    this->supervisor.drain();
    this->step();
}

void WorkerSidecar::finishDraining()
{
    if (!this->onDrained || (this->supervisor.activeRuns() > 0 && this->clock.steadyNow() < this->drainDeadline))
        return;
    // Posted, so that the last update is sent before the process exits.
    boost::asio::post(this->context, std::exchange(this->onDrained, nullptr));
}

}
