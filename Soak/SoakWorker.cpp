#include "Soak/SoakWorker.h"

#include "Soak/SoakWire.h"

namespace celeryswitch::Soak {

namespace {

constexpr std::chrono::milliseconds heartbeatInterval { 300 };
constexpr Http::HttpLimits limits { 256 * 1024, 16 * 1024, std::chrono::seconds(10), std::chrono::seconds(10),
    std::chrono::seconds(60) };
constexpr std::size_t connectionsLimit = 64;
// Room of a small worker, and the longest time from the begin of a life to its first announcement.
constexpr std::int64_t smallMilliCores = 8000;
constexpr std::chrono::milliseconds latestAnnouncement { 1500 };
// Time for which a worker that crashes begins runs without answering: shorter than the time-out of a start.
constexpr std::chrono::milliseconds failingTime { 30 };

Core::SteadyTime steadyNow() { return Core::BootClock::now(); }

}

SoakWorker::SoakWorker(boost::asio::io_context& context, std::string name, std::string control,
    Experiment::LeasedWorkerModel::Planner planner, std::uint64_t seed)
    : context(context)
    , name(std::move(name))
    , planner(std::move(planner))
    , random(seed)
    , heartbeats(context, std::move(control))
    , timer(context)
    , heartbeatTimer(context)
    , lifeTimer(context)
{
}

Core::Result<void> SoakWorker::listen()
{
    this->server.emplace(this->context, limits, connectionsLimit,
        Http::HttpServer::Handlers { [this](const Http::HttpSession::Pointer& session,
                                         const Http::HttpRequest& request) { this->received(session, request); },
            [](std::uint16_t status, const std::string& reason) {
                return Http::HttpResponse { status, {}, reason };
            },
            {} });
    BOOST_OUTCOME_TRY(this->serverAddress, this->server->listen(this->serverAddress));
    return Core::success();
}

Core::Result<void> SoakWorker::start()
{
    BOOST_OUTCOME_TRY(this->listen());
    BOOST_OUTCOME_TRY(this->relay, Scenario::TcpRelay::start(this->serverAddress));
    this->live();
    this->announce();
    return Core::success();
}

void SoakWorker::live()
{
    ++this->life;
    this->isFailing = false;
    Experiment::LeasedWorkerSettings settings;
    settings.workerId = "w-" + this->name + "-" + std::to_string((this->life + 1) / 2);
    settings.bornAt = Core::toUnixMilliseconds(std::chrono::system_clock::now());
    settings.service = "loans";
    settings.capacity = { 32'000, 65'536, 0 };
    settings.labels = { "a", rackLabel(this->name), largeLabel };
    if (this->areKindsDrawn) {
        if (this->random() % 2 == 0) {
            settings.labels.back() = smallLabel;
            settings.capacity.milliCores = smallMilliCores;
        }
        this->announcedFrom = steadyNow() + std::chrono::milliseconds(this->random() % latestAnnouncement.count());
    }
    settings.hasAdmissionControl = !this->areKindsDrawn;
    settings.clockRate = 0.98 + 0.02 * std::uniform_real_distribution<double>(0, 1)(this->random);
    this->model = std::make_unique<Experiment::LeasedWorkerModel>(settings, this->planner, steadyNow());
}

void SoakWorker::announce()
{
    this->heartbeatTimer.expires_after(heartbeatInterval);
    this->heartbeatTimer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            this->announce();
    });
    if (!this->model->isAlive() || steadyNow() < this->announcedFrom || std::exchange(this->isAnnouncing, true))
        return;
    this->heartbeats.request(writeHeartbeat(this->model->announcement(steadyNow())), std::chrono::seconds(1),
        [this](const Core::Result<Http::HttpResponse>&) { this->isAnnouncing = false; });
}

void SoakWorker::crash(Core::Duration until)
{
    if (!this->model->isAlive() || std::exchange(this->isFailing, true))
        return;
    this->lifeTimer.expires_after(failingTime);
    this->lifeTimer.async_wait([this, until](const boost::system::error_code& error) {
        if (!error)
            this->end(until);
    });
}

void SoakWorker::end(Core::Duration until)
{
    this->model->terminate(steadyNow());
    this->past.insert(this->past.end(), this->model->history().begin(), this->model->history().end());
    this->waiting.clear();
    this->server->stop();
    this->beginAgain(until);
}

void SoakWorker::beginAgain(Core::Duration until)
{
    this->lifeTimer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(until));
    this->lifeTimer.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        if (this->listen())
            this->live();
        else // The address may be in use for a moment.
            this->beginAgain(std::chrono::milliseconds(50));
    });
}

void SoakWorker::restoreKind()
{
    this->areKindsDrawn = false;
    if (this->model->settings().labels.back() == smallLabel)
        this->crash(std::chrono::milliseconds(300));
}

void SoakWorker::received(const Http::HttpSession::Pointer& session, const Http::HttpRequest& request)
{
    std::string expectedWorker;
    const std::optional<Workers::WorkerCall> call = readOrder(request, expectedWorker);
    if (!call)
        return session->respond({ 400, {}, "" });
    // A worker that is down accepts nothing; an order that is kept back is carried out later and never answered.
    if (!this->model->isAlive())
        return;
    if (std::uniform_real_distribution<double>(0, 1)(this->random) >= this->latePart)
        return this->carryOut(session, this->life, *call, expectedWorker);
    const auto later = std::make_shared<boost::asio::steady_timer>(
        this->context, std::chrono::milliseconds(2000 + this->random() % 3000));
    later->async_wait([this, later, life = this->life, call = *call, expectedWorker](
                          const boost::system::error_code&) { this->carryOut(nullptr, life, call, expectedWorker); });
}

void SoakWorker::carryOut(const Http::HttpSession::Pointer& session, std::uint64_t orderedLife,
    const Workers::WorkerCall& call, const std::string& expectedWorker)
{
    if (!this->model->isAlive())
        return;
    this->turn();
    const std::uint64_t ticket = ++this->lastTicket;
    const bool isList = std::holds_alternative<Workers::RenewLeaseCall>(call);
    std::optional<Workers::CallResult> result;
    if (!expectedWorker.empty() && (orderedLife != this->life || expectedWorker != this->model->settings().workerId)) {
        result.emplace();
        result->status = Workers::CallStatus::OtherIncarnation;
        result->clock = this->model->clock(steadyNow());
    } else {
        result = this->model->handle(steadyNow(), call, ticket);
    }
    if (session && result && !this->isFailing)
        session->respond(writeResult(*result, this->model->settings().bornAt, isList));
    else if (session && !result)
        this->waiting[ticket] = session;
    this->turn();
}

void SoakWorker::turn()
{
    if (!this->model->isAlive())
        return;
    for (const auto& [ticket, result] : this->model->advance(steadyNow())) {
        auto node = this->waiting.extract(ticket);
        if (!node.empty() && !this->isFailing)
            node.mapped()->respond(writeResult(result, this->model->settings().bornAt, true));
    }
    const Core::SteadyTime due = this->model->nextEventTime();
    this->timer.cancel();
    if (due == Core::SteadyTime::max())
        return;
    this->timer.expires_after(
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(due - Core::BootClock::now()));
    this->timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            this->turn();
    });
}

std::vector<Experiment::RunRecord> SoakWorker::history() const
{
    std::vector<Experiment::RunRecord> runs = this->past;
    if (this->model->isAlive())
        runs.insert(runs.end(), this->model->history().begin(), this->model->history().end());
    return runs;
}

}
