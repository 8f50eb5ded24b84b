#include "celeryswitch/Experiment/CreditStrategy.h"

#include <algorithm>
#include <charconv>

namespace celeryswitch::Experiment {

using Core::Duration;

namespace {

constexpr Duration heartbeatInterval = std::chrono::milliseconds(500);
constexpr Duration usageInterval = std::chrono::seconds(1);
constexpr Duration deathKnownAfter = std::chrono::seconds(3);

Core::JobId jobIdOf(JobIndex job) { return { 0, job }; }

std::size_t workerOf(const Core::InstanceId& sidecarId)
{
    std::size_t worker = 0;
    std::from_chars(sidecarId.data() + 1, sidecarId.data() + sidecarId.size(), worker);
    return worker;
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
        std::vector<bool> entriesNear;
        for (std::size_t entry = 0; entry < this->entries.size(); ++entry)
            entriesNear.push_back(this->fleet.dataCentreOfEntry(entry) == this->fleet.dataCentreOfWorker(worker));
        this->workers[worker].allocator
            = std::make_unique<SlotAllocator>(service.slotsPerWorker, std::move(entriesNear));
        for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
            Dispatch::Dispatcher& dispatcher = *this->entries[entry].dispatcher;
            dispatcher.addSidecar(this->fleet.events.now(),
                { workerName(worker), service.name, service.dataCentres[this->fleet.dataCentreOfWorker(worker)],
                    "r" + std::to_string(worker / 3), service.slotsPerWorker });
            dispatcher.creditsGranted(
                this->fleet.events.now(), workerName(worker), this->workers[worker].allocator->initialCredits(entry));
        }
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
            this->fleet.sendHeartbeat(
                entry, worker, [this, entry, worker, backlog] { this->backlogArrived(worker, entry, backlog); });
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
            // Results on the way were dropped with the worker, so every task of the batch is unconfirmed.
            std::vector<Messages::TaskResult> results = batch->results;
            for (std::uint32_t task = 0; task < batch->running; ++task)
                results.push_back({ batch->queued.empty() ? 0 : batch->queued.front(),
                    Messages::TaskOutcome::Unconfirmed, Messages::TaskReason::SidecarLost });
            for (std::uint32_t task : batch->queued)
                results.push_back({ task, Messages::TaskOutcome::Unconfirmed, Messages::TaskReason::SidecarLost });
            this->resultsArrived(worker, batch->entry, batch->job, results, 0);
        }
        this->sentTo[worker].clear();
    }
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry)
        this->poll(entry);
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
    const std::size_t worker = workerOf(decision.sidecarId);
    auto batch = std::make_shared<Batch>();
    batch->entry = entry;
    batch->job = decision.jobId.low;
    batch->queued.assign(decision.taskIndexes.begin(), decision.taskIndexes.end());
    if (this->fleet.options.fault == WorkerFault::Dies)
        this->sentTo[worker].push_back(batch);
    this->fleet.send(entry, worker, [this, worker, batch, credits = decision.credits, backlog = decision.backlog] {
        this->startArrived(worker, batch, credits, backlog);
    });
}

void CreditStrategy::act(std::size_t entry, const Dispatch::CreditReturnDecision& decision)
{
    const std::size_t worker = workerOf(decision.sidecarId);
    this->fleet.send(entry, worker, [this, entry, worker, credits = decision.credits, backlog = decision.backlog] {
        SlotAllocator& allocator = *this->workers[worker].allocator;
        allocator.backlogReported(this->fleet.events.now(), entry, backlog);
        this->grant(worker, allocator.returned(this->fleet.events.now(), entry, credits), credits);
    });
}

void CreditStrategy::act(std::size_t, const Dispatch::RefuseDecision& decision)
{
    this->fleet.jobRefused(decision.task.jobId.low);
}

void CreditStrategy::startArrived(
    std::size_t worker, std::shared_ptr<Batch> batch, std::uint32_t credits, const Messages::Backlog& backlog)
{
    this->workers[worker].allocator->used(batch->entry, credits);
    for (std::uint32_t credit = 0; credit < credits; ++credit)
        this->runNext(worker, batch);
    this->backlogArrived(worker, batch->entry, backlog);
}

void CreditStrategy::runNext(std::size_t worker, const std::shared_ptr<Batch>& batch)
{
    const std::uint32_t task = batch->queued.front();
    batch->queued.pop_front();
    ++batch->running;
    this->fleet.execute(worker, batch->job, task, [this, worker, batch, task](bool isSuccess, Duration run) {
        this->taskEnded(worker, batch, task, isSuccess, run);
    });
}

void CreditStrategy::taskEnded(
    std::size_t worker, const std::shared_ptr<Batch>& batch, std::uint32_t task, bool isSuccess, Duration run)
{
    Messages::TaskResult result;
    result.taskIndex = task;
    result.outcome = isSuccess ? Messages::TaskOutcome::Succeeded : Messages::TaskOutcome::Failed;
    result.runMicroseconds = std::chrono::duration_cast<std::chrono::microseconds>(run).count();
    batch->results.push_back(result);
    --batch->running;
    if (!batch->queued.empty()) {
        this->runNext(worker, batch);
        return;
    }
    // Results leave with the credit of the slot that came free.
    const std::size_t target = this->workers[worker].allocator->freed(this->fleet.events.now(), batch->entry);
    const std::uint32_t credits = target == batch->entry ? 1 : 0;
    if (credits == 0)
        this->grant(worker, target, 1);
    this->fleet.send(batch->entry, worker, [this, worker, batch, credits, results = std::move(batch->results)] {
        this->resultsArrived(worker, batch->entry, batch->job, results, credits);
    });
    batch->results.clear();
}

void CreditStrategy::backlogArrived(std::size_t worker, std::size_t entry, const Messages::Backlog& backlog)
{
    SlotAllocator& allocator = *this->workers[worker].allocator;
    allocator.backlogReported(this->fleet.events.now(), entry, backlog);
    const auto victim = allocator.recall(this->fleet.events.now(), entry);
    if (!victim)
        return;
    this->fleet.send(*victim, worker, [this, worker, victim] {
        this->entries[*victim].dispatcher->creditsRecalled(this->fleet.events.now(), workerName(worker), 1);
        this->poll(*victim);
    });
}

void CreditStrategy::grant(std::size_t worker, std::size_t entry, std::uint32_t credits)
{
    this->fleet.send(entry, worker, [this, worker, entry, credits] {
        this->entries[entry].dispatcher->creditsGranted(this->fleet.events.now(), workerName(worker), credits);
        this->poll(entry);
    });
}

void CreditStrategy::resultsArrived(std::size_t worker, std::size_t entry, JobIndex job,
    const std::vector<Messages::TaskResult>& results, std::uint32_t credits)
{
    Dispatch::Dispatcher& dispatcher = *this->entries[entry].dispatcher;
    for (const Messages::TaskResult& result : results) {
        dispatcher.taskFinished(this->fleet.events.now(), workerName(worker), jobIdOf(job), result);
        this->fleet.taskEnded(job, result.taskIndex, result.outcome == Messages::TaskOutcome::Succeeded);
    }
    if (credits > 0)
        dispatcher.creditsGranted(this->fleet.events.now(), workerName(worker), credits);
    this->poll(entry);
}

Core::InstanceId CreditStrategy::workerName(std::size_t worker) { return "w" + std::to_string(worker); }

}
