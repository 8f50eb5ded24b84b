// Links and faults of the simulated fleet, and its invariant checks.
#include "celeryswitch/Experiment/LeasedFleetState.h"

#include <algorithm>

namespace celeryswitch::Experiment {

using Core::Duration;
using Core::SteadyTime;

namespace {

constexpr Duration linkCheckInterval = std::chrono::milliseconds(50);
constexpr Duration linkTimeout = std::chrono::milliseconds(550);

}

void LeasedFleet::connect(std::size_t entryIndex, std::size_t worker)
{
    if (entryIndex >= this->entries.size())
        return;
    Link& link = this->links[{ entryIndex, worker }];
    Entry& entry = *this->entries[entryIndex];
    Sidecar& sidecar = *this->sidecars[worker];
    if (link.isOpen || this->linkedWorkers[entryIndex].count(worker) == 0 || !entry.isUp || !sidecar.isUp
        || this->events.now() < link.cutUntil || this->events.now() < entry.frozenUntil
        || this->events.now() < sidecar.frozenUntil)
        return;
    link.isOpen = true;
    link.connectionId = ++this->lastId;
    link.lastReceivedAt = this->events.now();
    sidecar.supervisor->entryConnected(this->events.now(), link.connectionId,
        { Messages::Role::Entry, "entry-" + std::to_string(entryIndex), entry.incarnation, "", "", "", 0 });
    Messages::Member member;
    member.identity.instanceId = std::to_string(worker);
    member.identity.dataCentre = "dc-" + std::to_string(worker % 3);
    entry.scheduler->sidecarConnected(entry.now(this->events.now()), member);
    this->pollSidecar(worker);
    this->pollEntry(entryIndex);
}

void LeasedFleet::disconnect(std::size_t entryIndex, std::size_t worker)
{
    if (entryIndex >= this->entries.size())
        return;
    Link& link = this->links[{ entryIndex, worker }];
    if (!std::exchange(link.isOpen, false))
        return;
    const std::uint64_t number = std::exchange(link.connectionId, 0);
    if (this->entries[entryIndex]->isUp)
        this->runWhenAwake(*this->entries[entryIndex], [this, entryIndex, worker] {
            this->entries[entryIndex]->scheduler->sidecarDisconnected(std::to_string(worker));
        });
    if (!this->sidecars[worker]->isUp || this->events.now() < link.cutUntil)
        return;
    this->runWhenAwake(*this->sidecars[worker], [this, worker, number] {
        this->sidecars[worker]->supervisor->entryDisconnected(this->events.now(), number);
        this->pollSidecar(worker);
    });
}

void LeasedFleet::suspendEntry(std::size_t index)
{
    Entry& entry = *this->entries[index];
    const Duration span = seconds(0.5 + 4 * this->uniform());
    entry.freeze(this->events.now(), span);
    if (!this->options.mechanisms.isSuspensionCounted)
        entry.clockLag += span;
}

void LeasedFleet::breakCallerConnection()
{
    std::vector<std::uint64_t> open;
    for (const auto& entry : this->entries) {
        for (const auto& [request, job] : entry->requests)
            open.push_back(job);
    }
    if (!open.empty())
        this->abandonRequest(open[static_cast<std::size_t>(this->uniform() * static_cast<double>(open.size()))], true);
}

void LeasedFleet::deliverStrayAnnouncement(std::size_t index)
{
    Sidecar& sidecar = *this->sidecars[index];
    const std::int64_t bornAt = sidecar.worker->settings().bornAt + (this->uniform() < 0.5 ? 500 : -500);
    const std::string workerId = this->uniform() < 0.5 ? sidecar.worker->settings().workerId : "w-stray";
    const bool isDeregistration = this->uniform() < 0.5;
    const bool isIncarnationStated = this->uniform() < 0.5;
    this->runWhenAwake(sidecar, [this, index, bornAt, workerId, isDeregistration, isIncarnationStated] {
        Workers::RunSupervisor& supervisor = *this->sidecars[index]->supervisor;
        if (isDeregistration)
            supervisor.workerLeft(
                this->events.now(), workerId, isIncarnationStated ? std::optional(bornAt) : std::nullopt);
        else
            supervisor.workerAnnounced(
                this->events.now(), { workerId, bornAt, "loans", { 1'000'000, 1'000'000, 0 }, {}, false, 1 << 30, 9 });
        this->pollSidecar(index);
    });
}

void LeasedFleet::maintainLinks()
{
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
        for (std::size_t worker = 0; worker < this->sidecars.size(); ++worker) {
            const Link& link = this->links[{ entry, worker }];
            if (link.isOpen && this->events.now() - link.lastReceivedAt > linkTimeout
                && this->events.now() >= this->entries[entry]->frozenUntil)
                this->disconnect(entry, worker);
            else if (this->linkedWorkers[entry].count(worker) == 0)
                this->removeUnusedLink(entry, worker);
            else if (!link.isOpen)
                this->connect(entry, worker);
        }
    }
    this->events.scheduleAfter(linkCheckInterval, [this] { this->maintainLinks(); });
}

