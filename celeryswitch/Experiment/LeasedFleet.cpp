#include "celeryswitch/Experiment/LeasedFleet.h"

#include "celeryswitch/Experiment/LeasedFleetState.h"
#include <algorithm>

namespace celeryswitch::Experiment {

using Core::Duration;
using Core::SteadyTime;
using Scheduling::AnswerKind;
using Scheduling::JobState;

namespace {

constexpr Duration sameDataCentreDelay = std::chrono::microseconds(300);
constexpr Duration crossDataCentreDelay = std::chrono::microseconds(1400);
constexpr Duration resendDelay = std::chrono::milliseconds(1300);
constexpr std::size_t maximumResubmissions = 3;
constexpr double stretch = 1.6;
constexpr double targetSeconds = 0.06;
// Value of a late answer, and the multiple of the goal from which on an answer has no value.
constexpr double lateValue = 0.2;
constexpr double expiryFactor = 3;
// Share of a job's value that does not depend on its work, and the largest multiple of its kind's mean value.
constexpr double fixedValueShare = 0.3;
constexpr double maximumRelativeWork = 4;

}

LeasedFleet::LeasedFleet(LeasedOptions value)
    : options(std::move(value))
    , random(this->options.seed)
    , kindResults(this->options.kinds.size())
{
    Logging::LogSettings settings;
    settings.level = this->options.log ? Logging::LogLevel::Debug : Logging::LogLevel::Error;
    settings.recordsPerSecond = 0;
    settings.output = [this](const std::string& record) {
        if (this->options.log)
            this->options.log(this->events.now(), record);
    };
    this->log = std::make_unique<Logging::StructuredLog>(std::move(settings), this->logClock);
}

LeasedFleet::~LeasedFleet() = default;

double LeasedFleet::lognormal(double mean, double logDeviation)
{
    return std::lognormal_distribution<double>(std::log(mean) - logDeviation * logDeviation / 2, logDeviation)(
        this->random);
}

Duration LeasedFleet::delay(std::size_t entry, std::size_t worker) const
{
    return entry % 3 == worker % 3 ? sameDataCentreDelay : crossDataCentreDelay;
}

// Selects the links of all entries; another prefix of the entries' names results in other links.
void LeasedFleet::selectLinks(const std::string& entryPrefix)
{
    std::vector<Messages::Member> members;
    const auto add = [&members](Messages::Role role, std::string id) {
        members.emplace_back();
        members.back().identity.role = role;
        members.back().identity.instanceId = std::move(id);
    };
    for (std::size_t entry = 0; entry < this->options.entries; ++entry)
        add(Messages::Role::Entry, entryPrefix + std::to_string(entry));
    for (std::size_t worker = 0; worker < this->options.workers; ++worker)
        add(Messages::Role::Sidecar, std::to_string(worker));
    this->linkedWorkers.assign(this->options.entries, {});
    for (std::size_t entry = 0; entry < this->options.entries; ++entry) {
        for (const Messages::Member& sidecar :
            Scheduling::LinkSubset(entryPrefix + std::to_string(entry), this->options.links).select(members))
            this->linkedWorkers[entry].insert(std::stoul(sidecar.identity.instanceId));
        if (entry < this->entries.size() && this->entries[entry]->isUp)
            this->runWhenAwake(*this->entries[entry], [this, entry] { this->applyLinks(entry); });
    }
}

void LeasedFleet::applyLinks(std::size_t entry)
{
    std::set<Core::InstanceId> sidecars;
    for (std::size_t worker : this->linkedWorkers[entry])
        sidecars.insert(std::to_string(worker));
    Entry& linked = *this->entries[entry];
    linked.scheduler->setLinkedSidecars(linked.now(this->events.now()), std::move(sidecars));
    this->pollEntry(entry);
}

LeasedValue LeasedKindResult::valueOf(std::size_t firstSecond, std::size_t endSecond) const
{
    LeasedValue sum;
    for (std::size_t second = firstSecond; second < std::min(endSecond, this->seconds.size()); ++second) {
        sum.owed += this->seconds[second].owed;
        sum.earned += this->seconds[second].earned;
    }
    return sum;
}

double LeasedFleet::arrivalRate(const LeasedJobKind& kind) const
{
    const Duration elapsed = this->events.now() - this->firstArrivalAt;
    const bool isFlood = elapsed >= kind.flood.from && elapsed < kind.flood.from + kind.flood.length;
    return kind.jobsPerSecond * (isFlood ? kind.floodFactor : 1);
}

LeasedValue& LeasedFleet::valueAt(const Job& job)
{
    std::vector<LeasedValue>& values = this->kindResults[job.kind].seconds;
    const auto second = static_cast<std::size_t>(
        std::chrono::duration_cast<std::chrono::seconds>(job.sentAt - this->firstArrivalAt).count());
    if (values.size() <= second)
        values.resize(second + 1);
    return values[second];
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
    if (this->options.cutOffShare > 0)
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
    result.runs = this->runRecords.size();
    result.messages = this->messages;
    result.orders = this->registry.counter("celeryswitch_runs_ordered_total", "").value();
    result.ordersReturned
        = this->registry.counter("celeryswitch_runs_ended_total", "", { { "end", "not-started" } }).value();
    this->checkInvariants(result);
    return result;
}

void LeasedFleet::createJob(std::size_t kind)
{
    const LeasedJobKind& description = this->options.kinds[kind];
    const SteadyTime end = SteadyTime(std::chrono::seconds(1002))
        + std::chrono::duration_cast<SteadyTime::duration>(this->options.duration);
    if (this->events.now() < end)
        this->events.scheduleAfter(seconds(-std::log(1 - this->uniform()) / this->arrivalRate(description)),
            [this, kind] { this->createJob(kind); });
    const std::uint64_t id = ++this->lastId;
    Job& job = this->jobs[id];
    job.kind = kind;
    job.sentAt = this->events.now();
    const double longest = this->lognormal(description.meanSeconds, description.logDeviation);
    const auto tasks = static_cast<std::uint32_t>(std::clamp(this->lognormal(description.meanTasks, 0.4), 1.0, 32.0));
    for (std::uint32_t index = 0; index < tasks; ++index)
        job.taskSeconds.push_back(longest * (index == 0 ? 1 : 1 - 0.3 * this->uniform()));
    job.isFailing = this->uniform() < description.failingJobShare;
    job.callerTimeout = seconds(1.5 + 2 * (stretch * longest + targetSeconds));
    Scheduling::StepSpecification step;
    step.count = tasks;
    step.need = { static_cast<std::int64_t>(this->lognormal(description.milliCores, 0.2)), 64, 0 };
    step.declaredMilliseconds = static_cast<std::uint32_t>(std::max(1.0, this->lognormal(longest, 0.4) * 1000));
    job.specification = { id, "content", { step }, true, 0, 0, 0 };
    const double relativeWork = longest * tasks * static_cast<double>(step.need.milliCores)
        / (description.meanSeconds * description.meanTasks * description.milliCores);
    job.value
        = description.value * std::min(maximumRelativeWork, fixedValueShare + (1 - fixedValueShare) * relativeWork);
    this->valueAt(job).owed += job.value;
    ++this->kindResults[kind].submitted;
    this->submit(id);
}

void LeasedFleet::submit(std::uint64_t id)
{
    Job& job = this->jobs.at(id);
    const std::size_t index = static_cast<std::size_t>(this->uniform() * static_cast<double>(this->entries.size()));
    Entry& entry = *this->entries[index];
    if (!entry.isUp) {
        // Connections to a process that is down are refused; the caller retries until its timeout.
        if (this->events.now() < job.sentAt + job.callerTimeout)
            this->events.scheduleAfter(std::chrono::milliseconds(100), [this, id] { this->submit(id); });
        return;
    }
    ++job.submissions;
    const Scheduling::RequestNumber request = ++this->lastId;
    job.request = request;
    job.entry = index;
    job.requestSentAt = this->events.now();
    job.isHeldUp = false;
    entry.requests[request] = id;
    this->events.scheduleAfter(job.callerTimeout, [this, id, request] {
        if (this->jobs.at(id).request == request)
            this->abandonRequest(id, this->jobs.at(id).isHeldUp || this->uniform() < 0.5);
    });
    const Configuration::Queue queue { this->options.kinds[job.kind].name, "h", "/", "loans", 1500, 60, stretch,
        this->options.kinds[job.kind].priority, this->options.kinds[job.kind].attempts };
    this->runWhenAwake(entry, [this, index, id, request, queue] {
        Entry& awake = *this->entries[index];
        Job& submitted = this->jobs.at(id);
        submitted.isHeldUp = submitted.request == request && this->events.now() > submitted.requestSentAt;
        const SteadyTime now = awake.now(this->events.now());
        this->observeStall(awake);
        if (this->options.mechanisms.areCallersChecked && awake.requests.count(request) == 0)
            return;
        awake.scheduler->submit(now, now, request, queue, { submitted.specification, submitted.callerTimeout });
        this->pollEntry(index);
    });
}

void LeasedFleet::resubmit(std::uint64_t id)
{
    Job& job = this->jobs.at(id);
    job.request = 0;
    if (job.resubmissions++ < maximumResubmissions)
        this->events.scheduleAfter(resendDelay, [this, id] { this->submit(id); });
}

void LeasedFleet::abandonRequest(std::uint64_t id, bool isNoticed)
{
    Job& job = this->jobs.at(id);
    const std::size_t index = job.entry;
    const Scheduling::RequestNumber request = job.request;
    Entry& entry = *this->entries[index];
    entry.requests.erase(request);
    if (isNoticed) {
        entry.closedRequests.insert(request);
        this->runWhenAwake(entry, [this, index, request] {
            Entry& awake = *this->entries[index];
            awake.closedRequests.erase(request);
            awake.scheduler->callerDisconnected(awake.now(this->events.now()), request);
            this->pollEntry(index);
        });
    }
    this->resubmit(id);
}

void LeasedFleet::startEntry(std::size_t index)
{
    Entry& entry = *this->entries[index];
    entry.isUp = true;
    ++entry.incarnation;
    entry.nextPollAt = SteadyTime::max();
    entry.frozenUntil = {};
    entry.clockLag = {};
    entry.stallGuard = {};
    entry.closedRequests.clear();
    Scheduling::SchedulerSettings settings;
    settings.dataCentre = "dc-" + std::to_string(index % 3);
    settings.reservationsPerTask = this->options.reservationsPerTask;
    if (!this->options.mechanisms.isUnreachableTimeoutEnabled)
        settings.unreachableRunsTimeout = std::chrono::milliseconds(1);
    entry.scheduler = std::make_unique<Scheduling::JobScheduler>(settings, *this->log, this->registry);
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

// Time at which a message that is sent now arrives: a connection delivers what was sent during a cut afterwards.
SteadyTime LeasedFleet::arrivalTime(const Link& link, std::size_t entry, std::size_t worker) const
{
    return std::max(this->events.now(), link.cutUntil) + this->delay(entry, worker);
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

void LeasedFleet::pollEntry(std::size_t index)
{
    Entry& entry = *this->entries[index];
    this->runWhenAwake(entry, [this, index, &entry] {
        this->observeStall(entry);
        this->checkCallers(entry);
        for (Scheduling::SchedulerAction& action : entry.scheduler->poll(entry.now(this->events.now()))) {
            if (auto* answer = std::get_if<Scheduling::AnswerRequest>(&action)) {
                auto node = entry.requests.extract(answer->request);
                if (!node.empty())
                    this->handleAnswer(node.mapped(), answer->answer);
                continue;
            }
            auto& send = std::get<Scheduling::SendToSidecar>(action);
            const std::size_t worker = std::stoul(send.sidecar);
            const Link& link = this->links[{ index, worker }];
            if (!link.isOpen)
                continue;
            ++this->messages;
            this->events.scheduleAt(this->arrivalTime(link, index, worker),
                [this, index, worker, number = link.connectionId, message = std::move(send.message)] {
                    if (this->links[{ index, worker }].connectionId != number)
                        return;
                    Sidecar& sidecar = *this->sidecars[worker];
                    this->runWhenAwake(sidecar, [this, worker, number, message] {
                        this->sidecars[worker]->supervisor->messageReceived(this->events.now(), number, message);
                        this->pollSidecar(worker);
                    });
                });
        }
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

void LeasedFleet::handleAnswer(std::uint64_t id, const Scheduling::CallerAnswer& answer)
{
    Job& job = this->jobs.at(id);
    if (answer.kind == AnswerKind::NotRun)
        ++job.refusals;
    if (answer.kind == AnswerKind::GivenUp) {
        this->resubmit(id);
        return;
    }
    job.request = 0;
    if (job.isAnswered)
        return;
    job.isAnswered = true;
    job.answeredAt = this->events.now();
    LeasedKindResult& kindResult = this->kindResults[job.kind];
    const double response = std::chrono::duration<double>(this->events.now() - job.sentAt).count();
    const double goal = stretch * job.taskSeconds.front() + targetSeconds;
    job.isCompleted = answer.kind == AnswerKind::State && answer.state == JobState::Completed;
    const bool isExpectedFailure
        = answer.kind == AnswerKind::State && answer.state == JobState::Failed && job.isFailing;
    if (job.isCompleted || isExpectedFailure) {
        ++(response <= goal ? kindResult.inTime : kindResult.late);
        if (response <= goal * expiryFactor)
            this->valueAt(job).earned += job.value * (response <= goal ? 1 : lateValue);
    } else {
        ++(answer.kind == AnswerKind::NotRun ? kindResult.refused : kindResult.failed);
    }
}

}
