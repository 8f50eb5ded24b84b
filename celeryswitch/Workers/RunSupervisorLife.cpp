// Incarnations of the worker: its announcements, and the handling of its runs when an incarnation ends.
#include "celeryswitch/Workers/RunSupervisor.h"

namespace celeryswitch::Workers {

using Core::SteadyTime;
using Logging::LogLevel;

void RunSupervisor::adoptEntryProvidedWorker()
{
    // Valid only if a response of the worker has confirmed the same incarnation.
    if (this->worker.profile || !this->entryProvidedWorker || !this->worker.workerStartedAt
        || *this->worker.workerStartedAt != this->entryProvidedWorker->profile.bornAt)
        return;
    const Messages::WorkerProfile& known = this->entryProvidedWorker->profile;
    this->log.write(
        LogLevel::Info, "worker known from an entry", { { "worker", known.workerId }, { "born", known.bornAt } });
    this->worker.profile = WorkerAnnouncement { known.workerId, known.bornAt, known.service, known.capacity,
        known.labels, this->entryProvidedWorker->isDraining, 0, 0 };
    this->worker.isDraining = this->entryProvidedWorker->isDraining;
}

bool RunSupervisor::workerAnnounced(SteadyTime now, const WorkerAnnouncement& announcement)
{
    const bool isKnown = this->worker.profile.has_value();
    const bool isSameLife = isKnown
        ? this->worker.profile->workerId == announcement.workerId
            && this->worker.profile->workerStartedAt == announcement.workerStartedAt
        : !this->worker.workerStartedAt || *this->worker.workerStartedAt == announcement.workerStartedAt;
    if (!isSameLife) {
        if (this->worker.workerStartedAt && announcement.workerStartedAt < *this->worker.workerStartedAt)
            return false;
        this->endWorkerIncarnation(now, "another life announced itself");
    } else if (isKnown && announcement.sequence < this->worker.profile->sequence) {
        // Overtaken by a newer announcement of the same incarnation. Draining is never revoked.
        this->worker.isDraining = this->worker.isDraining || announcement.isDraining;
        return true;
    }
    if (!this->worker.profile)
        this->log.write(LogLevel::Info, "worker announced itself",
            { { "worker", announcement.workerId }, { "born", announcement.workerStartedAt },
                { "cores", announcement.capacity.milliCores / 1000 } });
    if (announcement.isDraining && !this->worker.isDraining)
        this->log.write(LogLevel::Info, "worker drains", { { "worker", announcement.workerId } });
    this->worker.profile = announcement;
    this->worker.workerStartedAt = announcement.workerStartedAt;
    this->worker.isDraining = this->worker.isDraining || announcement.isDraining;
    this->worker.clock.sample(now, announcement.clock);
    return true;
}

void RunSupervisor::workerLeft(SteadyTime now, const std::string& workerId)
{
    if (this->worker.profile && this->worker.profile->workerId == workerId)
        this->endWorkerIncarnation(now, "worker left");
}

void RunSupervisor::endWorkerIncarnation(SteadyTime now, std::string_view reason)
{
    this->log.write(LogLevel::Info, "worker life ended",
        { { "worker", this->worker.profile ? this->worker.profile->workerId : "" }, { "reason", std::string(reason) },
            { "runs", static_cast<std::uint64_t>(this->runs.activeCount()) } });
    this->worker = {};
    this->pending.clear();
    this->isLongPollPending = false;
    this->isListPollPending = false;
    this->unansweredCalls = 0;
    this->nextListPollAt = now;
    this->health = {};
    for (auto& [task, run] : this->runs.all()) {
        if (run.phase == RunPhase::Queued)
            this->endRun(now, run, RunEvent::Lost, RunEnd::NotStarted, RunRefusal::Unhealthy);
        else if (run.phase != RunPhase::Ended)
            this->endRun(now, run, RunEvent::Lost, RunEnd::Lost);
    }
}

void RunSupervisor::endRunsOfExpiredLease(SteadyTime now)
{
    if (this->runs.activeCount() == 0 || this->unansweredCalls < unansweredCallLimit || !this->worker.clock.isKnown()
        || now < this->worker.clock.certainlyPassedAt(this->worker.leaseEnd) + this->settings.stopTimeout)
        return;
    for (auto& [task, run] : this->runs.all()) {
        if (run.phase != RunPhase::Ended && run.phase != RunPhase::Queued)
            this->endRun(now, run, RunEvent::Lost, RunEnd::Lapsed);
    }
}

std::optional<Messages::WorkerProfile> RunSupervisor::workerProfile() const
{
    return this->worker.profile ? std::optional(this->profile()) : std::nullopt;
}

bool RunSupervisor::isReady() const
{
    return this->worker.profile && this->worker.isRunListKnown && !this->worker.isDraining && !this->isShuttingDown
        && this->unansweredCalls < unansweredCallLimit;
}

Messages::WorkerProfile RunSupervisor::profile() const
{
    if (!this->worker.profile)
        return {};
    const WorkerAnnouncement& known = *this->worker.profile;
    return { known.workerId, known.workerStartedAt, known.service, known.capacity, known.labels };
}

}
