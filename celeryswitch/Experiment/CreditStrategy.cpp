#include "celeryswitch/Experiment/CreditStrategy.h"

#include <algorithm>
#include <charconv>

namespace celeryswitch::Experiment {

using Core::Duration;

namespace {

constexpr Duration heartbeatInterval = std::chrono::milliseconds(500);
constexpr Duration usageInterval = std::chrono::seconds(1);
constexpr Duration deathKnownAfter = std::chrono::seconds(3);
// As in the sidecar's ResultBatcher.
constexpr std::size_t resultsPerMessage = 8;
constexpr Duration longestHold = std::chrono::milliseconds(400);

Core::JobId jobIdOf(JobIndex job) { return { 0, job }; }

// Number at the end of a name that workerName or entryName made.
std::size_t indexOf(const Core::InstanceId& name)
{
    std::size_t index = 0;
    std::from_chars(name.data() + 1, name.data() + name.size(), index);
    return index;
}

}

CreditStrategy::CreditStrategy(Fleet& fleet)
    : fleet(fleet)
    , entries(fleet.options.entries)
    , workers(fleet.workerCount())
    , sentTo(fleet.workerCount())
{
    this->connect();
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry)
        this->scheduleHeartbeats(entry);
    this->scheduleUsage();
    if (fleet.options.fault == WorkerFault::Dies)
        fleet.events.at(fleet.measureFrom() + deathKnownAfter, [this] { this->detectDeaths(); });
}

void CreditStrategy::jobArrived(JobIndex index)
{
    const JobModel& job = this->fleet.jobs[index];
    const Load::KindDescription& kind = this->fleet.options.workload.kinds[job.kind];
    Dispatch::JobDescription description;
    description.jobId = jobIdOf(index);
    description.service = this->fleet.options.workload.service.name;
    description.kind = kind.name;
    description.team = "team";
    description.urgency = kind.urgency;
    description.taskCount = static_cast<std::uint32_t>(job.runs.size());
    description.isIdempotent = kind.isIdempotent;
    if (!this->entries[job.entry].dispatcher->submit(this->fleet.events.now(), description).isAccepted)
        this->fleet.jobRefused(index);
    this->poll(job.entry);
}

void CreditStrategy::connect()
{
    const Load::ServiceDescription& service = this->fleet.options.workload.service;
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
        Dispatch::DispatcherSettings settings;
        settings.dataCentre = service.dataCentres[this->fleet.dataCentreOfEntry(entry)];
        settings.crossDataCentreDelay = service.crossDataCentreDelay;
        settings.seed = this->fleet.options.seed * 100 + entry;
        settings.queue = this->fleet.options.queue;
        this->entries[entry].dispatcher = std::make_unique<Dispatch::Dispatcher>(std::move(settings));
        this->configure(*this->entries[entry].dispatcher);
    }
    for (std::size_t worker = 0; worker < this->workers.size(); ++worker) {
        const std::size_t dataCentre = this->fleet.dataCentreOfWorker(worker);
        this->workers[worker].allocator = std::make_unique<Dispatch::CreditAllocator>(service.slotsPerWorker);
        this->workers[worker].queues.resize(this->entries.size());
        for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
            this->entries[entry].dispatcher->addSidecar(this->fleet.events.now(),
                { workerName(worker), service.name, service.dataCentres[dataCentre], "r" + std::to_string(worker / 3),
                    service.slotsPerWorker });
            this->workers[worker].allocator->addEntry(
                entryName(entry), this->fleet.dataCentreOfEntry(entry) == dataCentre);
        }
        this->assign(worker, {});
    }
}

void CreditStrategy::configure(Dispatch::Dispatcher& dispatcher) const
{
    Configuration::ConfigurationDocument document;
    for (const Load::KindDescription& kind : this->fleet.options.workload.kinds)
        document.exceptions.push_back({ kind.name, Configuration::ScopeKind::Kind, kind.name,
            Configuration::ConfigurationKey::ShareWeight, kind.shareWeight, "workload file" });
    dispatcher.setConfiguration(std::move(document));
}

void CreditStrategy::scheduleHeartbeats(std::size_t entry)
{
    this->fleet.events.after(heartbeatInterval, [this, entry] {
        const Messages::Backlog backlog
            = this->entries[entry].dispatcher->backlog(this->fleet.options.workload.service.name);
        for (std::size_t worker = 0; worker < this->workers.size(); ++worker) {
            this->fleet.sendHeartbeat(entry, worker, [this, entry, worker, backlog] {
                this->workers[worker].allocator->clearPendingRecall(entryName(entry));
                this->backlogArrived(worker, entry, backlog);
            });
            // The sidecar's own heartbeat tells the entry nothing that this experiment uses.
            this->fleet.sendHeartbeat(entry, worker, [] {});
        }
        this->scheduleHeartbeats(entry);
    });
}

