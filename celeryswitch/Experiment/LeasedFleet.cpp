#include "celeryswitch/Experiment/LeasedFleetState.h"

#include <algorithm>

namespace celeryswitch::Experiment {

using Core::Duration;
using Core::SteadyTime;

LeasedFleet::LeasedFleet(LeasedOptions value)
    : options(std::move(value))
    , random(this->options.seed)
    , kindResults(this->options.kinds.size())
    , entryResults(this->options.entries)
{
    this->log = this->createLog({});
}

LeasedFleet::~LeasedFleet() = default;

std::unique_ptr<Logging::StructuredLog> LeasedFleet::createLog(const std::string& instance)
{
    Logging::LogSettings settings;
    settings.level = this->options.log ? Logging::LogLevel::Debug : Logging::LogLevel::Error;
    settings.instanceId = instance;
    settings.recordsPerSecond = 0;
    settings.output = [this](const std::string& record) {
        if (this->options.log)
            this->options.log(this->events.now(), record);
    };
    return std::make_unique<Logging::StructuredLog>(std::move(settings), this->logClock);
}

Logging::StructuredLog& LeasedFleet::logOf(const std::string& instance)
{
    if (!this->options.log)
        return *this->log;
    std::unique_ptr<Logging::StructuredLog>& log = this->processLogs[instance];
    if (!log)
        log = this->createLog(instance);
    return *log;
}

void LeasedFleet::note(
    const std::string& instance, std::string_view message, std::initializer_list<Logging::LogField> fields)
{
    if (this->options.log)
        this->logOf(instance).write(Logging::LogLevel::Info, message, fields);
}

double LeasedFleet::lognormal(double mean, double logDeviation)
{
    return std::lognormal_distribution<double>(std::log(mean) - logDeviation * logDeviation / 2, logDeviation)(
        this->random);
}

LeasedResult LeasedFleet::run()
{
    this->selectLinks("entry-");
    for (std::size_t index = 0; index < this->options.workers; ++index) {
        this->sidecars.push_back(std::make_unique<Sidecar>());
        this->startWorker(index, {});
        this->startSidecar(index);
    }
    for (std::size_t index = 0; index < this->options.entries; ++index) {
        this->entries.push_back(std::make_unique<Entry>());
        this->startEntry(index);
    }
    this->maintainLinks();
    const SteadyTime begin = this->events.now() + std::chrono::seconds(2);
    this->firstArrivalAt = begin;
    if (this->options.cutOffShare > 0 || !this->options.cutOffRack.empty())
        this->events.scheduleAt(begin + std::chrono::duration_cast<SteadyTime::duration>(this->options.cutOff.from),
            [this] { this->cutOffSidecars(); });
    this->events.scheduleAt(begin, [this] {
        for (std::size_t kind = 0; kind < this->options.kinds.size(); ++kind)
            this->createJob(kind);
    });
    this->scheduleFaults();
    const SteadyTime end = begin + std::chrono::duration_cast<SteadyTime::duration>(this->options.duration);
    this->events.runUntil(end + std::chrono::seconds(20));
    LeasedResult result;
    for (auto& sidecar : this->sidecars) {
        sidecar->worker->advance(this->events.now());
        this->runRecords.insert(
            this->runRecords.end(), sidecar->worker->history().begin(), sidecar->worker->history().end());
    }
    result.kinds = this->kindResults;
    result.entries = this->entryResults;
    result.runs = this->runRecords.size();
    result.messages = this->messages;
    result.orders = this->registry.counter("celeryswitch_runs_ordered_total", "").value();
    result.ordersReturned
        = this->registry.counter("celeryswitch_runs_ended_total", "", { { "end", "not-started" } }).value();
    const auto count = [this](const char* name, const Metrics::Labels& labels = {}) {
        return this->registry.counter(name, "", labels).value();
    };
    result.tasksNear = count("celeryswitch_tasks_placed_total", { { "place", "near" } });
    result.tasksFar = count("celeryswitch_tasks_placed_total", { { "place", "far" } });
    result.rackWaits = count("celeryswitch_rack_waits_total");
    result.rackWaitFallbacks = count("celeryswitch_rack_wait_fallbacks_total");
    this->checkInvariants(result);
    return result;
}

void LeasedFleet::startEntry(std::size_t index)
{
    Entry& entry = *this->entries[index];
    entry.restart();
    entry.closesReadAt = {};
    entry.clockLag = {};
    entry.stallGuard = {};
    entry.closedRequests.clear();
    entry.inputs.clear();
    entry.pendingActions.clear();
    entry.isBusy = false;
    entry.isPollDue = false;
    entry.pacer = {};
    entry.overloadGuard = {};
    Scheduling::SchedulerSettings settings;
    settings.dataCentre = "dc-" + std::to_string(index % 3);
    settings.reservationsPerTask = this->options.reservationsPerTask;
    settings.farFactor = this->options.knownFarFactor;
    settings.placementWait = this->options.placementWait;
    if (!this->options.mechanisms.isUnreachableTimeoutEnabled)
        settings.unreachableRunsTimeout = std::chrono::milliseconds(1);
    entry.scheduler = std::make_unique<Scheduling::JobScheduler>(
        settings, this->logOf("entry-" + std::to_string(index)), this->registry);
    if (this->hasProcessor())
        this->tickEntry(index);
    this->applyLinks(index);
    for (std::size_t worker = 0; worker < this->sidecars.size(); ++worker)
        this->connect(index, worker);
}

void LeasedFleet::killEntry(std::size_t index)
{
    Entry& entry = *this->entries[index];
    if (!entry.isUp)
        return;
    entry.isUp = false;
    for (std::size_t worker = 0; worker < this->sidecars.size(); ++worker)
        this->disconnect(index, worker);
    entry.scheduler.reset();
    for (const auto& [request, id] : std::exchange(entry.requests, {}))
        this->resubmit(id);
    this->events.scheduleAfter(restartDelay, [this, index] { this->startEntry(index); });
}

void LeasedFleet::observeStall(Entry& entry)
{
    if (entry.stallGuard.isReadingBacklog(entry.now(this->events.now())) && this->options.mechanisms.isStallGuarded)
        entry.scheduler->deferDecisions(entry.stallGuard.backlogEnd());
}

void LeasedFleet::checkCallers(Entry& entry)
{
    const SteadyTime now = entry.now(this->events.now());
    if (!entry.scheduler->isCallerCheckDue(now))
        return;
    if (this->options.mechanisms.areCallersChecked) {
        for (const Scheduling::RequestNumber request : entry.closedRequests)
            entry.scheduler->callerDisconnected(now, request);
    }
    entry.scheduler->callersChecked(now);
}

void LeasedFleet::carryOut(std::size_t index, Scheduling::SchedulerAction action)
{
    if (this->options.actionObserver)
        this->options.actionObserver(this->events.now(), index, action);
    if (auto* answer = std::get_if<Scheduling::AnswerRequest>(&action)) {
        auto node = this->entries[index]->requests.extract(answer->request);
        if (!node.empty())
            this->handleAnswer(node.mapped(), answer->answer);
        return;
    }
    auto& send = std::get<Scheduling::SendToSidecar>(action);
    const std::size_t worker = std::stoul(send.sidecar);
    Link& link = this->links[{ index, worker }];
    if (!link.isOpen)
        return;
    ++this->messages;
    this->events.scheduleAt(this->arrivalTime(link, index, worker, link.lastArrivalAtSidecar),
        [this, index, worker, number = link.connectionId, message = std::move(send.message)] {
            if (this->links[{ index, worker }].connectionId != number)
                return;
            Sidecar& sidecar = *this->sidecars[worker];
            this->runWhenAwake(sidecar, [this, worker, number, message = message]() mutable {
                if (!this->options.mechanisms.areOrdersCompared)
                    this->nameKnownIncarnation(worker, message);
                this->sidecars[worker]->supervisor->messageReceived(this->events.now(), number, message);
                this->pollSidecar(worker);
            });
        });
}

void LeasedFleet::nameKnownIncarnation(std::size_t worker, Messages::WorkMessage& message) const
{
    const std::optional<Messages::WorkerProfile> profile = this->sidecars[worker]->supervisor->workerProfile();
    if (!profile)
        return;
    if (auto* start = std::get_if<Messages::StartRuns>(&message))
        start->bornAt = profile->bornAt;
    else if (auto* reserved = std::get_if<Messages::StartReserved>(&message))
        reserved->start.bornAt = profile->bornAt;
}

void LeasedFleet::pollEntry(std::size_t index)
{
    Entry& entry = *this->entries[index];
    if (this->hasProcessor()) {
        entry.isPollDue = true;
        this->useProcessor(index);
        return;
    }
    this->runWhenAwake(entry, [this, index, &entry] {
        this->observeStall(entry);
        this->checkCallers(entry);
        for (Scheduling::SchedulerAction& action : entry.scheduler->poll(entry.now(this->events.now())))
            this->carryOut(index, std::move(action));
        SteadyTime due = entry.scheduler->nextWakeUp();
        if (due < SteadyTime::max())
            due += entry.clockLag;
        if (due < entry.nextPollAt || entry.nextPollAt <= this->events.now()) {
            entry.nextPollAt = std::max(due, this->events.now() + std::chrono::microseconds(100));
            if (due < SteadyTime::max())
                this->events.scheduleAt(entry.nextPollAt, [this, index, incarnation = entry.incarnation] {
                    if (this->entries[index]->incarnation == incarnation)
                        this->pollEntry(index);
                });
        }
    });
}

}
