#include "celeryswitch/Scheduling/SchedulingEntry.h"

namespace celeryswitch::Scheduling {

using Logging::LogLevel;

namespace {

constexpr Core::Duration longestSleep = std::chrono::seconds(1);
constexpr std::chrono::milliseconds tickInterval { 100 };
constexpr std::size_t readinessConnections = 64;
constexpr Core::Duration bodyTime = std::chrono::seconds(10);
constexpr Core::Duration retryWhileStarting = std::chrono::seconds(1);
// Requests that wait for the first routing document, and for how long.
constexpr std::size_t heldLimit = 1000;
constexpr Core::Duration holdTime = std::chrono::milliseconds(800);
// Time for the last answers to leave before the process ends.
constexpr Core::Duration lastAnswersTime = std::chrono::milliseconds(200);

Messages::Hello identityOf(const SchedulingEntrySettings& settings)
{
    return { Messages::Role::Entry, settings.instanceId, settings.incarnation, settings.dataCentre, "", "", 0 };
}

State::FleetWatcherSettings watcherSettings(const SchedulingEntrySettings& settings)
{
    State::FleetWatcherSettings result;
    result.identity = identityOf(settings);
    // Entries share the sidecars among them, so each has to know of the others.
    result.registration = Messages::Member { result.identity, "", "", {}, 0 };
    result.replicas = settings.stateAddresses;
    result.seed = settings.incarnation;
    return result;
}

Http::HttpLimits limitsOf(const Configuration::RequestLimits& limits)
{
    return { limits.bodyBytes, limits.headerBytes, std::chrono::milliseconds(limits.headerMilliseconds), bodyTime,
        std::chrono::milliseconds(limits.idleMilliseconds) };
}

}

SchedulingEntry::SchedulingEntry(boost::asio::io_context& context, SchedulingEntrySettings settings,
    const Core::Clock& clock, Logging::StructuredLog& log, Metrics::MetricRegistry& registry,
    const CallerProtocol& protocol)
    : context(context)
    , settings(std::move(settings))
    , clock(clock)
    , log(log)
    , protocol(protocol)
    , transport(context, this->settings.authenticationKeys)
    , scheduler(this->settings.scheduler, log, registry)
    , callers(context, limitsOf({}), this->settings.connectionsLimit,
          { [this](const Http::HttpSession::Pointer& session, Http::HttpRequest request) {
               this->received(session, std::move(request));
           },
              [this](std::uint16_t status, const std::string& reason) {
                  Http::HttpResponse response = this->protocol.encode({ AnswerKind::Malformed, {}, 0, {}, reason });
                  response.statusCode = status;
                  return response;
              },
              [this](const Http::HttpSession::Pointer& session) { this->abandoned(session); } })
    , readiness(context, limitsOf({}), readinessConnections,
          { [this](const Http::HttpSession::Pointer& session, const Http::HttpRequest& request) {
               this->readinessAsked(session, request);
           },
              [](std::uint16_t status, const std::string& reason) {
                  return Http::HttpResponse { status, {}, reason };
              },
              {} })
    , links(context, this->transport, clock, log, identityOf(this->settings),
          { [this](const Messages::Member& member) {
               this->scheduler.sidecarConnected(this->clock.steadyNow(), member);
               this->step();
           },
              [this](const Core::InstanceId& sidecar) {
                  this->scheduler.sidecarDisconnected(sidecar);
                  this->step();
              },
              [this](const Core::InstanceId& sidecar, Messages::WorkerUpdate update) {
                  this->scheduler.received(this->clock.steadyNow(), sidecar, std::move(update));
                  this->step();
              } })
    , watcher(context, this->transport, log, watcherSettings(this->settings),
          { [this](const std::vector<Messages::Member>& members) { this->membersReceived(members); },
              [this](Configuration::RoutingDocument document) { this->routingReceived(std::move(document)); } })
    , timer(context)
    , tickTimer(context)
{
}

Core::Result<void> SchedulingEntry::start()
{
    this->transport.setConnectLimit(this->settings.connectLimit);
    BOOST_OUTCOME_TRY(this->callers.listen(this->settings.callerAddress));
    if (!this->settings.readinessAddress.empty()) {
        BOOST_OUTCOME_TRY(this->readiness.listen(this->settings.readinessAddress));
    }
    this->watcher.start();
    this->tick();
    return Core::success();
}

void SchedulingEntry::collect(Metrics::MetricRegistry& registry) const
{
    this->scheduler.collect(registry);
    registry.gauge("celeryswitch_routing_version", "Version of the routing document in force.")
        .set(static_cast<double>(this->routing.version));
    registry.gauge("celeryswitch_caller_connections", "Open connections of callers.")
        .set(static_cast<double>(this->callers.connectionCount()));
    registry.gauge("celeryswitch_ready", "Whether this process takes requests.").set(this->isReady() ? 1 : 0);
}

bool SchedulingEntry::isReady() const { return this->routing.version > 0 && !this->onDrained; }

void SchedulingEntry::readinessAsked(const Http::HttpSession::Pointer& session, const Http::HttpRequest& request)
{
    const bool isKnown = request.method == "GET" && request.path == this->settings.readinessPath;
    const bool isUp = isKnown && this->isReady();
    session->respond({ static_cast<std::uint16_t>(isUp ? 200 : isKnown ? 503 : 404), {}, isUp ? "ok\n" : "" });
}

void SchedulingEntry::received(const Http::HttpSession::Pointer& session, Http::HttpRequest request)
{
    if (this->onDrained)
        session->closeAfterResponse();
    const Core::SteadyTime now = this->clock.steadyNow();
    if (this->routing.version > 0)
        this->handle(session, request, now);
    else if (this->held.size() < heldLimit)
        this->held.push_back({ session, std::move(request), now });
    else
        this->respond(session, { AnswerKind::NotRun, {}, 0, retryWhileStarting, "no routing document yet" });
}

void SchedulingEntry::answerHeld(bool isRoutingKnown)
{
    // After a restart the document comes within moments, unless no state replica can be reached.
    const Core::SteadyTime now = this->clock.steadyNow();
    while (!this->held.empty() && (isRoutingKnown || now >= this->held.front().arrivedAt + holdTime)) {
        const HeldRequest next = std::move(this->held.front());
        this->held.pop_front();
        if (isRoutingKnown)
            this->handle(next.session, next.request, next.arrivedAt);
        else
            this->respond(next.session, { AnswerKind::NotRun, {}, 0, retryWhileStarting, "no routing document yet" });
    }
}

void SchedulingEntry::handle(
    const Http::HttpSession::Pointer& session, const Http::HttpRequest& request, Core::SteadyTime arrivedAt)
{
    const Configuration::Queue* queue = this->routing.find(this->protocol.host(request), request.path);
    if (!queue)
        return this->respond(session, { AnswerKind::UnknownQueue, {}, 0, {}, "no such queue" });
    CallerRequest decoded
        = this->protocol.decode(request, std::string_view(request.path).substr(queue->pathPrefix.size()));
    if (const auto* unknown = std::get_if<UnknownCall>(&decoded)) {
        this->log.write(
            LogLevel::Info, "request refused", { { "path", request.path }, { "detail", unknown->problem } });
        return this->respond(session, { AnswerKind::Malformed, {}, 0, {}, unknown->problem });
    }
    const RequestNumber number = ++this->lastRequest;
    this->waiting[number] = session;
    this->numbers[session.get()] = number;
    if (auto* submission = std::get_if<SubmitJob>(&decoded))
        this->scheduler.submit(this->clock.steadyNow(), arrivedAt, number, *queue, std::move(*submission));
    else if (const auto* query = std::get_if<QueryJob>(&decoded))
        this->scheduler.query(number, *query);
    else if (const auto* cancellation = std::get_if<CancelJob>(&decoded))
        this->scheduler.cancel(this->clock.steadyNow(), number, *cancellation);
    else
        this->scheduler.queryQueue(number, *queue);
    this->step();
}

void SchedulingEntry::respond(const Http::HttpSession::Pointer& session, const CallerAnswer& answer)
{
    session->respond(this->protocol.encode(answer));
}

void SchedulingEntry::abandoned(const Http::HttpSession::Pointer& session)
{
    const auto found = this->numbers.find(session.get());
    if (found == this->numbers.end()) {
        std::erase_if(this->held, [&](const HeldRequest& each) { return each.session == session; });
        return;
    }
    const RequestNumber number = found->second;
    this->numbers.erase(found);
    this->waiting.erase(number);
    this->scheduler.abandoned(this->clock.steadyNow(), number);
    this->step();
}

void SchedulingEntry::routingReceived(Configuration::RoutingDocument document)
{
    if (this->routing.version == 0)
        this->log.write(LogLevel::Info, "ready", { { "version", document.version } });
    this->routing = std::move(document);
    this->callers.setLimits(limitsOf(this->routing.limits));
    this->answerHeld(true);
}

void SchedulingEntry::membersReceived(const std::vector<Messages::Member>& members)
{
    const std::vector<Messages::Member> sidecars
        = linkedSidecars(members, this->settings.instanceId, this->settings.links);
    std::set<Core::InstanceId> linked;
    for (const Messages::Member& sidecar : sidecars)
        linked.insert(sidecar.identity.instanceId);
    this->scheduler.setLinked(this->clock.steadyNow(), std::move(linked));
    this->links.setMembers(sidecars);
    this->step();
}

void SchedulingEntry::step()
{
    // An action may end a connection, whose handler comes back here.
    if (std::exchange(this->isStepping, true))
        return;
    const Core::SteadyTime now = this->clock.steadyNow();
    for (SchedulerAction& action : this->scheduler.poll(now)) {
        if (const auto* send = std::get_if<SendWork>(&action)) {
            this->links.send(send->sidecar, send->message);
            continue;
        }
        const auto& answer = std::get<AnswerRequest>(action);
        auto node = this->waiting.extract(answer.request);
        if (node.empty())
            continue;
        this->numbers.erase(node.mapped().get());
        if (this->onDrained)
            node.mapped()->closeAfterResponse();
        this->respond(node.mapped(), answer.answer);
    }
    this->isStepping = false;
    const Core::Duration sleep
        = std::clamp<Core::Duration>(this->scheduler.nextWakeUp() - now, std::chrono::milliseconds(1), longestSleep);
    this->timer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(sleep));
    this->timer.async_wait([this, guard = std::weak_ptr<bool>(this->alive)](const boost::system::error_code& error) {
        if (!error && !guard.expired())
            this->step();
    });
}