void CreditStrategy::scheduleUsage()
{
    this->fleet.events.after(usageInterval, [this] {
        for (Entry& entry : this->entries)
            entry.dispatcher->takeTeamUsage(this->fleet.events.now());
        this->scheduleUsage();
    });
}

void CreditStrategy::detectDeaths()
{
    for (std::size_t worker = 0; worker < this->workers.size(); ++worker) {
        if (!this->fleet.isDead(worker))
            continue;
        for (Entry& entry : this->entries)
            entry.dispatcher->removeSidecar(this->fleet.events.now(), workerName(worker));
        for (const std::shared_ptr<Batch>& batch : this->sentTo[worker]) {
            std::vector<HeldResult> results;
            for (std::uint32_t task : batch->unsettled)
                results.push_back(
                    { batch, { task, Messages::TaskOutcome::Unconfirmed, Messages::TaskReason::SidecarLost } });
            this->resultsArrived(worker, batch->entry, results, 0);
        }
        this->sentTo[worker].clear();
    }
}

void CreditStrategy::poll(std::size_t entry)
{
    Dispatch::Dispatcher& dispatcher = *this->entries[entry].dispatcher;
    for (const Dispatch::Decision& decision : dispatcher.poll(this->fleet.events.now()))
        std::visit([&](const auto& action) { this->act(entry, action); }, decision);
    const auto next = dispatcher.nextWakeUp();
    Entry& state = this->entries[entry];
    if (!next || (state.wakeUp && *state.wakeUp <= *next && *state.wakeUp > this->fleet.events.now()))
        return;
    state.wakeUp = *next;
    this->fleet.events.at(*next, [this, entry, number = ++state.wakeUpNumber] {
        if (number == this->entries[entry].wakeUpNumber)
            this->poll(entry);
    });
}

void CreditStrategy::act(std::size_t entry, const Dispatch::StartDecision& decision)
{
    const std::size_t worker = indexOf(decision.sidecarId);
    auto batch = std::make_shared<Batch>();
    batch->entry = entry;
    batch->job = decision.jobId.low;
    batch->tasks = batch->unsettled = decision.taskIndexes;
    if (this->fleet.options.fault == WorkerFault::Dies)
        this->sentTo[worker].push_back(batch);
    this->fleet.send(entry, worker, [this, worker, batch, credits = decision.credits, backlog = decision.backlog] {
        this->startArrived(worker, batch, credits, backlog);
    });
}

void CreditStrategy::act(std::size_t entry, const Dispatch::CreditReturnDecision& decision)
{
    const std::size_t worker = indexOf(decision.sidecarId);
    this->fleet.send(entry, worker, [this, entry, worker, credits = decision.credits, backlog = decision.backlog] {
        this->workers[worker].allocator->creditsReturned(entryName(entry), credits);
        this->backlogArrived(worker, entry, backlog);
    });
}

void CreditStrategy::act(std::size_t, const Dispatch::RefuseDecision& decision)
{
    this->fleet.jobRefused(decision.task.jobId.low);
}

void CreditStrategy::startArrived(
    std::size_t worker, std::shared_ptr<Batch> batch, std::uint32_t credits, const Messages::Backlog& backlog)
{
    Worker& state = this->workers[worker];
    const Core::InstanceId name = entryName(batch->entry);
    const std::uint32_t used = state.allocator->consume(name, credits);
    if (used < credits) {
        for (std::uint32_t credit = 0; credit < used; ++credit)
            state.allocator->slotFreed(name);
        this->reject(worker, batch);
    } else {
        for (std::size_t place = 0; place < batch->tasks.size(); ++place) {
            if (place < used)
                this->run(worker, { batch, batch->tasks[place] });
            else
                state.queues[batch->entry].push_back({ batch, batch->tasks[place] });
        }
        state.allocator->setQueuedTasks(name, static_cast<std::uint32_t>(state.queues[batch->entry].size()));
    }
    this->backlogArrived(worker, batch->entry, backlog);
}

void CreditStrategy::reject(std::size_t worker, const std::shared_ptr<Batch>& batch)
{
    // The start and its answer have no effect.
    this->fleet.countWasted(2);
    this->fleet.send(batch->entry, worker, [this, worker, batch] {
        for (std::uint32_t task : batch->tasks) {
            if (!this->entries[batch->entry].dispatcher->taskNotRun(this->fleet.events.now(), workerName(worker),
                    { jobIdOf(batch->job), task }, Messages::TaskReason::NoCredit))
                this->fleet.taskEnded(batch->job, task, false);
        }
        batch->unsettled.clear();
        this->poll(batch->entry);
    });
}

void CreditStrategy::run(std::size_t worker, const QueuedTask& queued)
{
    this->fleet.execute(
        worker, queued.batch->job, queued.task, [this, worker, queued](bool isSuccess, Duration duration) {
            this->taskEnded(worker, queued.batch, queued.task, isSuccess, duration);
        });
}

