// Faults of the simulated fleet at random times.
#include "celeryswitch/Experiment/LeasedFleetState.h"

#include <algorithm>

namespace celeryswitch::Experiment {

using Core::Duration;
using Core::SteadyTime;

namespace {

// Time after a stall within which an entry reads the ends of its callers' connections.
constexpr double longestCloseDelaySeconds = 0.02;

}

void LeasedFleet::suspendEntry(std::size_t index)
{
    Entry& entry = *this->entries[index];
    const Duration span = seconds(0.5 + 4 * this->uniform());
    entry.freeze(this->events.now(), span);
    if (!this->options.mechanisms.isSuspensionCounted)
        entry.clockLag += span;
}

// Connections of callers break during the stall, and the entry reads their ends after what else has arrived.
void LeasedFleet::stallEntry(std::size_t index)
{
    Entry& entry = *this->entries[index];
    if (!entry.isUp)
        return;
    const double span = 0.1 + 0.49 * this->uniform();
    entry.freeze(this->events.now(), seconds(span));
    entry.closesReadAt = entry.frozenUntil
        + std::chrono::duration_cast<SteadyTime::duration>(seconds(longestCloseDelaySeconds * this->uniform()));
    this->note("entry-" + std::to_string(index), "model: entry stalls",
        { { "span_ms", static_cast<std::int64_t>(span * 1000) } });
    for (const auto& [request, id] : entry.requests) {
        if (this->uniform() >= this->options.faults.stallResets)
            continue;
        this->events.scheduleAfter(seconds(span * this->uniform()), [this, id = id, request = request] {
            if (this->jobs.at(id).request == request)
                this->abandonRequest(id, true);
        });
    }
}

void LeasedFleet::slowDown(std::size_t index)
{
    LeasedFleetProcess& process = index < this->entries.size() ? static_cast<LeasedFleetProcess&>(*this->entries[index])
                                                               : *this->sidecars[index - this->entries.size()];
    process.slowUntil
        = this->events.now() + std::chrono::duration_cast<SteadyTime::duration>(seconds(1 + 3 * this->uniform()));
    process.slowdown = 2 + 6 * this->uniform();
}

void LeasedFleet::slowLinks(std::size_t worker)
{
    const bool isSingleEntry = this->uniform() < 0.5;
    const auto affected = static_cast<std::size_t>(this->uniform() * static_cast<double>(this->entries.size()));
    const Duration delay = seconds(0.02 + 0.18 * this->uniform());
    const SteadyTime until
        = this->events.now() + std::chrono::duration_cast<SteadyTime::duration>(seconds(2 + 3 * this->uniform()));
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
        if (isSingleEntry && entry != affected)
            continue;
        Link& link = this->links[{ entry, worker }];
        link.slowDelay = delay;
        link.slowUntil = until;
    }
}

void LeasedFleet::slowCallerLinks(std::size_t index)
{
    Entry& entry = *this->entries[index];
    entry.callerDelay = seconds(0.02 + 0.18 * this->uniform());
    entry.callersSlowUntil
        = this->events.now() + std::chrono::duration_cast<SteadyTime::duration>(seconds(2 + 3 * this->uniform()));
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

RunPlan LeasedFleet::planRun(std::size_t worker, const Messages::TaskId& task, std::uint32_t)
{
    const Sidecar& sidecar = *this->sidecars[worker];
    const Job& job = this->jobs.at(task.job.number);
    const auto& classes = this->options.workerClasses;
    const double speed = classes.empty() ? 1 : classes[worker % classes.size()].speed;
    const Scheduling::StepSpecification& step = job.specification.steps.front();
    const bool isFar = !step.dataRack.empty() && step.dataRack != this->rackOf(worker);
    RunPlan plan { seconds(job.taskSeconds.at(task.index) / speed * (isFar ? this->options.farFactor : 1)),
        job.isFailing, step.need };
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
    if (faults.sidecarOutages > 0)
        schedule(faults.sidecarOutages, [this, pick] { this->cutPowerOfSidecar(pick(this->sidecars.size())); });
    if (faults.longSidecarFreezes > 0)
        schedule(faults.longSidecarFreezes, [this, pick] {
            this->sidecars[pick(this->sidecars.size())]->freeze(this->events.now(), seconds(2 + 4 * this->uniform()));
        });
    if (faults.sidecarReplacements > 0)
        schedule(faults.sidecarReplacements, [this, pick] { this->replaceSidecar(pick(this->sidecars.size())); });
    if (faults.workerDepartures > 0)
        schedule(faults.workerDepartures, [this, pick] { this->departWorker(pick(this->sidecars.size())); });
    if (faults.sidecarClockJumps > 0)
        schedule(faults.sidecarClockJumps, [this, pick] {
            this->sidecars[pick(this->sidecars.size())]->clockOffset
                = seconds(this->options.faults.clockJumpSeconds * (2 * this->uniform() - 1));
        });
    if (faults.entryStalls > 0)
        schedule(faults.entryStalls, [this, pick] { this->stallEntry(pick(this->entries.size())); });
    if (faults.slowProcesses > 0)
        schedule(
            faults.slowProcesses, [this, pick] { this->slowDown(pick(this->entries.size() + this->sidecars.size())); });
    if (faults.slowLinks > 0)
        schedule(faults.slowLinks, [this, pick] { this->slowLinks(pick(this->sidecars.size())); });
    if (faults.slowCallerLinks > 0)
        schedule(faults.slowCallerLinks, [this, pick] { this->slowCallerLinks(pick(this->entries.size())); });
    schedule(faults.linkChanges, [this] { this->selectLinks("entry-" + std::to_string(++this->lastId) + "-"); });
    schedule(faults.degradedWorkers, [this, pick] {
        Sidecar& sidecar = *this->sidecars[pick(this->sidecars.size())];
        constexpr Sidecar::Degradation kinds[] { Sidecar::Degradation::Fails, Sidecar::Degradation::Stalls,
            Sidecar::Degradation::Slow };
        sidecar.degradation = kinds[pick(3)];
        sidecar.degradedUntil = this->events.now() + std::chrono::seconds(5);
    });
}

}