void SchedulingEntry::tick()
{
    this->links.dropSilent();
    for (const Core::InstanceId& sidecar : this->links.leaving()) {
        // What still runs there must have ended before its task may run elsewhere.
        if (this->scheduler.hasRuns(sidecar))
            continue;
        this->links.drop(sidecar);
        this->scheduler.forgetSidecar(sidecar);
    }
    this->answerHeld(false);
    this->finishDraining();
    this->step();
    this->tickTimer.expires_after(tickInterval);
    this->tickTimer.async_wait(
        [this, guard = std::weak_ptr<bool>(this->alive)](const boost::system::error_code& error) {
            if (!error && !guard.expired())
                this->tick();
        });
}

void SchedulingEntry::drain(std::function<void()> onDone)
{
    this->onDrained = std::move(onDone);
    this->drainBegan = this->clock.steadyNow();
}

void SchedulingEntry::finishDraining()
{
    if (!this->onDrained)
        return;
    const Core::Duration since = this->clock.steadyNow() - this->drainBegan;
    if (since < this->settings.stopAcceptingAfter)
        return;
    this->callers.stop();
    if (since >= this->settings.stopAfter) {
        this->scheduler.endAll(this->clock.steadyNow());
        this->step();
    }
    if ((this->waiting.empty() && this->callers.connectionCount() == 0)
        || since >= this->settings.stopAfter + lastAnswersTime)
        boost::asio::post(this->context, std::exchange(this->onDrained, nullptr));
}

}
