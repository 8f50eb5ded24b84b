#include "celeryswitch/Experiment/CreditStrategy.h"

#include <algorithm>
#include <charconv>

namespace celeryswitch::Experiment {

using Core::Duration;

namespace {

constexpr Duration heartbeatInterval = std::chrono::milliseconds(500);
constexpr Duration usageInterval = std::chrono::seconds(1);
constexpr Duration crashDetectionDelay = std::chrono::seconds(3);
// Same limits as the sidecar's ResultBatcher.
constexpr std::size_t resultsPerMessage = 8;
constexpr Duration maximumBufferTime = std::chrono::milliseconds(400);

Core::JobId jobIdOf(JobIndex job) { return { 0, job }; }

// Parses the index from a name made by workerName or entryName.
std::size_t indexFromName(const Core::InstanceId& name)
{
    std::size_t index = 0;
    std::from_chars(name.data() + 1, name.data() + name.size(), index);
    return index;
}

}

CreditStrategy::CreditStrategy(FleetSimulation& simulation)
    : simulation(simulation)
    , entries(simulation.options.entries)
    , workers(simulation.workerCount())
    , sentBatches(simulation.workerCount())
{
    this->connect();
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry)
        this->scheduleHeartbeats(entry);
    this->scheduleUsage();
    if (simulation.options.fault == WorkerFault::Dies)
        simulation.events.scheduleAt(
            simulation.measurementStart() + crashDetectionDelay, [this] { this->detectCrashedWorkers(); });
}

void CreditStrategy::submitJob(JobIndex index)
{
    const SimulatedJob& job = this->simulation.jobs[index];
    const Load::KindDescription& kind = this->simulation.options.workload.kinds[job.kind];
    Dispatch::JobDescription description;
    description.jobId = jobIdOf(index);
    description.service = this->simulation.options.workload.service.name;
    description.kind = kind.name;
    description.team = "team";
    description.urgency = kind.urgency;
    description.taskCount = static_cast<std::uint32_t>(job.runTimes.size());
    description.isIdempotent = kind.isIdempotent;
    if (!this->entries[job.entry].dispatcher->submit(this->simulation.events.now(), description).isAccepted)
        this->simulation.recordRefusal(index);
    this->poll(job.entry);
}

void CreditStrategy::connect()
{
    const Load::ServiceDescription& service = this->simulation.options.workload.service;
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
        Dispatch::DispatcherSettings settings;
        settings.dataCentre = service.dataCentres[this->simulation.dataCentreOfEntry(entry)];
        settings.crossDataCentreDelay = service.crossDataCentreDelay;
        settings.seed = this->simulation.options.seed * 100 + entry;
        settings.queue = this->simulation.options.queue;
        this->entries[entry].dispatcher = std::make_unique<Dispatch::Dispatcher>(std::move(settings));
        this->configure(*this->entries[entry].dispatcher);
    }
    for (std::size_t worker = 0; worker < this->workers.size(); ++worker) {
        const std::size_t dataCentre = this->simulation.dataCentreOfWorker(worker);
        this->workers[worker].allocator = std::make_unique<Dispatch::CreditAllocator>(service.slotsPerWorker);
        this->workers[worker].queues.resize(this->entries.size());
        for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
            this->entries[entry].dispatcher->addSidecar(this->simulation.events.now(),
                { workerName(worker), service.name, service.dataCentres[dataCentre], "r" + std::to_string(worker / 3),
                    service.slotsPerWorker });
            this->workers[worker].allocator->addEntry(
                entryName(entry), this->simulation.dataCentreOfEntry(entry) == dataCentre);
        }
        this->assignSlots(worker, {});
    }
}

void CreditStrategy::configure(Dispatch::Dispatcher& dispatcher) const
{
    Configuration::ConfigurationDocument document;
    for (const Load::KindDescription& kind : this->simulation.options.workload.kinds)
        document.exceptions.push_back({ kind.name, Configuration::ScopeKind::Kind, kind.name,
            Configuration::ConfigurationKey::ShareWeight, kind.shareWeight, "workload file" });
    dispatcher.setConfiguration(std::move(document));
}

void CreditStrategy::scheduleHeartbeats(std::size_t entry)
{
    this->simulation.events.scheduleAfter(heartbeatInterval, [this, entry] {
        const Messages::Backlog backlog
            = this->entries[entry].dispatcher->backlog(this->simulation.options.workload.service.name);
        for (std::size_t worker = 0; worker < this->workers.size(); ++worker) {
            this->simulation.sendHeartbeat(entry, worker, [this, entry, worker, backlog] {
                this->workers[worker].allocator->clearPendingRecall(entryName(entry));
                this->handleBacklog(worker, entry, backlog);
            });
            // The sidecar's heartbeat carries nothing that this experiment uses, but counts as a message.
            this->simulation.sendHeartbeat(entry, worker, [] {});
        }
        this->scheduleHeartbeats(entry);
    });
}

