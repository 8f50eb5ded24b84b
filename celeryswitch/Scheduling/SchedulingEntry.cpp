#include "celeryswitch/Scheduling/SchedulingEntry.h"

#include "celeryswitch/Core/EventLoop.h"
#include "celeryswitch/Core/ProcessorTime.h"
#include "celeryswitch/Http/BudgetReport.h"
#include "celeryswitch/Scheduling/SchedulerTime.h"

namespace celeryswitch::Scheduling {

using Logging::LogLevel;

namespace {

constexpr Core::Duration minimumSleep = std::chrono::milliseconds(1);
constexpr Core::Duration maximumSleep = std::chrono::seconds(1);
constexpr std::chrono::milliseconds tickInterval { 50 };
// Time between two records of an event loop that is behind, and the lag from which on it is recorded.
constexpr Core::Duration loopRecordInterval = std::chrono::seconds(1);
constexpr Core::Duration recordedLag = std::chrono::milliseconds(20);
constexpr std::size_t maximumReadinessConnections = 64;
constexpr Core::Duration minimumBodyTime = std::chrono::seconds(10);
constexpr Core::Duration startupRetryDelay = std::chrono::seconds(1);
// Maximum number of requests deferred until the first routing document, and their maximum delay.
constexpr std::size_t maximumDeferredRequests = 1000;
constexpr Core::Duration maximumDeferral = std::chrono::milliseconds(800);
// Time allowed for sending the last answers before the process ends.
constexpr Core::Duration responseFlushTime = std::chrono::milliseconds(200);

Messages::Hello identityOf(const SchedulingEntrySettings& settings)
{
    return { Messages::Role::Entry, settings.instanceId, settings.incarnation, settings.dataCentre, "", "", 0 };
}

State::FleetWatcherSettings watcherSettings(const SchedulingEntrySettings& settings)
{
    State::FleetWatcherSettings result;
    result.identity = identityOf(settings);
    // Registered so that every entry knows the others when the sidecars are divided among them.
    result.registration = Messages::Member { result.identity, "", "", {}, 0 };
    result.replicas = settings.stateAddresses;
    result.seed = settings.incarnation;
    return result;
}

SchedulerSettings withJobBudget(SchedulerSettings settings, const Http::ProcessLimits& limits)
{
    settings.jobBudgetBytes = limits.jobBudgetBytes;
    return settings;
}

Http::HttpLimits limitsOf(const Configuration::RequestLimits& limits)
{
    const Core::Duration idleTime = std::chrono::milliseconds(limits.idleMilliseconds);
    return { limits.bodyBytes, limits.headerBytes, std::chrono::milliseconds(limits.headerMilliseconds),
        std::max(minimumBodyTime, 2 * idleTime), idleTime };
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
    , limits(Http::deriveLimits(this->settings.allowance,
          { .connections = this->settings.connectionsLimit, .readinessConnections = maximumReadinessConnections }))
    , scheduler(withJobBudget(this->settings.scheduler, this->limits), log, registry)
    , receiveBudget(Http::makeBudget(this->limits.receiveBudgetBytes, log))
    , callers(context, limitsOf({}), this->limits.connections,
          { [this](const Http::HttpSession::Pointer& session, Http::HttpRequest request) {
               this->requestReceived(session, std::move(request));
           },
              [this](std::uint16_t status, const std::string& reason) { return this->refuseUnread(status, reason); },
              [this](const Http::HttpSession::Pointer& session) { this->sessionClosed(session); } },
          this->receiveBudget)
    , readiness(context, limitsOf({}), this->limits.readinessConnections,
          { [this](const Http::HttpSession::Pointer& session, const Http::HttpRequest& request) {
               this->readinessRequested(session, request);
           },
              [](std::uint16_t status, const std::string& reason) {
                  return Http::HttpResponse { status, {}, reason };
              },
              {} },
          this->receiveBudget)
    , links(context, this->transport, clock, log, identityOf(this->settings),
          { [this](const Messages::Member& member) {
               this->scheduler.sidecarConnected(this->observeTime(), member);
               this->runScheduler();
           },
              [this](const Core::InstanceId& sidecar) {
                  this->scheduler.sidecarDisconnected(sidecar);
                  this->runScheduler();
              },
              [this](const Core::InstanceId& sidecar, Messages::WorkerUpdate update) {
                  this->scheduler.updateReceived(this->observeTime(), sidecar, std::move(update));
                  this->runScheduler();
              },
              [this](const Core::InstanceId& sidecar, const Messages::RoomOffer& offer) {
                  this->scheduler.roomOffered(sidecar, offer);
                  this->runScheduler();
              } })
    , linkSubset(this->settings.instanceId, this->settings.links)
    , watcher(context, this->transport, log, watcherSettings(this->settings),
          { [this](const std::vector<Messages::Member>& members) { this->membersReceived(members); },
              [this](Configuration::RoutingDocument document) { this->routingReceived(std::move(document)); },
              [this](const std::set<std::string>& dataCentres) { this->evacuationsReceived(dataCentres); } })
    , timer(context)
    , tickTimer(context)
    , deferredRequests(maximumDeferredRequests, [this](const DeferredRequests<ReceivedRequest>::Arrival& arrival) {
        const ReceivedRequest& next = arrival.request;
        if (!arrival.isDeferred || !next.session->isClosedByCaller())
            this->handle(next.session, next.request, arrival.arrivedAt);
    })
{
}

Core::Result<void> SchedulingEntry::start()
{
    this->transport.setConnectLimit(this->settings.connectLimit);
    this->callers.setBacklog(this->limits.backlog);
    this->readiness.setBacklog(this->limits.backlog);
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
    Http::collectBudget(*this->receiveBudget, registry);
    registry.gauge("celeryswitch_routing_version", "Version of the routing document in force.")
        .set(static_cast<double>(this->routing.version));
    registry.gauge("celeryswitch_caller_connections", "Open connections of callers.")
        .set(static_cast<double>(this->callers.connectionCount()));
    registry.gauge("celeryswitch_loop_lag_seconds", "Lag that the event loop had at each of its latest observations.")
        .set(std::chrono::duration<double>(this->overloadGuard.standingLag()).count());
    registry.gauge("celeryswitch_surplus_share", "Share of the requests refused unread at present.")
        .set(this->overloadGuard.refusedShare());
    registry.gauge("celeryswitch_surplus_refused", "Requests refused unread since the start.")
        .set(static_cast<double>(this->surplusRefused));
    registry.gauge("celeryswitch_processor_seconds", "Processor time that the process has used.")
        .set(std::chrono::duration<double>(Core::processorTime()).count());
    registry.gauge("celeryswitch_evacuated_data_centres", "Data centres whose workers get no new runs.")
        .set(static_cast<double>(this->scheduler.evacuatedDataCentreCount()));
    registry.gauge("celeryswitch_ready", "Whether this process takes requests.").set(this->isReady() ? 1 : 0);
}

bool SchedulingEntry::isReady() const { return this->routing.version > 0 && !this->onDrained; }

void SchedulingEntry::readinessRequested(const Http::HttpSession::Pointer& session, const Http::HttpRequest& request)
{
    const bool isKnown = request.method == "GET" && request.path == this->settings.readinessPath;
    const bool isUp = isKnown && this->isReady();
    session->respond({ static_cast<std::uint16_t>(isUp ? 200 : isKnown ? 503 : 404), {}, isUp ? "ok\n" : "" });
}

void SchedulingEntry::requestReceived(const Http::HttpSession::Pointer& session, Http::HttpRequest request)
{
    if (this->onDrained)
        session->closeAfterResponse();
    const Core::SteadyTime now = this->observeTime();
    const bool isHandling = this->routing.version > 0 && !this->stallGuard.isReadingBacklog(now);
    if (!this->deferredRequests.receive(now, isHandling, { session, std::move(request) }))
        this->respond(session, { AnswerKind::NotRun, {}, 0, startupRetryDelay, "no routing document yet" });
}

Http::HttpResponse SchedulingEntry::refuseUnread(std::uint16_t status, const std::string& reason) const
{
    // The first routing document may allow what exceeds the limits that hold until then.
    const bool isLimit = status == Http::contentTooLargeStatus || status == Http::headerTooLargeStatus;
    if (isLimit && this->routing.version == 0)
        return this->protocol.encode({ AnswerKind::NotRun, {}, 0, startupRetryDelay, "no routing document yet" });
    Http::HttpResponse response = this->protocol.encode({ AnswerKind::Malformed, {}, 0, {}, reason });
    response.statusCode = status;
    return response;
}

void SchedulingEntry::refuseOverdue()
{
    // After a restart the routing document arrives within milliseconds unless no state replica is reachable.
    for (const ReceivedRequest& next : this->deferredRequests.takeUntil(this->clock.steadyNow() - maximumDeferral)) {
        if (!next.session->isClosedByCaller())
            this->respond(next.session, { AnswerKind::NotRun, {}, 0, startupRetryDelay, "no routing document yet" });
    }
}

void SchedulingEntry::handle(
    const Http::HttpSession::Pointer& session, const Http::HttpRequest& request, Core::SteadyTime arrivedAt)
{
    const Configuration::Queue* queue = this->routing.find(this->protocol.host(request), request.path);
    if (!queue)
        return this->respond(session, { AnswerKind::UnknownQueue, {}, 0, {}, "no such queue" });
    const std::string_view rest = std::string_view(request.path).substr(queue->pathPrefix.size());
    if (this->isSurplus(request, *queue, rest)) {
        ++this->surplusRefused;
        return this->respond(
            session, { AnswerKind::NotRun, {}, 0, this->overloadGuard.retryDelay(rest), "entry overloaded" });
    }
    CallerRequest decoded = this->protocol.decode(request, rest);
    if (const auto* unknown = std::get_if<InvalidRequest>(&decoded)) {
        this->log.write(
            LogLevel::Info, "request refused", { { "path", request.path }, { "detail", unknown->problem } });
        return this->respond(session, { AnswerKind::Malformed, {}, 0, {}, unknown->problem });
    }
    // The records of the job are counted instead of the bytes that it was read from.
    session->requestDecoded();
    const RequestNumber number = ++this->lastRequest;
    this->openRequests[number] = session;
    this->requestNumbers[session.get()] = number;
    if (auto* submission = std::get_if<SubmitJob>(&decoded))
        this->scheduler.submit(this->clock.steadyNow(), arrivedAt, number, *queue, std::move(*submission));
    else if (const auto* query = std::get_if<QueryJob>(&decoded))
        this->scheduler.query(number, *query);
    else if (const auto* cancellation = std::get_if<CancelJob>(&decoded))
        this->scheduler.cancel(this->clock.steadyNow(), number, *cancellation);
    else
        this->scheduler.queryQueue(number, *queue);
    this->runScheduler();
}

bool SchedulingEntry::isSurplus(
    const Http::HttpRequest& request, const Configuration::Queue& queue, std::string_view rest)
{
    // A job that is known may have run, so that a repeated request for it can't be refused as not run.
    const std::optional<StepJobId> job = this->protocol.submittedJob(request, rest);
    return job && !this->overloadGuard.admits(this->clock.steadyNow(), queue.name) && !this->scheduler.isKnown(*job);
}

void SchedulingEntry::respond(const Http::HttpSession::Pointer& session, const CallerAnswer& answer)
{
    session->respond(this->protocol.encode(answer));
}

void SchedulingEntry::sessionClosed(const Http::HttpSession::Pointer& session)
{
    const auto found = this->requestNumbers.find(session.get());
    if (found == this->requestNumbers.end()) {
        this->deferredRequests.eraseIf([&](const ReceivedRequest& deferred) { return deferred.session == session; });
        return;
    }
    this->abandonRequest(this->observeTime(), found->second);
    this->runScheduler();
}

void SchedulingEntry::abandonRequest(Core::SteadyTime now, RequestNumber number)
{
    const auto node = this->openRequests.extract(number);
    this->requestNumbers.erase(node.mapped().get());
    this->scheduler.callerDisconnected(now, number);
}

void SchedulingEntry::checkCallers(Core::SteadyTime now)
{
    std::vector<Http::HttpSession*> sessions;
    sessions.reserve(this->requestNumbers.size());
    for (const auto& [session, number] : this->requestNumbers)
        sessions.push_back(session);
    for (Http::HttpSession* session : Http::HttpSession::closedByCallers(sessions))
        this->abandonRequest(now, this->requestNumbers.at(session));
    this->scheduler.callersChecked(now);
}

Core::SteadyTime SchedulingEntry::observeTime()
{
    const Core::SteadyTime now = this->clock.steadyNow();
    if (this->stallGuard.isReadingBacklog(now))
        this->scheduler.deferDecisions(this->stallGuard.backlogEnd());
    return now;
}

void SchedulingEntry::routingReceived(Configuration::RoutingDocument document)
{
    if (this->routing.version == 0)
        this->log.write(LogLevel::Info, "ready", { { "version", document.version } });
    this->routing = std::move(document);
    this->callers.setLimits(limitsOf(this->routing.limits));
    if (!this->stallGuard.isReadingBacklog(this->observeTime()))
        this->deferredRequests.handleAll();
}

void SchedulingEntry::membersReceived(const std::vector<Messages::Member>& members)
{
    const std::vector<Messages::Member> sidecars = this->linkSubset.select(members);
    std::set<Core::InstanceId> linked;
    for (const Messages::Member& sidecar : sidecars)
        linked.insert(sidecar.identity.instanceId);
    this->scheduler.setLinkedSidecars(this->clock.steadyNow(), std::move(linked));
    this->links.setMembers(sidecars);
    this->runScheduler();
}

void SchedulingEntry::evacuationsReceived(const std::set<std::string>& dataCentres)
{
    this->scheduler.setEvacuatedDataCentres(this->observeTime(), dataCentres);
    this->runScheduler();
}

void SchedulingEntry::runScheduler()
{
    // Closing a connection while actions are carried out may call this function again.
    if (this->isSchedulerRunning)
        return;
    const Core::SteadyTime now = this->observeTime();
    if (now >= this->pacer.nextAt())
        this->runSchedulerNow(now);
    else
        this->wakeAt(this->pacer.nextAt());
}

void SchedulingEntry::runSchedulerNow(Core::SteadyTime now)
{
    this->isSchedulerRunning = true;
    const Core::ScopeExit endOfRun([this] { this->isSchedulerRunning = false; });
    // The ends of connections may wait unread behind the updates of sidecars.
    if (this->scheduler.isCallerCheckDue(now))
        this->checkCallers(now);
    this->carryOut(this->scheduler.poll(now));
    const Core::SteadyTime end = this->clock.steadyNow();
    this->pacer.decided(now, end);
    this->wakeAt(std::clamp<Core::SteadyTime>(this->scheduler.nextWakeUp(), end + minimumSleep, end + maximumSleep));
}

void SchedulingEntry::carryOut(std::vector<SchedulerAction> actions)
{
    for (SchedulerAction& action : actions) {
        if (const auto* send = std::get_if<SendToSidecar>(&action)) {
            this->links.send(send->sidecar, send->message);
            continue;
        }
        const auto& answer = std::get<AnswerRequest>(action);
        auto node = this->openRequests.extract(answer.request);
        if (node.empty())
            continue;
        this->requestNumbers.erase(node.mapped().get());
        if (this->onDrained)
            node.mapped()->closeAfterResponse();
        this->respond(node.mapped(), answer.answer);
    }
}

void SchedulingEntry::wakeAt(Core::SteadyTime time)
{
    if (this->timerEndsAt <= time)
        return;
    this->timerEndsAt = time;
    const Core::Duration sleep = std::max(time - this->clock.steadyNow(), Core::Duration::zero());
    this->timer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(sleep));
    this->timer.async_wait(
        [this, lifetime = std::weak_ptr<bool>(this->lifetimeToken)](const boost::system::error_code& error) {
            if (error || lifetime.expired())
                return;
            this->timerEndsAt = Core::SteadyTime::max();
            this->runScheduler();
        });
}

void SchedulingEntry::tick()
{
    const Core::SteadyTime now = this->clock.steadyNow();
    if (this->tickDueAt != Core::SteadyTime::max())
        this->recordLoop(now, now - this->tickDueAt);
    this->tickDueAt = now + tickInterval;
    // Armed first, so that an unexpected error does not end the ticks.
    this->tickTimer.expires_after(tickInterval);
    this->tickTimer.async_wait(
        [this, lifetime = std::weak_ptr<bool>(this->lifetimeToken)](const boost::system::error_code& error) {
            if (!error && !lifetime.expired())
                this->tick();
        });
    // After a stall requests wait, and what sidecars have sent meanwhile may be unread.
    const bool isReadingBacklog = this->stallGuard.isReadingBacklog(this->observeTime());
    if (!isReadingBacklog && this->routing.version > 0)
        this->deferredRequests.handleAll();
    if (!isReadingBacklog)
        this->links.closeUnresponsive();
    for (const Core::InstanceId& sidecar : this->links.unassigned()) {
        // A task may only be started elsewhere once its run here has ended.
        if (this->scheduler.hasRuns(sidecar))
            continue;
        this->links.removeLink(sidecar);
        this->scheduler.removeSidecar(sidecar);
    }
    this->refuseOverdue();
    this->finishDraining();
    this->runScheduler();
}

void SchedulingEntry::recordLoop(Core::SteadyTime now, Core::Duration lag)
{
    this->overloadGuard.loopObserved(now, lag);
    const bool isBehind
        = this->overloadGuard.standingLag() >= recordedLag || this->surplusRefused > this->surplusRecorded;
    if (!isBehind || now < this->loopRecordedAt + loopRecordInterval)
        return;
    this->loopRecordedAt = now;
    this->log.write(LogLevel::Warning, "event loop behind",
        { { "lag_ms", toMilliseconds(lag) }, { "standing_lag_ms", toMilliseconds(this->overloadGuard.standingLag()) },
            { "refused_percent", static_cast<std::int64_t>(this->overloadGuard.refusedShare() * 100) },
            { "refused_unread", this->surplusRefused - this->surplusRecorded },
            { "open_requests", static_cast<std::uint64_t>(this->openRequests.size()) } });
    this->surplusRecorded = this->surplusRefused;
}

void SchedulingEntry::drain(std::function<void()> onDone)
{
    this->onDrained = std::move(onDone);
    this->drainStartedAt = this->clock.steadyNow();
}

void SchedulingEntry::finishDraining()
{
    if (!this->onDrained)
        return;
    const Core::Duration elapsed = this->clock.steadyNow() - this->drainStartedAt;
    if (elapsed < this->settings.stopAcceptingAfter)
        return;
    this->callers.stop();
    if (elapsed >= this->settings.stopAfter) {
        this->scheduler.endAllJobs(this->clock.steadyNow());
        this->runScheduler();
    }
    if ((this->openRequests.empty() && this->callers.connectionCount() == 0)
        || elapsed >= this->settings.stopAfter + responseFlushTime)
        boost::asio::post(this->context, std::exchange(this->onDrained, nullptr));
}

}
