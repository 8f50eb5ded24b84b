// The worker's lives: what it says of itself, and what becomes of its runs when a life ends.
#include "celeryswitch/Workers/RunSupervisor.h"

namespace celeryswitch::Workers {

using Core::SteadyTime;
using Logging::LogLevel;

void RunSupervisor::useKnownWorker()
{
    // An answer of the worker has shown which life it lives.
    if (this->life.profile || !this->offered || !this->life.bornAt
        || *this->life.bornAt != this->offered->profile.bornAt)
        return;
    const Messages::WorkerProfile& known = this->offered->profile;
    this->log.write(
        LogLevel::Info, "worker known from an entry", { { "worker", known.workerId }, { "born", known.bornAt } });
    this->life.profile = WorkerAnnouncement { known.workerId, known.bornAt, known.service, known.capacity, known.labels,
        this->offered->isDraining, 0, 0 };
    this->life.isDraining = this->offered->isDraining;
}

bool RunSupervisor::announced(SteadyTime now, const WorkerAnnouncement& announcement)
{
    const bool isKnown = this->life.profile.has_value();
    const bool isSameLife = isKnown
        ? this->life.profile->workerId == announcement.workerId && this->life.profile->bornAt == announcement.bornAt
        : !this->life.bornAt || *this->life.bornAt == announcement.bornAt;
    if (!isSameLife) {
        if (this->life.bornAt && announcement.bornAt < *this->life.bornAt)
            return false;
        this->endLife(now, "another life announced itself");
    } else if (isKnown && announcement.sequence < this->life.profile->sequence) {
        // Overtaken by a newer one of the same life. That it drains is never taken back.
        this->life.isDraining = this->life.isDraining || announcement.isDraining;
        return true;
    }
    if (!this->life.profile)
        this->log.write(LogLevel::Info, "worker announced itself",
            { { "worker", announcement.workerId }, { "born", announcement.bornAt },
                { "cores", announcement.capacity.milliCores / 1000 } });
    if (announcement.isDraining && !this->life.isDraining)
        this->log.write(LogLevel::Info, "worker drains", { { "worker", announcement.workerId } });
    this->life.profile = announcement;
    this->life.bornAt = announcement.bornAt;
    this->life.isDraining = this->life.isDraining || announcement.isDraining;
    this->life.clock.sample(now, announcement.clock);
    return true;
}

void RunSupervisor::workerLeft(SteadyTime now, const std::string& workerId)
{
    if (this->life.profile && this->life.profile->workerId == workerId)
        this->endLife(now, "worker left");
}

void RunSupervisor::endLife(SteadyTime now, std::string_view reason)
{
    this->log.write(LogLevel::Info, "worker life ended",
        { { "worker", this->life.profile ? this->life.profile->workerId : "" }, { "reason", std::string(reason) },
            { "runs", static_cast<std::uint64_t>(this->runs.activeCount()) } });
    this->life = {};
    this->pending.clear();
    this->isLongPollOut = false;
    this->isLookOut = false;
    this->unansweredCalls = 0;
    this->nextLook = now;
    this->health = {};
    for (auto& [task, run] : this->runs.all()) {
        if (run.phase == RunPhase::Queued)
            this->endRun(now, run, RunEvent::Lost, RunEnd::NotStarted, RunRefusal::Unhealthy);
        else if (run.phase != RunPhase::Ended)
            this->endRun(now, run, RunEvent::Lost, RunEnd::Lost);
    }
}

void RunSupervisor::loseLapsed(SteadyTime now)
{
    if (this->runs.activeCount() == 0 || this->unansweredCalls < unansweredLimit || !this->life.clock.isKnown()
        || now < this->life.clock.passedAt(this->life.leaseEnd) + this->settings.stopTime)
        return;
    for (auto& [task, run] : this->runs.all()) {
        if (run.phase != RunPhase::Ended && run.phase != RunPhase::Queued)
            this->endRun(now, run, RunEvent::Lost, RunEnd::Lapsed);
    }
}

std::optional<Messages::WorkerProfile> RunSupervisor::workerProfile() const
{
    return this->life.profile ? std::optional(this->profile()) : std::nullopt;
}

bool RunSupervisor::isReady() const
{
    return this->life.profile && this->life.isListed && !this->life.isDraining && !this->isDrained
        && this->unansweredCalls < unansweredLimit;
}

Messages::WorkerProfile RunSupervisor::profile() const
{
    if (!this->life.profile)
        return {};
    const WorkerAnnouncement& known = *this->life.profile;
    return { known.workerId, known.bornAt, known.service, known.capacity, known.labels };
}

}
