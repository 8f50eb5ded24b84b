// The fleet's links, its faults, and the check of what must hold.
#include "celeryswitch/Experiment/LeasedFleetParts.h"

#include <algorithm>

namespace celeryswitch::Experiment {

using Core::Duration;
using Core::SteadyTime;

namespace {

constexpr Duration linkCheck = std::chrono::milliseconds(50);
constexpr Duration linkSilence = std::chrono::milliseconds(550);

}

void LeasedFleet::connect(std::size_t entryIndex, std::size_t worker)
{
    if (entryIndex >= this->entries.size())
        return;
    Link& link = this->links[{ entryIndex, worker }];
    Entry& entry = *this->entries[entryIndex];
    Sidecar& sidecar = *this->sidecars[worker];
    if (link.isOpen || this->linked[entryIndex].count(worker) == 0 || !entry.isUp || !sidecar.isUp
        || this->events.now() < link.cutUntil || this->events.now() < entry.frozenUntil
        || this->events.now() < sidecar.frozenUntil)
        return;
    link.isOpen = true;
    link.number = ++this->lastNumber;
    link.heardAt = this->events.now();
    sidecar.supervisor->entryConnected(this->events.now(), link.number,
        { Messages::Role::Entry, "entry-" + std::to_string(entryIndex), entry.life, "", "", "", 0 });
    Messages::Member member;
    member.identity.instanceId = std::to_string(worker);
    member.identity.dataCentre = "dc-" + std::to_string(worker % 3);
    entry.scheduler->sidecarConnected(this->events.now(), member);
    this->stepSidecar(worker);
    this->stepEntry(entryIndex);
}

void LeasedFleet::disconnect(std::size_t entryIndex, std::size_t worker)
{
    if (entryIndex >= this->entries.size())
        return;
    Link& link = this->links[{ entryIndex, worker }];
    if (!std::exchange(link.isOpen, false))
        return;
    const std::uint64_t number = std::exchange(link.number, 0);
    if (this->entries[entryIndex]->isUp)
        this->whenAwake(*this->entries[entryIndex], [this, entryIndex, worker] {
            this->entries[entryIndex]->scheduler->sidecarDisconnected(std::to_string(worker));
        });
    if (this->sidecars[worker]->isUp && this->events.now() >= link.cutUntil)
        this->whenAwake(*this->sidecars[worker], [this, worker, number] {
            this->sidecars[worker]->supervisor->entryDisconnected(this->events.now(), number);
        });
}

void LeasedFleet::watchLinks()
{
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
        for (std::size_t worker = 0; worker < this->sidecars.size(); ++worker) {
            const Link& link = this->links[{ entry, worker }];
            if (link.isOpen && this->events.now() - link.heardAt > linkSilence
                && this->events.now() >= this->entries[entry]->frozenUntil)
                this->disconnect(entry, worker);
            else if (this->linked[entry].count(worker) == 0)
                this->leaveSidecar(entry, worker);
            else if (!link.isOpen)
                this->connect(entry, worker);
        }
    }
    this->events.after(linkCheck, [this] { this->watchLinks(); });
}

// Ends a link that the entry no longer wants, once nothing of it runs there.
void LeasedFleet::leaveSidecar(std::size_t entry, std::size_t worker)
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

RunPlan LeasedFleet::planRun(std::size_t worker, const Messages::TaskId& task, std::uint32_t)
{
    const Sidecar& sidecar = *this->sidecars[worker];
    const Job& job = this->jobs.at(task.job);
    RunPlan plan { seconds(job.taskSeconds.at(task.index)), job.isFailing, job.specification.steps.front().need };
    if (this->events.now() >= sidecar.greyUntil)
        return plan;
    if (sidecar.grey == Sidecar::Grey::Fails)
        return { std::chrono::milliseconds(2), true, plan.need };
    if (sidecar.grey == Sidecar::Grey::Stalls)
        plan.time = {};
    else if (sidecar.grey == Sidecar::Grey::Slow)
        plan.time *= 6;
    return plan;
}

void LeasedFleet::planFaults()
{
    const double minutes = std::chrono::duration<double>(this->options.duration).count() / 60;
    const SteadyTime begin = this->events.now() + std::chrono::seconds(3);
    const auto plan = [&](double perMinute, auto action) {
        const auto count = std::poisson_distribution<int>(std::max(1e-9, perMinute * minutes))(this->random);
        for (int number = 0; number < count; ++number)
            this->events.at(begin
                    + std::chrono::duration_cast<SteadyTime::duration>(
                        seconds(this->uniform() * std::chrono::duration<double>(this->options.duration).count())),
                action);
    };
    const auto pick
        = [this](std::size_t count) { return static_cast<std::size_t>(this->uniform() * static_cast<double>(count)); };
    const LeasedFaults& faults = this->options.faults;
    plan(faults.entryKills, [this, pick] { this->killEntry(pick(this->entries.size())); });
    plan(faults.sidecarKills, [this, pick] { this->killSidecar(pick(this->sidecars.size())); });
    plan(faults.workerCrashes, [this, pick] { this->crashWorker(pick(this->sidecars.size())); });
    plan(faults.linkCuts, [this, pick] {
        const SteadyTime until
            = this->events.now() + std::chrono::duration_cast<SteadyTime::duration>(seconds(0.2 + 3 * this->uniform()));
        const std::size_t worker = pick(this->sidecars.size());
        const bool isOne = this->uniform() < 0.5;
        const std::size_t only = pick(this->entries.size());
        for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
            if (!isOne || entry == only)
                this->links[{ entry, worker }].cutUntil = until;
        }
    });
    plan(faults.sidecarFreezes, [this, pick] {
        this->sidecars[pick(this->sidecars.size())]->frozenUntil = this->events.now()
            + std::chrono::duration_cast<SteadyTime::duration>(seconds(0.1 + 2.5 * this->uniform()));
    });
    plan(faults.entryFreezes, [this, pick] {
        this->entries[pick(this->entries.size())]->frozenUntil = this->events.now()
            + std::chrono::duration_cast<SteadyTime::duration>(seconds(0.1 + 2.5 * this->uniform()));
    });
    plan(faults.linkChanges, [this] { this->chooseLinks("entry-" + std::to_string(++this->lastNumber) + "-"); });
    plan(faults.greyWorkers, [this, pick] {
        Sidecar& sidecar = *this->sidecars[pick(this->sidecars.size())];
        constexpr Sidecar::Grey kinds[] { Sidecar::Grey::Fails, Sidecar::Grey::Stalls, Sidecar::Grey::Slow };
        sidecar.grey = kinds[pick(3)];
        sidecar.greyUntil = this->events.now() + std::chrono::seconds(5);
    });
}

void LeasedFleet::check(LeasedResult& result) const
{
    std::map<Messages::TaskId, std::vector<const RunHistory*>> byTask;
    for (const RunHistory& run : this->pastRuns)
        byTask[run.task].push_back(&run);
    const auto at = [](SteadyTime time) { return std::to_string(Core::toClockSample(time) / 1000) + " ms"; };
    std::map<std::uint64_t, std::set<std::uint32_t>> done;
    std::set<std::uint64_t> started;
    for (auto& [task, runs] : byTask) {
        std::sort(runs.begin(), runs.end(),
            [](const RunHistory* left, const RunHistory* right) { return left->startedAt < right->startedAt; });
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
                "job " + std::to_string(id) + " was answered as completed without all its tasks");
        if (job.submissions > 0 && job.refusals == job.submissions && started.count(id) > 0)
            result.violations.push_back("job " + std::to_string(id) + " was answered as not run, though it had");
    }
}

}
