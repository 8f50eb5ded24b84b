// Connections, liveness and claims of the entries, and the updates sent to them.
#include "celeryswitch/Workers/RunSupervisor.h"

#include <set>

namespace celeryswitch::Workers {

using Core::SteadyTime;
using Logging::LogLevel;
using Messages::RunState;

RunSupervisor::Entry* RunSupervisor::findEntry(std::uint64_t connection, Core::InstanceId* id)
{
    for (auto& [entryId, entry] : this->entries) {
        if (entry.connection == connection) {
            if (id)
                *id = entryId;
            return &entry;
        }
    }
    return nullptr;
}

void RunSupervisor::entryConnected(SteadyTime now, std::uint64_t connection, const Messages::Hello& hello)
{
    Entry& entry = this->entries[hello.instanceId];
    this->reservations.releaseAll(hello.instanceId);
    // It claims its runs again on this connection.
    std::erase_if(this->claims, [&](const auto& claim) { return claim.first == hello.instanceId; });
    if (entry.connection != 0)
        this->actions.push_back(DisconnectEntry { entry.connection });
    if (entry.incarnation != hello.incarnation) {
        // The entry was restarted and does not know the runs of its previous incarnation.
        for (auto& [task, run] : this->runs.all()) {
            if (run.entry == hello.instanceId && run.entryIncarnation != hello.incarnation)
                this->stopRun(now, run, "entry restarted");
        }
        entry = {};
        entry.incarnation = hello.incarnation;
    }
    entry.connection = connection;
    entry.handledSequence = 0;
    entry.sequenceSent = 0;
    // An update with a newer profile may have been lost with the connection.
    entry.profileSent = {};
    entry.isUpdateDue = true;
    // The greeting may have waited in the network for longer than the entry lived; only a clock sample proves its life.
    // A new entry has the time of a reconnection to return the first one.
    entry.aliveUntil = entry.provenAliveAt != SteadyTime {} ? entry.provenAliveAt + this->settings.entryTimeout
                                                            : now + this->settings.reconnectGracePeriod;
    this->log.write(
        LogLevel::Info, "entry connected", { { "entry", hello.instanceId }, { "incarnation", hello.incarnation } });
}

void RunSupervisor::entryDisconnected(SteadyTime now, std::uint64_t connection)
{
    Core::InstanceId id;
    if (Entry* entry = this->findEntry(connection, &id)) {
        entry->connection = 0;
        this->reservations.releaseAll(id);
        entry->aliveUntil = std::min(entry->aliveUntil, now + this->settings.reconnectGracePeriod);
        this->log.write(LogLevel::Info, "entry disconnected", { { "entry", id } });
    }
}

void RunSupervisor::extendEntryLifetime(SteadyTime now, Entry& entry, std::int64_t clockEcho)
{
    // An echoed clock sample proves that the entry was alive after the sample was taken, however old the message is.
    const SteadyTime sampledAt { std::chrono::microseconds(clockEcho) };
    if (sampledAt < this->startedAt || sampledAt > now)
        return;
    entry.provenAliveAt = std::max(entry.provenAliveAt, sampledAt);
    entry.aliveUntil = std::max(entry.aliveUntil, sampledAt + this->settings.entryTimeout);
}

void RunSupervisor::stopUnclaimedRuns(SteadyTime now, const Core::InstanceId& id, const Messages::ClaimRuns& claimed)
{
    // The entry ended these jobs while it was not connected, so that its request to stop them was lost.
    std::set<Messages::OrderedTask> orders;
    for (const Messages::ClaimedRun& claim : claimed.runs)
        orders.insert(claim.ordered);
    for (auto& [task, run] : this->runs.all()) {
        if (run.entry == id && orders.count({ task, run.order }) == 0)
            this->stopRun(now, run, "not claimed by the entry");
    }
}

void RunSupervisor::answerClaims(SteadyTime now)
{
    if (!this->worker.isRunListKnown)
        return;
    for (const auto& [id, claim] : std::exchange(this->claims, {})) {
        Entry& entry = this->entries[id];
        const TaskId& task = claim.ordered.task;
        Run* run = this->runs.find(task);
        const bool isActive = run && run->phase != RunPhase::Ended;
        // The worker's lists don't name the order of a run that a previous incarnation of this process started, and
        // that process may have raised the run number that the entry ordered.
        const bool isClaimed = run
            && (run->isOf(id, entry.incarnation, claim.ordered.order)
                || (run->entry.empty() && run->number >= claim.run));
        if (isActive && !isClaimed) {
            // The entry may start the task elsewhere as soon as it is told, so that this run has to end first.
            run->refusedAtEnd.push_back({ id, entry.incarnation, claim.ordered.order, claim.run, true });
            this->stopRun(now, *run, "task claimed for another order");
            continue;
        }
        if (!isClaimed) {
            entry.reports.push_back(
                { claim.ordered, claim.run, RunState::Ended, RunEnd::Lost, RunRefusal::None, 0, 0 });
            entry.isUpdateDue = true;
            continue;
        }
        if (run->entry.empty() && run->phase != RunPhase::Ended) {
            run->deadline = SteadyTime::max();
            this->runs.setNeed(*run, claim.need);
            this->log.write(LogLevel::Info, "run adopted",
                { { "job", Messages::jobText(run->task.job) }, { "task", run->task.index }, { "run", run->number },
                    { "entry", id }, { "order", claim.ordered.order } });
        }
        run->entry = id;
        run->entryIncarnation = entry.incarnation;
        run->order = claim.ordered.order;
        this->report(now, *run);
    }
}

bool RunSupervisor::hasNews(const Entry& entry) const
{
    return entry.isReadySent != this->isReady() || entry.sequenceSent != entry.handledSequence
        || !(entry.freeSent == this->freeRoom());
}

void RunSupervisor::sendUpdates(SteadyTime now)
{
    for (auto& [id, entry] : this->entries) {
        if (entry.connection == 0)
            continue;
        const bool isDue = entry.isUpdateDue
            || (this->hasNews(entry) && now >= entry.updatedAt + this->settings.loadUpdateInterval)
            || now >= entry.updatedAt + this->settings.maximumUpdateInterval;
        if (!isDue)
            continue;
        SendUpdate send { entry.connection,
            { this->settings.incarnation, Core::toClockSample(now), entry.handledSequence,
                std::exchange(entry.reports, {}), {}, this->load(now) } };
        Messages::WorkerProfile current = this->profile();
        if (!(current == entry.profileSent)) {
            entry.profileSent = current;
            send.update.profile.push_back(std::move(current));
        }
        entry.isUpdateDue = false;
        entry.updatedAt = now;
        entry.freeSent = this->freeRoom();
        entry.sequenceSent = entry.handledSequence;
        entry.isReadySent = this->isReady();
        this->actions.push_back(std::move(send));
    }
}

Messages::Room RunSupervisor::freeRoom() const
{
    return this->worker.profile ? this->worker.profile->capacity - this->runs.used() - this->reservations.held()
                                : Messages::Room {};
}

Messages::WorkerLoad RunSupervisor::load(SteadyTime now) const
{
    Messages::WorkerLoad load;
    load.free = this->freeRoom();
    std::map<std::int16_t, std::int64_t> queued;
    for (const auto& [position, task] : this->runs.queue())
        queued[position.negativeRankClass] += this->runs.all().at(task).need.milliCores;
    for (const auto& [position, reservation] : this->reservations.queue())
        queued[position.negativeRankClass]
            += reservation.need.milliCores * reservation.units / reservation.alternatives;
    for (const auto& [negativeRankClass, milliCores] : queued)
        load.queued.push_back({ static_cast<std::int16_t>(-negativeRankClass), milliCores });
    load.freedMilliCoresPerSecond = this->health.freedMilliCoresPerSecond(now);
    load.pacePercent = this->health.pacePercent(now);
    load.isReady = this->isReady();
    load.isDraining = this->worker.isDraining;
    load.isOnProbation = this->health.isOnProbation();
    if (load.isOnProbation && now < this->health.probeAt())
        load.probeWaitMilliseconds = static_cast<std::uint16_t>(
            std::chrono::ceil<std::chrono::milliseconds>(this->health.probeAt() - now).count());
    load.failurePercent = this->health.failurePercent(now);
    return load;
}

void RunSupervisor::reportRefusedStarts(Run& run)
{
    for (const RefusedOrder& refused : std::exchange(run.refusedAtEnd, {})) {
        const auto found = this->entries.find(refused.entry);
        if (found == this->entries.end() || found->second.incarnation != refused.entryIncarnation)
            continue;
        // The entry refuses a job as not run only if no run of it began, also for an earlier request of its caller.
        const bool isUnstarted = run.noStartProof && !refused.mayHaveStarted;
        found->second.reports.push_back({ { run.task, refused.order }, refused.run, RunState::Ended,
            isUnstarted ? RunEnd::NotStarted : RunEnd::Lost, RunRefusal::TaskBusy, 0, 0 });
        found->second.isUpdateDue = true;
    }
}

void RunSupervisor::report(SteadyTime now, const Run& run)
{
    this->addReport(now, run);
    if (const auto found = this->entries.find(run.entry); found != this->entries.end())
        found->second.isUpdateDue = true;
}

void RunSupervisor::addReport(SteadyTime now, const Run& run)
{
    const auto found = this->entries.find(run.entry);
    if (found == this->entries.end() || found->second.incarnation != run.entryIncarnation)
        return;
    const bool hasEnded = run.phase == RunPhase::Ended;
    // An entry takes a run that is reported as running for bounded by the lease.
    if (!hasEnded && run.startedAt == SteadyTime {})
        return;
    const SteadyTime until = hasEnded ? run.endedAt : now;
    const std::int64_t time = run.startedAt == SteadyTime {}
        ? 0
        : std::chrono::duration_cast<std::chrono::microseconds>(until - run.startedAt).count();
    found->second.reports.push_back(
        { { run.task, run.order }, run.number, hasEnded ? RunState::Ended : RunState::Running,
            hasEnded ? run.end : RunEnd::NotStarted, run.refusal, time, static_cast<std::uint8_t>(run.percent) });
}

}