void CreditStrategy::scheduleUsage()
{
    this->simulation.events.scheduleAfter(usageInterval, [this] {
        for (Entry& entry : this->entries)
            entry.dispatcher->takeTeamUsage(this->simulation.events.now());
        this->scheduleUsage();
    });
}

void CreditStrategy::detectCrashedWorkers()
{
    for (std::size_t worker = 0; worker < this->workers.size(); ++worker) {
        if (!this->simulation.isCrashed(worker))
            continue;
        for (Entry& entry : this->entries)
            entry.dispatcher->removeSidecar(this->simulation.events.now(), workerName(worker));
        for (const std::shared_ptr<Batch>& batch : this->sentBatches[worker]) {
            std::vector<BufferedResult> results;
            for (std::uint32_t task : batch->unresolved)
                results.push_back(
                    { batch, { task, Messages::TaskOutcome::Unconfirmed, Messages::TaskReason::SidecarLost } });
            this->handleResults(worker, batch->entry, results, 0);
        }
        this->sentBatches[worker].clear();
    }
}

void CreditStrategy::poll(std::size_t entry)
{
    Dispatch::Dispatcher& dispatcher = *this->entries[entry].dispatcher;
    for (const Dispatch::Decision& decision : dispatcher.poll(this->simulation.events.now()))
        std::visit([&](const auto& action) { this->apply(entry, action); }, decision);
    const auto next = dispatcher.nextWakeUp();
    Entry& state = this->entries[entry];
    if (!next || (state.wakeUp && *state.wakeUp <= *next && *state.wakeUp > this->simulation.events.now()))
        return;
    state.wakeUp = *next;
    this->simulation.events.scheduleAt(*next, [this, entry, number = ++state.wakeUpGeneration] {
        if (number == this->entries[entry].wakeUpGeneration)
            this->poll(entry);
    });
}

void CreditStrategy::apply(std::size_t entry, const Dispatch::StartDecision& decision)
{
    const std::size_t worker = indexFromName(decision.sidecarId);
    auto batch = std::make_shared<Batch>();
    batch->entry = entry;
    batch->job = decision.jobId.low;
    batch->tasks = batch->unresolved = decision.taskIndexes;
    if (this->simulation.options.fault == WorkerFault::Dies)
        this->sentBatches[worker].push_back(batch);
    this->simulation.send(entry, worker, [this, worker, batch, credits = decision.credits, backlog = decision.backlog] {
        this->handleStart(worker, batch, credits, backlog);
    });
}

void CreditStrategy::apply(std::size_t entry, const Dispatch::CreditReturnDecision& decision)
{
    const std::size_t worker = indexFromName(decision.sidecarId);
    this->simulation.send(entry, worker, [this, entry, worker, credits = decision.credits, backlog = decision.backlog] {
        this->workers[worker].allocator->creditsReturned(entryName(entry), credits);
        this->handleBacklog(worker, entry, backlog);
    });
}

void CreditStrategy::apply(std::size_t, const Dispatch::RefuseDecision& decision)
{
    this->simulation.recordRefusal(decision.task.jobId.low);
}

void CreditStrategy::handleStart(
    std::size_t worker, std::shared_ptr<Batch> batch, std::uint32_t credits, const Messages::Backlog& backlog)
{
    Worker& state = this->workers[worker];
    const Core::InstanceId name = entryName(batch->entry);
    const std::uint32_t used = state.allocator->consume(name, credits);
    if (used < credits) {
        for (std::uint32_t credit = 0; credit < used; ++credit)
            state.allocator->slotFreed(name);
        this->rejectBatch(worker, batch);
    } else {
        for (std::size_t position = 0; position < batch->tasks.size(); ++position) {
            if (position < used)
                this->runTask(worker, { batch, batch->tasks[position] });
            else
                state.queues[batch->entry].push_back({ batch, batch->tasks[position] });
        }
        state.allocator->setQueuedTasks(name, static_cast<std::uint32_t>(state.queues[batch->entry].size()));
    }
    this->handleBacklog(worker, batch->entry, backlog);
}

void CreditStrategy::rejectBatch(std::size_t worker, const std::shared_ptr<Batch>& batch)
{
    // Neither the start message nor its rejection has an effect.
    this->simulation.countWastedMessages(2);
    this->simulation.send(batch->entry, worker, [this, worker, batch] {
        for (std::uint32_t task : batch->tasks) {
            if (!this->entries[batch->entry].dispatcher->taskNotRun(this->simulation.events.now(), workerName(worker),
                    { jobIdOf(batch->job), task }, Messages::TaskReason::NoCredit))
                this->simulation.recordTaskEnd(batch->job, task, false);
        }
        batch->unresolved.clear();
        this->poll(batch->entry);
    });
}

void CreditStrategy::runTask(std::size_t worker, const QueuedTask& queued)
{
    this->simulation.runTask(
        worker, queued.batch->job, queued.task, [this, worker, queued](bool isSuccess, Duration duration) {
            this->handleTaskEnd(worker, queued.batch, queued.task, isSuccess, duration);
        });
}

