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
    const bool isSameIncarnation = isKnown
        ? this->worker.profile->workerId == announcement.workerId
            && this->worker.profile->workerStartedAt == announcement.workerStartedAt
        : !this->worker.workerStartedAt || *this->worker.workerStartedAt == announcement.workerStartedAt;
    if (isSameIncarnation) {
        this->adoptAnnouncement(now, announcement);
        return true;
    }
    // It may be late, or of another writer. Only a response of the worker itself shows which incarnation runs.
    this->announcedSuccessor = announcement;
    this->successorAnnouncedAt = now;
    this->nextListPollAt = now;
    return !this->worker.workerStartedAt || announcement.workerStartedAt >= *this->worker.workerStartedAt;
}

void RunSupervisor::adoptAnnouncement(SteadyTime now, const WorkerAnnouncement& announcement)
{
    if (!this->worker.profile) {
        this->log.write(LogLevel::Info, "worker announced itself",
            { { "worker", announcement.workerId }, { "born", announcement.workerStartedAt },
                { "cores", announcement.capacity.milliCores / 1000 } });
        this->worker.profile = announcement;
        this->worker.workerStartedAt = announcement.workerStartedAt;
    }
    if (announcement.isDraining && !this->worker.isDraining)
        this->log.write(LogLevel::Info, "worker drains", { { "worker", announcement.workerId } });
    // Announcements may overtake each other; draining is never revoked.
    this->worker.isDraining = this->worker.isDraining || announcement.isDraining;
    this->worker.hasLeft = false;
    // Keeps the estimate close while no calls are sent.
    if (!this->worker.clock.isKnown() || announcement.clock <= this->worker.clock.at(now) + announcedClockTolerance)
        this->worker.clock.sample(now, announcement.clock);
}

void RunSupervisor::workerLeft(SteadyTime now, const std::string& workerId, std::optional<std::int64_t> workerStartedAt)
{
    if (!this->worker.profile || this->worker.profile->workerId != workerId
        || (workerStartedAt && workerStartedAt != this->worker.workerStartedAt))
        return;
    // It may still run what it has, and the message may be late: the worker's responses and its lease show what ended.
    this->log.write(LogLevel::Info, "worker deregistered",
        { { "worker", workerId }, { "runs", static_cast<std::uint64_t>(this->runs.activeCount()) } });
    this->worker.hasLeft = true;
    this->nextListPollAt = now;
}

bool RunSupervisor::identifyWorker(SteadyTime now, const PendingCall& call, const CallResult& result)
{
    if (!result.workerStartedAt)
        return true;
    const std::int64_t startedAt = *result.workerStartedAt;
    const bool isIdentified = this->worker.identifiedAt != SteadyTime {};
    if (this->worker.workerStartedAt && *this->worker.workerStartedAt != startedAt) {
        if (isIdentified && call.sentAt <= this->worker.identifiedAt) {
            this->log.write(LogLevel::Info, "response of an earlier incarnation ignored",
                { { "born", startedAt }, { "current_born", *this->worker.workerStartedAt } });
            return false;
        }
        this->log.write(LogLevel::Info, "worker life ended",
            { { "worker", this->worker.profile ? this->worker.profile->workerId : "" },
                { "reason", "another life answered" }, { "born", startedAt },
                { "runs", static_cast<std::uint64_t>(this->runs.activeCount()) } });
        this->worker = {};
        this->health = {};
        this->nextListPollAt = now;
        this->refuseQueued(now);
    }
    if (this->worker.identifiedAt == SteadyTime {}) {
        // The clock of an announcement may be old, or of another writer.
        this->worker.clock = {};
        this->worker.identifiedAt = call.sentAt;
        if (result.clock)
            this->worker.leaseEnd = *result.clock
                + std::chrono::duration_cast<std::chrono::milliseconds>(this->settings.longestLease).count();
    }
    this->worker.workerStartedAt = startedAt;
    this->voidEarlierProcesses(now, startedAt);
    if (const std::optional<WorkerAnnouncement> successor = this->announcedSuccessor;
        successor && call.sentAt >= this->successorAnnouncedAt) {
        this->announcedSuccessor.reset();
        if (successor->workerStartedAt == startedAt && !this->worker.profile)
            this->adoptAnnouncement(now, *successor);
        else
            this->log.write(LogLevel::Warning, "announcement contradicted by the worker",
                { { "worker", successor->workerId }, { "born", successor->workerStartedAt },
                    { "current_born", startedAt } });
    }
    this->adoptEntryProvidedWorker();
    return true;
}

void RunSupervisor::refuseQueued(SteadyTime now)
{
    this->reservations = {};
    for (auto& [task, run] : this->runs.all()) {
        if (run.phase == RunPhase::Queued)
            this->endUnstartedRun(now, run, RunEvent::Lost, NoStartProof::NeverOrdered, RunRefusal::OtherIncarnation);
    }
}

void RunSupervisor::endWorkerIncarnation(SteadyTime now, std::string_view reason)
{
    this->log.write(LogLevel::Info, "worker life ended",
        { { "worker", this->worker.profile ? this->worker.profile->workerId : "" }, { "reason", std::string(reason) },
            { "runs", static_cast<std::uint64_t>(this->runs.activeCount()) } });
    this->worker = {};
    // Nothing is known of the pending calls any more.
    this->pending.clear();
    this->doubtfulToken = this->fencingToken++;
    this->isLongPollPending = false;
    this->isListPollPending = false;
    this->unansweredCalls = 0;
    this->nextListPollAt = now;
    this->health = {};
    this->refuseQueued(now);
    for (auto& [task, run] : this->runs.all()) {
        if (run.phase != RunPhase::Ended)
            this->endRun(now, run, RunEvent::Lost, RunEnd::Lost);
    }
    if (const std::optional<WorkerAnnouncement> successor = std::exchange(this->announcedSuccessor, std::nullopt))
        this->adoptAnnouncement(now, *successor);
}

void RunSupervisor::endRunsOfExpiredLease(SteadyTime now)
{
    if (this->runs.activeCount() == 0 || this->unansweredCalls < unansweredCallLimit || !this->worker.clock.isKnown()
        || now < this->worker.clock.certainlyPassedAt(this->worker.leaseEnd) + this->settings.stopTimeout)
        return;
    for (auto& [task, run] : this->runs.all()) {
        if (run.phase != RunPhase::Ended && run.phase != RunPhase::Queued && !this->isStartInDoubt(run))
            this->endRun(now, run, RunEvent::Lost, RunEnd::Lapsed);
    }
}

bool RunSupervisor::isStartInDoubt(const Run& run) const
{
    return !run.isStartConfirmed && run.startToken >= this->worker.seenToken;
}

std::optional<Messages::WorkerProfile> RunSupervisor::workerProfile() const
{
    return this->worker.profile ? std::optional(this->profile()) : std::nullopt;
}

bool RunSupervisor::isReady() const
{
    return this->worker.profile && this->worker.isRunListKnown && this->startBlock() == Messages::RunRefusal::None
        && !this->worker.hasLeft && this->unansweredCalls < unansweredCallLimit;
}

Messages::WorkerProfile RunSupervisor::profile() const
{
    if (!this->worker.profile)
        return {};
    const WorkerAnnouncement& known = *this->worker.profile;
    return { known.workerId, known.workerStartedAt, known.service, known.capacity, known.labels };
}

}