// Removes a link that the entry no longer needs, once none of its runs is left there.
void LeasedFleet::removeUnusedLink(std::size_t entry, std::size_t worker)
{
    if (!this->entries[entry]->isUp || this->events.now() < this->entries[entry]->frozenUntil)
        return;
    Scheduling::JobScheduler& scheduler = *this->entries[entry]->scheduler;
    const Core::InstanceId sidecar = std::to_string(worker);
    if (scheduler.hasRuns(sidecar))
        return;
    this->disconnect(entry, worker);
    scheduler.removeSidecar(sidecar);
}

void LeasedFleet::cutOffSidecars()
{
    const SteadyTime until
        = this->events.now() + std::chrono::duration_cast<SteadyTime::duration>(this->options.cutOff.length);
    for (std::size_t worker = 0; worker < this->sidecars.size(); ++worker) {
        // Spread evenly, so that all classes of workers lose the same share.
        const double share = this->options.cutOffShare;
        if (std::floor(static_cast<double>(worker + 1) * share) <= std::floor(static_cast<double>(worker) * share))
            continue;
        for (std::size_t entry = 0; entry < this->entries.size(); ++entry)
            this->links[{ entry, worker }].cutUntil = until;
    }
}

RunPlan LeasedFleet::planRun(std::size_t worker, const Messages::TaskId& task, std::uint32_t)
{
    const Sidecar& sidecar = *this->sidecars[worker];
    const Job& job = this->jobs.at(task.job);
    const auto& classes = this->options.workerClasses;
    const double speed = classes.empty() ? 1 : classes[worker % classes.size()].speed;
    RunPlan plan { seconds(job.taskSeconds.at(task.index) / speed), job.isFailing,
        job.specification.steps.front().need };
    if (this->events.now() >= sidecar.degradedUntil)
        return plan;
    if (sidecar.degradation == Sidecar::Degradation::Fails)
        return { std::chrono::milliseconds(2), true, plan.need };
    if (sidecar.degradation == Sidecar::Degradation::Stalls)
        plan.time = {};
    else if (sidecar.degradation == Sidecar::Degradation::Slow)
        plan.time *= 6;
    return plan;
}