void CreditStrategy::handleTaskEnd(
    std::size_t worker, const std::shared_ptr<Batch>& batch, std::uint32_t task, bool isSuccess, Duration runTime)
{
    Messages::TaskResult result;
    result.taskIndex = task;
    result.outcome = isSuccess ? Messages::TaskOutcome::Succeeded : Messages::TaskOutcome::Failed;
    result.runMicroseconds = std::chrono::duration_cast<std::chrono::microseconds>(runTime).count();
    this->workers[worker].allocator->slotFreed(entryName(batch->entry));
    const FreedSlot slot = this->assignSlots(worker, batch->entry);
    const bool isBatched = this->simulation.jobs[batch->job].runTimes.size() >= Dispatch::minimumBatchedJobTasks;
    if (isBatched && slot.isUsedByQueue && slot.credits == 0) {
        this->bufferResult(worker, { batch, result });
        return;
    }
    std::vector<BufferedResult> results;
    if (auto bufferedResults = this->workers[worker].bufferedResults.extract(batch->job))
        results = std::move(bufferedResults.mapped());
    results.push_back({ batch, result });
    this->sendResults(worker, batch->entry, std::move(results), slot.credits);
}

void CreditStrategy::bufferResult(std::size_t worker, BufferedResult result)
{
    const JobIndex job = result.batch->job;
    const std::size_t entry = result.batch->entry;
    std::vector<BufferedResult>& bufferedResults = this->workers[worker].bufferedResults[job];
    bufferedResults.push_back(std::move(result));
    if (bufferedResults.size() == resultsPerMessage) {
        this->sendResults(worker, entry, std::move(bufferedResults), 0);
        this->workers[worker].bufferedResults.erase(job);
    } else if (bufferedResults.size() == 1) {
        this->simulation.events.scheduleAfter(maximumBufferTime, [this, worker, entry, job] {
            if (auto remaining = this->workers[worker].bufferedResults.extract(job))
                this->sendResults(worker, entry, std::move(remaining.mapped()), 0);
        });
    }
}

void CreditStrategy::sendResults(
    std::size_t worker, std::size_t entry, std::vector<BufferedResult> results, std::uint32_t credits)
{
    this->simulation.send(entry, worker, [this, worker, entry, credits, results = std::move(results)] {
        this->handleResults(worker, entry, results, credits);
    });
}

CreditStrategy::FreedSlot CreditStrategy::assignSlots(std::size_t worker, std::optional<std::size_t> respondingEntry)
{
    Worker& state = this->workers[worker];
    FreedSlot freed;
    for (const Dispatch::CreditChange& change : state.allocator->assign(this->simulation.events.now())) {
        const std::size_t entry = indexFromName(change.entryId);
        for (std::uint32_t slot = 0; slot < change.startedFromQueue; ++slot) {
            const QueuedTask next = state.queues[entry].front();
            state.queues[entry].pop_front();
            this->runTask(worker, next);
        }
        if (respondingEntry == entry)
            freed = { change.granted, change.startedFromQueue > 0 };
        else if (change.granted > 0)
            this->grantCredits(worker, entry, change.granted);
        if (change.recalled == 0)
            continue;
        this->simulation.send(entry, worker, [this, worker, entry, recalled = change.recalled] {
            this->entries[entry].dispatcher->creditsRecalled(
                this->simulation.events.now(), workerName(worker), recalled);
            this->poll(entry);
        });
    }
    return freed;
}

void CreditStrategy::handleBacklog(std::size_t worker, std::size_t entry, const Messages::Backlog& backlog)
{
    this->workers[worker].allocator->setBacklog(this->simulation.events.now(), entryName(entry), backlog);
    this->assignSlots(worker, {});
}

void CreditStrategy::grantCredits(std::size_t worker, std::size_t entry, std::uint32_t credits)
{
    this->simulation.send(entry, worker, [this, worker, entry, credits] {
        this->entries[entry].dispatcher->creditsGranted(this->simulation.events.now(), workerName(worker), credits);
        this->poll(entry);
    });
}

void CreditStrategy::handleResults(
    std::size_t worker, std::size_t entry, const std::vector<BufferedResult>& results, std::uint32_t credits)
{
    Dispatch::Dispatcher& dispatcher = *this->entries[entry].dispatcher;
    for (const auto& [batch, result] : results) {
        std::erase(batch->unresolved, result.taskIndex);
        dispatcher.taskFinished(this->simulation.events.now(), workerName(worker), jobIdOf(batch->job), result);
        this->simulation.recordTaskEnd(
            batch->job, result.taskIndex, result.outcome == Messages::TaskOutcome::Succeeded);
    }
    if (credits > 0)
        dispatcher.creditsGranted(this->simulation.events.now(), workerName(worker), credits);
    this->poll(entry);
}

Core::InstanceId CreditStrategy::workerName(std::size_t worker) { return "w" + std::to_string(worker); }

Core::InstanceId CreditStrategy::entryName(std::size_t entry) { return "e" + std::to_string(entry); }

}