void CreditStrategy::taskEnded(
    std::size_t worker, const std::shared_ptr<Batch>& batch, std::uint32_t task, bool isSuccess, Duration run)
{
    Messages::TaskResult result;
    result.taskIndex = task;
    result.outcome = isSuccess ? Messages::TaskOutcome::Succeeded : Messages::TaskOutcome::Failed;
    result.runMicroseconds = std::chrono::duration_cast<std::chrono::microseconds>(run).count();
    this->workers[worker].allocator->slotFreed(entryName(batch->entry));
    const FreedSlot slot = this->assign(worker, batch->entry);
    const bool isBatched = this->fleet.jobs[batch->job].runs.size() >= Dispatch::minimumBatchedJobTasks;
    if (isBatched && slot.isUsedByQueue && slot.credits == 0) {
        this->holdResult(worker, { batch, result });
        return;
    }
    std::vector<HeldResult> results;
    if (auto held = this->workers[worker].held.extract(batch->job))
        results = std::move(held.mapped());
    results.push_back({ batch, result });
    this->sendResults(worker, batch->entry, std::move(results), slot.credits);
}

void CreditStrategy::holdResult(std::size_t worker, HeldResult result)
{
    const JobIndex job = result.batch->job;
    const std::size_t entry = result.batch->entry;
    std::vector<HeldResult>& held = this->workers[worker].held[job];
    held.push_back(std::move(result));
    if (held.size() == resultsPerMessage) {
        this->sendResults(worker, entry, std::move(held), 0);
        this->workers[worker].held.erase(job);
    } else if (held.size() == 1) {
        this->fleet.events.after(longestHold, [this, worker, entry, job] {
            if (auto late = this->workers[worker].held.extract(job))
                this->sendResults(worker, entry, std::move(late.mapped()), 0);
        });
    }
}

void CreditStrategy::sendResults(
    std::size_t worker, std::size_t entry, std::vector<HeldResult> results, std::uint32_t credits)
{
    this->fleet.send(entry, worker, [this, worker, entry, credits, results = std::move(results)] {
        this->resultsArrived(worker, entry, results, credits);
    });
}

CreditStrategy::FreedSlot CreditStrategy::assign(std::size_t worker, std::optional<std::size_t> answering)
{
    Worker& state = this->workers[worker];
    FreedSlot freed;
    for (const Dispatch::CreditChange& change : state.allocator->assign(this->fleet.events.now())) {
        const std::size_t entry = indexOf(change.entryId);
        for (std::uint32_t slot = 0; slot < change.startedFromQueue; ++slot) {
            const QueuedTask next = state.queues[entry].front();
            state.queues[entry].pop_front();
            this->run(worker, next);
        }
        if (answering == entry)
            freed = { change.granted, change.startedFromQueue > 0 };
        else if (change.granted > 0)
            this->grant(worker, entry, change.granted);
        if (change.recalled == 0)
            continue;
        this->fleet.send(entry, worker, [this, worker, entry, recalled = change.recalled] {
            this->entries[entry].dispatcher->creditsRecalled(this->fleet.events.now(), workerName(worker), recalled);
            this->poll(entry);
        });
    }
    return freed;
}

void CreditStrategy::backlogArrived(std::size_t worker, std::size_t entry, const Messages::Backlog& backlog)
{
    this->workers[worker].allocator->setBacklog(this->fleet.events.now(), entryName(entry), backlog);
    this->assign(worker, {});
}

void CreditStrategy::grant(std::size_t worker, std::size_t entry, std::uint32_t credits)
{
    this->fleet.send(entry, worker, [this, worker, entry, credits] {
        this->entries[entry].dispatcher->creditsGranted(this->fleet.events.now(), workerName(worker), credits);
        this->poll(entry);
    });
}

void CreditStrategy::resultsArrived(
    std::size_t worker, std::size_t entry, const std::vector<HeldResult>& results, std::uint32_t credits)
{
    Dispatch::Dispatcher& dispatcher = *this->entries[entry].dispatcher;
    for (const auto& [batch, result] : results) {
        std::erase(batch->unsettled, result.taskIndex);
        dispatcher.taskFinished(this->fleet.events.now(), workerName(worker), jobIdOf(batch->job), result);
        this->fleet.taskEnded(batch->job, result.taskIndex, result.outcome == Messages::TaskOutcome::Succeeded);
    }
    if (credits > 0)
        dispatcher.creditsGranted(this->fleet.events.now(), workerName(worker), credits);
    this->poll(entry);
}

Core::InstanceId CreditStrategy::workerName(std::size_t worker) { return "w" + std::to_string(worker); }

Core::InstanceId CreditStrategy::entryName(std::size_t entry) { return "e" + std::to_string(entry); }

}