void LeasedFleet::scheduleFaults()
{
    const double minutes = std::chrono::duration<double>(this->options.duration).count() / 60;
    const SteadyTime begin = this->events.now() + std::chrono::seconds(3);
    const auto schedule = [&](double ratePerMinute, auto action) {
        const auto count = std::poisson_distribution<int>(std::max(1e-9, ratePerMinute * minutes))(this->random);
        for (int number = 0; number < count; ++number)
            this->events.scheduleAt(begin
                    + std::chrono::duration_cast<SteadyTime::duration>(
                        seconds(this->uniform() * std::chrono::duration<double>(this->options.duration).count())),
                action);
    };
    const auto pick
        = [this](std::size_t count) { return static_cast<std::size_t>(this->uniform() * static_cast<double>(count)); };
    const LeasedFaults& faults = this->options.faults;
    schedule(faults.entryKills, [this, pick] { this->killEntry(pick(this->entries.size())); });
    schedule(faults.sidecarKills, [this, pick] { this->killSidecar(pick(this->sidecars.size())); });
    schedule(faults.workerCrashes, [this, pick] { this->crashWorker(pick(this->sidecars.size())); });
    schedule(faults.linkCuts, [this, pick] {
        const SteadyTime until
            = this->events.now() + std::chrono::duration_cast<SteadyTime::duration>(seconds(0.2 + 3 * this->uniform()));
        const std::size_t worker = pick(this->sidecars.size());
        const bool isSingleEntry = this->uniform() < 0.5;
        const std::size_t affectedEntry = pick(this->entries.size());
        for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
            if (isSingleEntry && entry != affectedEntry)
                continue;
            Link& link = this->links[{ entry, worker }];
            link.cutUntil = std::max(link.cutUntil, until);
        }
    });
    schedule(faults.sidecarFreezes, [this, pick] {
        this->sidecars[pick(this->sidecars.size())]->freeze(this->events.now(), seconds(0.1 + 2.5 * this->uniform()));
    });
    schedule(faults.entryFreezes, [this, pick] {
        this->entries[pick(this->entries.size())]->freeze(this->events.now(), seconds(0.1 + 2.5 * this->uniform()));
    });
    schedule(faults.entrySuspensions, [this, pick] { this->suspendEntry(pick(this->entries.size())); });
    schedule(faults.workerRestarts, [this, pick] {
        const std::size_t index = pick(this->sidecars.size());
        if (!this->sidecars[index]->worker->isAlive())
            return;
        const std::string workerId = this->sidecars[index]->worker->settings().workerId;
        this->sidecars[index]->worker->terminate(this->events.now());
        this->finishWorker(index);
        this->startWorker(index, workerId);
    });
    schedule(faults.strayAnnouncements, [this, pick] { this->deliverStrayAnnouncement(pick(this->sidecars.size())); });
    schedule(faults.callerResets, [this] { this->breakCallerConnection(); });
    schedule(faults.linkChanges, [this] { this->selectLinks("entry-" + std::to_string(++this->lastId) + "-"); });
    schedule(faults.degradedWorkers, [this, pick] {
        Sidecar& sidecar = *this->sidecars[pick(this->sidecars.size())];
        constexpr Sidecar::Degradation kinds[] { Sidecar::Degradation::Fails, Sidecar::Degradation::Stalls,
            Sidecar::Degradation::Slow };
        sidecar.degradation = kinds[pick(3)];
        sidecar.degradedUntil = this->events.now() + std::chrono::seconds(5);
    });
}

void LeasedFleet::checkInvariants(LeasedResult& result) const
{
    std::map<Messages::TaskId, std::vector<const RunRecord*>> byTask;
    for (const RunRecord& run : this->runRecords)
        byTask[run.task].push_back(&run);
    const auto at = [](SteadyTime time) { return std::to_string(Core::toClockSample(time) / 1000) + " ms"; };
    std::map<std::uint64_t, std::set<std::uint32_t>> done;
    std::set<std::uint64_t> started;
    for (auto& [task, runs] : byTask) {
        std::sort(runs.begin(), runs.end(),
            [](const RunRecord* left, const RunRecord* right) { return left->startedAt < right->startedAt; });
        const std::string name = "task " + std::to_string(task.job) + "." + std::to_string(task.index);
        for (std::size_t index = 0; index < runs.size(); ++index) {
            started.insert(task.job);
            if (runs[index]->end == Messages::RunEnd::Done)
                done[task.job].insert(task.index);
            if (index > 0 && runs[index]->startedAt < runs[index - 1]->endedAt)
                result.violations.push_back(name + " ran twice at " + at(runs[index]->startedAt)
                    + ", the earlier run from " + at(runs[index - 1]->startedAt) + " to "
                    + at(runs[index - 1]->endedAt));
        }
    }
    for (const auto& [id, job] : this->jobs) {
        if (job.isCompleted && done[id].size() != job.taskSeconds.size())
            result.violations.push_back(
                "job " + std::to_string(id) + " was answered as completed although not all of its tasks were done");
        if (job.submissions > 0 && job.refusals == job.submissions && started.count(id) > 0)
            result.violations.push_back(
                "job " + std::to_string(id) + " was answered as not run although a task of it had started");
    }
}

}
