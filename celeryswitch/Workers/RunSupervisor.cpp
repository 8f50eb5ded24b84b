#include "celeryswitch/Workers/RunSupervisor.h"

#include "celeryswitch/Core/Assert.h"

namespace celeryswitch::Workers {

using Core::SteadyTime;
using Logging::LogLevel;
using Messages::RunState;

namespace {

// Largest number of tasks for which an entry reserves room at a time.
constexpr std::uint32_t maximumReservedUnits = 2000;

}

RunSupervisor::RunSupervisor(
    SupervisorSettings settings, Logging::StructuredLog& log, Metrics::MetricRegistry& registry, SteadyTime now)
    : settings(settings)
    , log(log)
    , metrics(registry)
    , startedAt(now)
    , fencingToken(std::max<std::uint64_t>(1, settings.firstFencingToken))
    , doubtfulToken(this->fencingToken - 1)
    , nextListPollAt(now)
    , contactAt(now)
{
}

void RunSupervisor::messageReceived(SteadyTime now, std::uint64_t connection, Messages::WorkMessage message)
{
    Core::InstanceId id;
    Entry* entry = this->findEntry(connection, &id);
    if (!entry)
        return;
    if (auto* start = std::get_if<Messages::StartRuns>(&message)) {
        this->extendEntryLifetime(now, *entry, start->clockEcho);
        this->handle(now, id, *entry, *start);
    } else if (auto* reserved = std::get_if<Messages::StartReserved>(&message)) {
        this->extendEntryLifetime(now, *entry, reserved->start.clockEcho);
        this->handle(now, id, *entry, *reserved);
    } else if (const auto* reserve = std::get_if<Messages::ReserveRoom>(&message)) {
        this->extendEntryLifetime(now, *entry, reserve->clockEcho);
        this->handle(now, id, *entry, *reserve);
    } else if (const auto* release = std::get_if<Messages::ReleaseRoom>(&message)) {
        this->extendEntryLifetime(now, *entry, release->clockEcho);
        for (const std::uint64_t reservation : release->reservations)
            this->reservations.release(id, reservation);
        this->startQueued(now);
    } else if (const auto* stop = std::get_if<Messages::StopRuns>(&message)) {
        this->extendEntryLifetime(now, *entry, stop->clockEcho);
        this->handle(now, id, *entry, *stop);
    } else if (const auto* alive = std::get_if<Messages::EntryAlive>(&message)) {
        this->extendEntryLifetime(now, *entry, alive->clockEcho);
    } else if (const auto* claimed = std::get_if<Messages::ClaimRuns>(&message)) {
        this->handle(now, id, *entry, *claimed);
    } else if (auto* known = std::get_if<Messages::KnownWorker>(&message)) {
        if (!this->entryProvidedWorker || known->profile.bornAt >= this->entryProvidedWorker->profile.bornAt)
            this->entryProvidedWorker = std::move(*known);
        this->adoptEntryProvidedWorker();
    }
}

RunRefusal RunSupervisor::startRefusal(const Messages::StartRuns& request, const TaskId& task)
{
    if (!this->worker.profile || !this->worker.isRunListKnown || !this->worker.clock.isKnown()
        || this->unansweredCalls >= unansweredCallLimit)
        return RunRefusal::Unhealthy;
    if (const RunRefusal block = this->startBlock(); block != RunRefusal::None)
        return block;
    // The entry chose another incarnation, whose labels and capacity may have been others.
    if (request.bornAt != this->worker.profile->workerStartedAt)
        return RunRefusal::OtherIncarnation;
    const Run* known = this->runs.find(task);
    if (known && known->phase != RunPhase::Ended)
        return RunRefusal::TaskBusy;
    if (!request.need.fits(this->worker.profile->capacity))
        return RunRefusal::NoRoom;
    return RunRefusal::None;
}

void RunSupervisor::handle(SteadyTime now, const Core::InstanceId& id, Entry& entry, Messages::StartRuns& request)
{
    this->queueRuns(now, id, entry, request);
    // After a freeze this may be the first message; the runs of entries that fell silent meanwhile must not start.
    this->stopExpiredRuns(now);
    this->startQueued(now);
}

void RunSupervisor::handle(SteadyTime now, const Core::InstanceId& id, Entry& entry, Messages::StartReserved& request)
{
    this->reservations.expire(now);
    std::uint32_t held
        = this->reservations.take(id, request.reservation, static_cast<std::uint32_t>(request.start.tasks.size()));
    this->queueRuns(now, id, entry, request.start);
    this->stopExpiredRuns(now);
    // The room was held for these runs, whatever was queued meanwhile.
    for (const auto& [index, number] : request.start.tasks) {
        Run* run = this->runs.find({ request.start.job, request.start.occurrence, request.start.step, index });
        if (held == 0 || !run || run->phase != RunPhase::Queued
            || !run->isOf(id, entry.incarnation, request.start.order) || !this->isStartable(now, *run))
            continue;
        --held;
        this->fire(now, *run, RunEvent::RoomGranted);
    }
    this->startQueued(now);
}

void RunSupervisor::handle(
    SteadyTime now, const Core::InstanceId& id, Entry& entry, const Messages::ReserveRoom& request)
{
    entry.handledSequence = std::max(entry.handledSequence, request.sequence);
    if (request.units == 0 || request.units > maximumReservedUnits || !this->isReady()
        || !request.need.fits(this->worker.profile->capacity))
        return;
    this->reservations.add({ id, request.reservation, request.need, request.units, std::max(1U, request.alternatives),
                               request.rank, now + std::chrono::microseconds(request.startWithinMicroseconds) },
        this->runs.nextArrivalNumber());
    this->startQueued(now);
}

bool RunSupervisor::offerReserved(SteadyTime now)
{
    const RoomReservation& reservation = this->reservations.first();
    const auto entry = this->entries.find(reservation.entry);
    // A worker on probation gets single runs as probes, which a reservation must not hold up.
    if (entry == this->entries.end() || entry->second.connection == 0 || now >= entry->second.aliveUntil
        || this->health.isOnProbation()) {
        this->reservations.dropFirst();
        return true;
    }
    if (!this->isReady() || !reservation.need.fits(this->freeRoom()) || !this->isLeaseAvailable(now, reservation.entry))
        return false;
    const RoomReservation offered = this->reservations.offerFirst(now + this->settings.offerPeriod);
    this->actions.push_back(SendOffer { entry->second.connection, { offered.number } });
    return true;
}

void RunSupervisor::queueRuns(SteadyTime now, const Core::InstanceId& id, Entry& entry, Messages::StartRuns& request)
{
    entry.handledSequence = std::max(entry.handledSequence, request.sequence);
    const auto content = std::make_shared<const std::string>(std::move(request.content));
    for (const auto& [index, number] : request.tasks) {
        const TaskId task { request.job, request.occurrence, request.step, index };
        RunRefusal refusal = this->startRefusal(request, task);
        if (refusal == RunRefusal::None && now >= entry.aliveUntil)
            refusal = RunRefusal::Late;
        if (refusal != RunRefusal::None) {
            if (refusal == RunRefusal::TaskBusy) {
                // The entry may start the task elsewhere as soon as it is told, so that the other run has to end first.
                Run& other = *this->runs.find(task);
                other.refusedAtEnd.push_back({ id, entry.incarnation, request.order, number });
                this->stopRun(now, other, "task requested again");
                continue;
            }
            entry.reports.push_back(
                { { task, request.order }, number, RunState::Ended, RunEnd::NotStarted, refusal, 0, 0 });
            entry.isUpdateDue = true;
            continue;
        }
        Run run;
        run.task = task;
        run.number = number;
        if (const Run* ended = this->runs.find(task))
            run.number = std::max(number, ended->number + 1);
        run.entry = id;
        run.entryIncarnation = entry.incarnation;
        run.order = request.order;
        run.bornAt = request.bornAt;
        run.need = request.need;
        run.rank = request.rank;
        run.content = content;
        run.expectedTime = std::chrono::milliseconds(request.expectedMilliseconds);
        run.queuedAt = now;
        run.startBy = now + std::chrono::microseconds(request.startWithinMicroseconds);
        if (request.deadlineMicroseconds > 0)
            run.deadline = now + std::chrono::microseconds(request.deadlineMicroseconds);
        this->runs.add(std::move(run));
    }
}

bool RunSupervisor::isStartable(SteadyTime now, const Run& run) const
{
    if (!this->isReady() || !run.need.fits(this->freeRoom()) || !this->isLeaseAvailable(now, run.entry))
        return false;
    return !this->health.isOnProbation() || (this->runs.activeCount() == 0 && now >= this->health.probeAt());
}

void RunSupervisor::startQueued(SteadyTime now)
{
    this->reservations.expire(now);
    // The first run or reservation blocks the queue until it fits; starting smaller ones behind it could starve it.
    while (true) {
        const std::optional<QueuePosition> reserved = this->reservations.firstPosition();
        if (reserved && (this->runs.queue().empty() || *reserved < this->runs.queue().begin()->first)) {
            if (!this->offerReserved(now))
                break;
            continue;
        }
        if (this->runs.queue().empty())
            break;
        Run& best = *this->runs.find(this->runs.queue().begin()->second);
        if (now >= best.startBy)
            this->endUnstartedRun(now, best, RunEvent::StopWanted, NoStartProof::NeverOrdered, RunRefusal::NoRoom);
        else if (this->isStartable(now, best))
            this->fire(now, best, RunEvent::RoomGranted);
        else
            break;
    }
}

void RunSupervisor::handle(SteadyTime now, const Core::InstanceId& id, Entry& entry, const Messages::StopRuns& request)
{
    for (const Messages::OrderedTask& ordered : request.tasks) {
        // Not claimed any more: when the worker lists the run, it is stopped like other runs that no entry claims.
        std::erase_if(
            this->claims, [&](const auto& claim) { return claim.first == id && claim.second.ordered == ordered; });
        Run* run = this->runs.find(ordered.task);
        if (run && run->isOf(id, entry.incarnation, ordered.order))
            this->stopRun(now, *run, "ordered by the entry");
    }
}

void RunSupervisor::handle(SteadyTime now, const Core::InstanceId& id, Entry& entry, const Messages::ClaimRuns& claimed)
{
    entry.isUpdateDue = true;
    this->stopUnclaimedRuns(now, id, claimed);
    std::erase_if(this->claims, [&](const auto& claim) { return claim.first == id; });
    for (const Messages::ClaimedRun& claim : claimed.runs)
        this->claims.emplace_back(id, claim);
    this->answerClaims(now);
}

void RunSupervisor::drain() { this->isShuttingDown = true; }

void RunSupervisor::setEvacuated(SteadyTime now, bool value)
{
    if (std::exchange(this->isEvacuated, value) == value)
        return;
    this->log.write(
        LogLevel::Info, value ? "evacuation begins" : "evacuation ends", { { "runs", this->runs.activeCount() } });
    if (!value)
        return;
    this->reservations = {};
    for (auto& [id, entry] : this->entries)
        entry.isUpdateDue = true;
    this->stopExpiredRuns(now);
}

RunRefusal RunSupervisor::startBlock() const
{
    if (this->worker.isDraining || this->isShuttingDown)
        return RunRefusal::Draining;
    return this->isEvacuated ? RunRefusal::Evacuated : RunRefusal::None;
}

std::vector<SupervisorAction> RunSupervisor::poll(SteadyTime now)
{
    this->stopExpiredRuns(now);
    this->endRunsOfExpiredLease(now);
    this->startQueued(now);
    this->renewLeaseIfDue(now);
    this->sendUpdates(now);
    this->runs.forgetEndedBefore(now - this->settings.endedRetention);
    return std::exchange(this->actions, {});
}

void RunSupervisor::stopExpiredRuns(SteadyTime now)
{
    const RunRefusal block = this->startBlock();
    for (auto& [task, run] : this->runs.all()) {
        if (run.phase == RunPhase::Stopping && now >= run.stopRetryAt)
            this->fire(now, run, RunEvent::StopUnanswered);
        if (run.phase == RunPhase::Ended || run.phase == RunPhase::Stopping)
            continue;
        if (run.phase == RunPhase::Queued && (now >= run.startBy || block != RunRefusal::None)) {
            this->endUnstartedRun(now, run, RunEvent::StopWanted, NoStartProof::NeverOrdered,
                now >= run.startBy ? RunRefusal::NoRoom : block);
            continue;
        }
        const auto entry = this->entries.find(run.entry);
        const bool isUnwanted = entry != this->entries.end()
            && (entry->second.incarnation != run.entryIncarnation || now >= entry->second.aliveUntil);
        if (!isUnwanted && now < run.deadline)
            continue;
        run.refusal = RunRefusal::Late;
        this->stopRun(now, run, isUnwanted ? "entry timed out" : "deadline");
    }
}

SteadyTime RunSupervisor::nextWakeUp() const
{
    SteadyTime due = this->reservations.nextExpiry();
    const bool isIdle = this->runs.activeCount() == 0 && this->worker.isRunListKnown && this->unansweredCalls == 0
        && !this->hasDoubtfulCalls() && !this->announcedSuccessor;
    if (!isIdle && !this->isListPollPending)
        due = std::min(due, std::max(this->nextListPollAt, this->backoffUntil));
    for (const auto& [id, entry] : this->entries) {
        if (entry.connection != 0)
            due = std::min(due,
                entry.updatedAt
                    + (this->hasNews(entry) ? this->settings.loadUpdateInterval
                                            : this->settings.maximumUpdateInterval));
    }
    for (const auto& [task, run] : this->runs.all()) {
        if (run.phase == RunPhase::Ended)
            continue;
        if (run.phase == RunPhase::Stopping) {
            due = std::min(due, run.stopRetryAt);
            continue;
        }
        due = std::min(due, run.phase == RunPhase::Queued ? run.startBy : run.deadline);
        const auto entry = this->entries.find(run.entry);
        if (entry != this->entries.end())
            due = std::min(due, entry->second.aliveUntil);
    }
    return due;
}

void RunSupervisor::fire(SteadyTime now, Run& run, RunEvent event)
{
    this->runs.fire(run, event, now, [&](RunAction action) {
        switch (action) {
        case RunAction::OrderStart:
            this->metrics.runWaited(now - run.queuedAt);
            this->sendStart(now, run);
            break;
        case RunAction::ReportRunning:
            run.startedAt = now;
            run.progressReadAt = now;
            run.expectedEnd = now + run.expectedTime;
            this->addReport(now, run);
            break;
        case RunAction::ReportEnd:
            this->logEnd(now, run, event);
            if (run.startedAt != SteadyTime {})
                this->recordEnd(now, run);
            this->metrics.runEnded(
                run.end, run.startedAt != SteadyTime {} ? now - run.startedAt : Core::Duration::zero());
            this->report(now, run);
            this->reportRefusedStarts(run);
            break;
        case RunAction::VoidOlderOrders:
            // The fencing token was raised when the call went unanswered; the next call carries it.
            this->nextListPollAt = now;
            break;
        case RunAction::OrderStop:
            this->sendStop(now, run);
            break;
        }
    });
}

void RunSupervisor::stopRun(SteadyTime now, Run& run, std::string_view reason)
{
    if (run.phase == RunPhase::Ended || run.phase == RunPhase::Stopping)
        return;
    run.stopWantedAt = now;
    const auto entry = this->entries.find(run.entry);
    run.mustEndBy = entry != this->entries.end() ? entry->second.provenAliveAt + this->settings.callerRetryDelay : now;
    this->log.write(LogLevel::Info, "run stopped",
        { { "job", Messages::jobText(run.task.job) }, { "task", run.task.index }, { "run", run.number },
            { "entry", run.entry }, { "order", run.order }, { "reason", std::string(reason) },
            { "phase", std::string(Core::enumName(run.phase)) } });
    if (run.phase == RunPhase::Queued)
        this->endUnstartedRun(now, run, RunEvent::StopWanted, NoStartProof::NeverOrdered, run.refusal);
    else
        this->fire(now, run, RunEvent::StopWanted);
}

void RunSupervisor::endRun(SteadyTime now, Run& run, RunEvent event, RunEnd end, RunRefusal refusal)
{
    CELERY_ASSERT(end != RunEnd::NotStarted);
    run.end = end;
    run.noStartProof.reset();
    run.refusal = refusal;
    this->fire(now, run, event);
}

void RunSupervisor::endUnstartedRun(SteadyTime now, Run& run, RunEvent event, NoStartProof proof, RunRefusal refusal)
{
    run.end = RunEnd::NotStarted;
    run.noStartProof = proof;
    run.refusal = refusal;
    this->fire(now, run, event);
}

}
