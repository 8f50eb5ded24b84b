#include "celeryswitch/Workers/WorkerSidecar.h"

#include "celeryswitch/Network/MessageCodec.h"

namespace celeryswitch::Workers {

using Logging::LogLevel;

namespace {

constexpr std::size_t announcementConnections = 64;
constexpr Http::HttpLimits announcementLimits { 256 * 1024, 16 * 1024, std::chrono::seconds(3), std::chrono::seconds(3),
    std::chrono::seconds(30) };
// Longest sleep of the event loop, so that a time that was missed is made up for.
constexpr Core::Duration longestSleep = std::chrono::seconds(1);

Messages::Hello identityOf(const WorkerSidecarSettings& settings)
{
    return { Messages::Role::Sidecar, settings.instanceId, settings.supervisor.incarnation, settings.dataCentre, "", "",
        0 };
}

State::FleetWatcherSettings watcherSettings(const WorkerSidecarSettings& settings)
{
    State::FleetWatcherSettings result;
    result.identity = identityOf(settings);
    result.isWatching = false;
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
    , supervisor(this->settings.supervisor, log, registry, clock.steadyNow())
    , caller(context, this->settings.workerAddress, this->settings.workerConnections, protocol,
          [this](std::uint64_t callId, CallResult result) {
              this->supervisor.called(this->clock.steadyNow(), callId, std::move(result));
              this->step();
          })
    , announcements(context, announcementLimits, announcementConnections,
          { [this](const Http::HttpSession::Pointer& session, const Http::HttpRequest& request) {
               this->announcementReceived(session, request);
           },
              [](std::uint16_t status, const std::string& reason) {
                  return Http::HttpResponse { status, {}, reason };
              },
              {} })
    , watcher(context, this->transport, log, watcherSettings(this->settings), {})
    , timer(context)
{
}

Core::Result<void> WorkerSidecar::start()
{
    this->transport.setConnectLimit(this->settings.connectLimit);
    BOOST_OUTCOME_TRY(this->transport.listen(this->settings.peerAddress,
        [this](Network::PeerConnectionPointer connection) { this->accepted(std::move(connection)); }));
    BOOST_OUTCOME_TRY(this->announcements.listen(this->settings.announcementAddress));
    this->watcher.start();
    this->step();
    return Core::success();
}

void WorkerSidecar::announcementReceived(const Http::HttpSession::Pointer& session, const Http::HttpRequest& request)
{
    WorkerRequest decoded = this->protocol.decode(request);
    if (const auto* announces = std::get_if<WorkerAnnounces>(&decoded)) {
        if (!this->supervisor.announced(this->clock.steadyNow(), announces->announcement))
            this->log.write(LogLevel::Info, "announcement of an earlier life ignored",
                { { "worker", announces->announcement.workerId }, { "born", announces->announcement.bornAt } });
        session->respond(this->protocol.acknowledgement());
    } else if (const auto* leaves = std::get_if<WorkerLeaves>(&decoded)) {
        this->supervisor.workerLeft(this->clock.steadyNow(), leaves->workerId);
        session->respond(this->protocol.acknowledgement());
    } else {
        const auto& unknown = std::get<UnknownAnnouncement>(decoded);
        this->log.write(
            LogLevel::Warning, "announcement refused", { { "path", request.path }, { "detail", unknown.problem } });
        session->respond(unknown.response);
    }
    this->step();
}

void WorkerSidecar::accepted(Network::PeerConnectionPointer connection)
{
    const std::uint64_t number = ++this->lastConnection;
    const std::weak_ptr<bool> guard = this->alive;
    this->connections[number].connection = connection;
    connection->start(
        [this, guard, number](const std::string& payload) {
            if (!guard.expired())
                this->frameReceived(number, payload);
        },
        [this, guard, number](const std::string&) {
            if (!guard.expired())
                this->closed(number);
        });
}

void WorkerSidecar::frameReceived(std::uint64_t number, const std::string& payload)
{
    const auto found = this->connections.find(number);
    if (found == this->connections.end())
        return;
    Core::Result<Messages::WorkMessage> message = Network::decodeMessage<Messages::WorkMessage>(payload);
    const auto* hello = message ? std::get_if<Messages::Hello>(&message.value()) : nullptr;
    if (!message || (!found->second.isIdentified && !hello)) {
        this->log.write(LogLevel::Warning, "entry sent an unreadable frame",
            { { "address", found->second.connection->remoteAddress() } });
        found->second.connection->close();
        this->closed(number);
        return;
    }
    if (hello) {
        found->second.isIdentified = true;
        this->supervisor.entryConnected(this->clock.steadyNow(), number, *hello);
    } else {
        this->supervisor.received(this->clock.steadyNow(), number, std::move(message).value());
    }
    this->step();
}

void WorkerSidecar::closed(std::uint64_t number)
{
    this->connections.erase(number);
    this->supervisor.entryDisconnected(this->clock.steadyNow(), number);
    this->step();
}

void WorkerSidecar::step()
{
    // An action may end a connection, whose handler comes back here.
    if (std::exchange(this->isStepping, true))
        return;
    const Core::SteadyTime now = this->clock.steadyNow();
    for (SupervisorAction& action : this->supervisor.poll(now))
        this->perform(action);
    this->isStepping = false;
    this->registerWorker();
    this->finishDraining();
    const Core::Duration sleep
        = std::clamp<Core::Duration>(this->supervisor.nextWakeUp() - now, std::chrono::milliseconds(1), longestSleep);
    this->timer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(sleep));
    this->timer.async_wait([this, guard = std::weak_ptr<bool>(this->alive)](const boost::system::error_code& error) {
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
        this->caller.call(std::move(*call));
    } else if (auto* send = std::get_if<SendUpdate>(&action)) {
        const auto found = this->connections.find(send->connection);
        if (found != this->connections.end())
            found->second.connection->send(Network::encodeMessage(Messages::WorkMessage(std::move(send->update))));
    } else if (const auto* drop = std::get_if<DropEntry>(&action)) {
        const auto found = this->connections.find(drop->connection);
        if (found != this->connections.end()) {
            found->second.connection->close();
            this->connections.erase(found);
        }
    }
}

void WorkerSidecar::drain(std::function<void()> onDone)
{
    this->onDrained = std::move(onDone);
    this->drainUntil = this->clock.steadyNow() + this->settings.drainTime;
    this->supervisor.drain();
    this->step();
}

void WorkerSidecar::finishDraining()
{
    if (!this->onDrained || (this->supervisor.activeRuns() > 0 && this->clock.steadyNow() < this->drainUntil))
        return;
    // The last update has to leave before the process does.
    boost::asio::post(this->context, std::exchange(this->onDrained, nullptr));
}

}
