#include "celeryswitch/Workers/RunSupervisor.h"

namespace celeryswitch::Workers {

using Core::SteadyTime;
using Logging::LogLevel;
using Messages::RunState;

RunSupervisor::RunSupervisor(
    SupervisorSettings settings, Logging::StructuredLog& log, Metrics::MetricRegistry& registry, SteadyTime now)
    : settings(settings)
    , log(log)
    , metrics(registry)
    , startedAt(now)
    , nextLook(now)
    , contactAt(now)
{
}

void RunSupervisor::received(SteadyTime now, std::uint64_t connection, Messages::WorkMessage message)
{
    Core::InstanceId id;
    Entry* entry = this->entryOf(connection, &id);
    if (!entry)
        return;
    if (auto* start = std::get_if<Messages::StartRuns>(&message)) {
        this->permit(now, *entry, start->clockEcho);
        this->handle(now, id, *entry, *start);
    } else if (const auto* stop = std::get_if<Messages::StopRuns>(&message)) {
        this->permit(now, *entry, stop->clockEcho);
        this->handle(now, *entry, *stop);
    } else if (const auto* alive = std::get_if<Messages::EntryAlive>(&message)) {
        this->permit(now, *entry, alive->clockEcho);
    } else if (const auto* claimed = std::get_if<Messages::ClaimRuns>(&message)) {
        this->handle(now, id, *entry, *claimed);
    } else if (auto* known = std::get_if<Messages::KnownWorker>(&message)) {
        if (!this->offered || known->profile.bornAt >= this->offered->profile.bornAt)
            this->offered = std::move(*known);
        this->useKnownWorker();
    }
}

RunRefusal RunSupervisor::refusalOf(const Messages::StartRuns& order, const TaskId& task)
{
    if (!this->life.profile || !this->life.isListed || !this->life.clock.isKnown()
        || this->unansweredCalls >= unansweredLimit)
        return RunRefusal::Unhealthy;
    if (this->life.isDraining || this->isDrained)
        return RunRefusal::Draining;
    const Run* known = this->runs.find(task);
    if (known && known->phase != RunPhase::Ended)
        return RunRefusal::TaskBusy;
    if (!order.need.fits(this->life.profile->capacity))
        return RunRefusal::NoRoom;
    return RunRefusal::None;
}

void RunSupervisor::handle(SteadyTime now, const Core::InstanceId& id, Entry& entry, Messages::StartRuns& order)
{
    entry.handledSequence = std::max(entry.handledSequence, order.sequence);
    const auto content = std::make_shared<const std::string>(std::move(order.content));
    for (const auto& [index, number] : order.tasks) {
        const TaskId task { order.job, order.occurrence, order.step, index };
        RunRefusal refusal = this->refusalOf(order, task);
        if (refusal == RunRefusal::None && now >= entry.permittedUntil)
            refusal = RunRefusal::Late;
        if (refusal != RunRefusal::None) {
            entry.reports.push_back({ task, number, RunState::Ended, RunEnd::NotStarted, refusal, 0, 0 });
            entry.isUpdateDue = true;
            if (refusal == RunRefusal::TaskBusy)
                this->fire(now, *this->runs.find(task), RunEvent::StopWanted);
            continue;
        }
        Run run;
        run.task = task;
        run.number = number;
        if (const Run* ended = this->runs.find(task))
            run.number = std::max(number, ended->number + 1);
        run.entry = id;
        run.entryIncarnation = entry.incarnation;
        run.need = order.need;
        run.rank = order.rank;
        run.content = content;
        run.expectedTime = std::chrono::milliseconds(order.expectedMilliseconds);
        run.queuedAt = now;
        run.startBy = now + std::chrono::microseconds(order.startWithinMicroseconds);
        if (order.deadlineMicroseconds > 0)
            run.deadline = now + std::chrono::microseconds(order.deadlineMicroseconds);
        this->runs.add(std::move(run));
    }
    this->startQueued(now);
}

bool RunSupervisor::isStartable(SteadyTime now, const Run& run) const
{
    if (!this->isReady() || !run.need.fits(this->life.profile->capacity - this->runs.used()))
        return false;
    return !this->health.isOnProbation() || (this->runs.activeCount() == 0 && now >= this->health.probeAt());
}

void RunSupervisor::startQueued(SteadyTime now)
{
    // The best run waits for room that is large enough; smaller ones behind it would take it away.
    while (!this->runs.queue().empty()) {
        Run& best = *this->runs.find(this->runs.queue().begin()->second);
        if (now >= best.startBy)
            this->endRun(now, best, RunEvent::StopWanted, RunEnd::NotStarted, RunRefusal::NoRoom);
        else if (this->isStartable(now, best))
            this->fire(now, best, RunEvent::RoomGranted);
        else
            break;
    }
}

void RunSupervisor::handle(SteadyTime now, Entry& entry, const Messages::StopRuns& order)
{
    for (const TaskId& task : order.tasks) {
        Run* run = this->runs.find(task);
        if (run && run->entryIncarnation == entry.incarnation)
            this->fire(now, *run, RunEvent::StopWanted);
    }
}

void RunSupervisor::handle(SteadyTime now, const Core::InstanceId& id, Entry& entry, const Messages::ClaimRuns& claimed)
{
    entry.isUpdateDue = true;
    for (const Messages::ClaimedRun& claim : claimed.runs)
        this->claims.emplace_back(id, claim);
    this->answerClaims(now);
}

void RunSupervisor::drain() { this->isDrained = true; }

std::vector<SupervisorAction> RunSupervisor::poll(SteadyTime now)
{
    this->stopExpired(now);
    this->loseLapsed(now);
    this->startQueued(now);
    this->holdIfDue(now);
    this->sendUpdates(now);
    this->runs.forgetEndedBefore(now - this->settings.endedRetention);
    return std::exchange(this->actions, {});
}

void RunSupervisor::stopExpired(SteadyTime now)
{
    for (auto& [task, run] : this->runs.all()) {
        if (run.phase == RunPhase::Stopping && now >= run.stopAgainAt)
            this->fire(now, run, RunEvent::StopUnanswered);
        if (run.phase == RunPhase::Ended || run.phase == RunPhase::Stopping)
            continue;
        if (run.phase == RunPhase::Queued && (now >= run.startBy || this->life.isDraining || this->isDrained)) {
            this->endRun(now, run, RunEvent::StopWanted, RunEnd::NotStarted,
                now >= run.startBy ? RunRefusal::NoRoom : RunRefusal::Draining);
            continue;
        }
        const auto entry = this->entries.find(run.entry);
        const bool isUnwanted = entry != this->entries.end()
            && (entry->second.incarnation != run.entryIncarnation || now >= entry->second.permittedUntil);
        if (!isUnwanted && now < run.deadline)
            continue;
        this->log.write(LogLevel::Info, "run stopped",
            { { "job", Messages::jobText(task.job) }, { "task", task.index }, { "entry", run.entry },
                { "reason", isUnwanted ? "entry silent" : "deadline" } });
        run.refusal = RunRefusal::Late;
        this->fire(now, run, RunEvent::StopWanted);
    }
}

SteadyTime RunSupervisor::nextWakeUp() const
{
    SteadyTime due = SteadyTime::max();
    const bool isIdle = this->runs.activeCount() == 0 && this->life.isListed && this->unansweredCalls == 0;
    if (!isIdle && !this->isLookOut)
        due = std::max(this->nextLook, this->pausedUntil);
    const Messages::Room free = this->freeRoom();
    for (const auto& [id, entry] : this->entries) {
        const bool hasNews = entry.isReadySent != this->isReady() || !(entry.freeSent == free);
        if (entry.connection != 0)
            due = std::min(
                due, entry.updatedAt + (hasNews ? this->settings.statusInterval : this->settings.aliveInterval));
    }
    for (const auto& [task, run] : this->runs.all()) {
        if (run.phase == RunPhase::Ended)
            continue;
        if (run.phase == RunPhase::Stopping) {
            due = std::min(due, run.stopAgainAt);
            continue;
        }
        due = std::min(due, run.phase == RunPhase::Queued ? run.startBy : run.deadline);
        const auto entry = this->entries.find(run.entry);
        if (entry != this->entries.end())
            due = std::min(due, entry->second.permittedUntil);
    }
    return due;
}

void RunSupervisor::collect(SteadyTime now, Metrics::MetricRegistry& registry) const
{
    const auto set
        = [&registry](const char* name, const char* help, double value) { registry.gauge(name, help).set(value); };
    std::size_t connected = 0;
    for (const auto& [id, entry] : this->entries)
        connected += entry.connection != 0 ? 1 : 0;
    set("celeryswitch_entries_connected", "Entries that are connected.", static_cast<double>(connected));
    set("celeryswitch_runs_active", "Runs that were started and have not ended.",
        static_cast<double>(this->runs.activeCount()));
    set("celeryswitch_runs_queued", "Runs that wait for room.", static_cast<double>(this->runs.queue().size()));
    set("celeryswitch_used_millicores", "Room that runs use.", static_cast<double>(this->runs.used().milliCores));
    set("celeryswitch_free_millicores", "Room that no run uses.", static_cast<double>(this->freeRoom().milliCores));
    set("celeryswitch_pace_percent", "Speed of the worker against the expected times.", this->health.pacePercent(now));
    set("celeryswitch_on_probation", "Whether the worker gets one run at a time.",
        this->health.isOnProbation() ? 1 : 0);
    set("celeryswitch_ready", "Whether runs can be started.", this->isReady() ? 1 : 0);
    set("celeryswitch_unanswered_calls", "Orders in a row without an answer.", this->unansweredCalls);
    set("celeryswitch_contact_age_seconds", "Time since the worker answered an order.",
        std::chrono::duration<double>(now - this->contactAt).count());
    set("celeryswitch_lease_left_seconds", "Time until the worker's lease ends; negative when it is over.",
        this->life.clock.isKnown() ? static_cast<double>(this->life.leaseEnd - this->life.clock.at(now)) / 1000 : 0);
}

void RunSupervisor::fire(SteadyTime now, Run& run, RunEvent event)
{
    this->runs.fire(run, event, now, [&](RunAction action) {
        switch (action) {
        case RunAction::OrderStart:
            this->metrics.runWaited(now - run.queuedAt);
            this->giveStart(now, run);
            break;
        case RunAction::ReportRunning:
            run.startedAt = now;
            run.percentAt = now;
            run.expectedEnd = now + run.expectedTime;
            break;
        case RunAction::ReportEnd:
            if (run.startedAt != SteadyTime {})
                this->judgeEnd(now, run);
            this->metrics.runEnded(
                run.end, run.startedAt != SteadyTime {} ? now - run.startedAt : Core::Duration::zero());
            this->report(now, run);
            break;
        case RunAction::VoidOlderOrders:
            this->raiseToken(now);
            run.orderedAt = now;
            this->nextLook = now;
            break;
        case RunAction::OrderStop:
            this->giveStop(now, run);
            break;
        }
    });
}

void RunSupervisor::judgeEnd(SteadyTime now, const Run& run)
{
    const bool wasOnProbation = this->health.isOnProbation();
    this->health.ended(now, run.end, run.need);
    this->logProbation(now, wasOnProbation, Core::enumName(run.end));
}

void RunSupervisor::judgeRefusal(SteadyTime now)
{
    const bool wasOnProbation = this->health.isOnProbation();
    this->health.refused(now);
    this->logProbation(now, wasOnProbation, Core::enumName(CallStatus::Unhealthy));
}

void RunSupervisor::logProbation(SteadyTime now, bool wasOnProbation, std::string_view cause)
{
    if (this->health.isOnProbation() == wasOnProbation)
        return;
    this->log.write(wasOnProbation ? LogLevel::Info : LogLevel::Warning,
        wasOnProbation ? "worker off probation" : "worker on probation",
        { { "worker", this->life.profile ? this->life.profile->workerId : "" }, { "end", std::string(cause) },
            { "pace_percent", this->health.pacePercent(now) } });
}

void RunSupervisor::endRun(SteadyTime now, Run& run, RunEvent event, RunEnd end, RunRefusal refusal)
{
    run.end = end;
    run.refusal = refusal;
    this->fire(now, run, event);
}

}
