#include "celeryswitch/Dispatch/FairQueue.h"

#include "celeryswitch/Core/Assert.h"
#include <algorithm>
#include <cmath>

namespace celeryswitch::Dispatch {

using Core::Duration;
using Core::SteadyTime;

namespace {

// Shortest time between two updates of a reserve; reserves depend on slots in use, which change slowly compared to
// selections.
constexpr Duration reserveInterval = std::chrono::milliseconds(5);
// Slots are reserved from a long kind for kinds that are shorter by this factor. At 2 the reserve delayed kinds of
// medium length more than it helped short ones.
constexpr double shorterKindFactor = 6;
constexpr double floodWindowSeconds = 1;

double seconds(SteadyTime time) { return std::chrono::duration<double>(time.time_since_epoch()).count(); }

// Variance of the change of a kind's demand, in slots, during the time that a slot is held.
double demandVariance(double slotsInUse, double holdSeconds, double expectedSeconds)
{
    return slotsInUse * (1 - std::exp(-holdSeconds / expectedSeconds));
}

}

FairQueue::FairQueue(FairQueueSettings settings)
    : settings(settings)
{
}

void FairQueue::setKindWeight(KindIndex index, double weight)
{
    Kind& kind = this->kindOf(index);
    this->totalWeight += weight - kind.weight;
    kind.weight = weight;
}

void FairQueue::setExpectedRun(KindIndex index, Duration run)
{
    this->kindOf(index).expectedSeconds = std::max(1e-4, std::chrono::duration<double>(run).count());
}

void FairQueue::setTeamWeight(TeamIndex team, double weight) { this->teamWeights[team] = weight; }

void FairQueue::push(const Job& job)
{
    Kind& kind = this->kindOf(job->kind);
    kind.waiting += job->waiting();
    this->totalWaiting += job->waiting();
    TeamQueue& teamQueue = this->activateTeamQueue(kind.jobClasses[job->isBatched()], job->team);
    teamQueue.byUrgency[static_cast<std::size_t>(job->urgency)].push_back(job);
    job->isQueued = true;
}

void FairQueue::requeue(const Job& job, std::uint32_t task)
{
    job->requeued.push_back(task);
    Kind& kind = this->kindOf(job->kind);
    ++kind.waiting;
    ++this->totalWaiting;
    TeamQueue& teamQueue = this->activateTeamQueue(kind.jobClasses[job->isBatched()], job->team);
    if (!job->isQueued)
        teamQueue.byUrgency[static_cast<std::size_t>(job->urgency)].push_front(job);
    job->isQueued = true;
}

std::vector<std::uint32_t> FairQueue::cancel(const Job& job)
{
    this->kindOf(job->kind).waiting -= job->waiting();
    this->totalWaiting -= job->waiting();
    return job->takeAllWaiting();
}

FairQueue::Job FairQueue::next(SteadyTime now, const SlotView& slots)
{
    if (this->totalWaiting == 0 || slots.idle == 0)
        return nullptr;
    const double capacity = slots.idle + this->totalSlotsInUse;
    std::optional<Candidate> best;
    this->forEachHead(now, [&](KindIndex index, const Job& job) {
        this->updateReserves(now, index, capacity, slots.reservedFraction);
        const Kind& kind = this->kinds[index];
        Candidate candidate { job, this->virtualDeadlineOf(kind, job), this->isAboveShare(kind, capacity), 0 };
        double reserve = candidate.isAboveShare ? kind.reserveAboveShare : kind.reserveForShorter;
        if (job->isBatched())
            reserve = std::max(reserve, kind.reserveAboveShare);
        // A reserve never blocks a kind without running tasks, which could wait forever when the service has few slots.
        if (slots.idle < 1 + std::floor(reserve) && kind.slotsInUse >= 1)
            return;
        candidate.use = candidate.isAboveShare ? kind.slotsInUse / kind.weight : 0;
        const bool isBetter = !best
            || std::tie(candidate.isAboveShare, candidate.use, candidate.virtualDeadline)
                < std::tie(best->isAboveShare, best->use, best->virtualDeadline);
        if (isBetter)
            best = std::move(candidate);
    });
    return best ? best->job : nullptr;
}

std::vector<std::uint32_t> FairQueue::take(const Job& job, std::uint32_t count, double slots)
{
    Kind& kind = this->kindOf(job->kind);
    JobClass& jobClass = kind.jobClasses[job->isBatched()];
    std::vector<std::uint32_t> tasks;
    while (tasks.size() < count && job->waiting() > 0)
        tasks.push_back(job->takeTask());
    const auto taken = static_cast<std::uint32_t>(tasks.size());
    kind.waiting -= taken;
    this->totalWaiting -= taken;
    kind.slotsInUse += slots;
    this->totalSlotsInUse += slots;
    job->slotsInUse += slots;
    job->atSidecars += taken;
    TeamQueue& teamQueue = jobClass.teamQueues[job->team];
    const auto weight = this->teamWeights.find(job->team);
    jobClass.active.erase({ teamQueue.virtualTime, job->team });
    jobClass.virtualTime = std::max(jobClass.virtualTime, teamQueue.virtualTime);
    teamQueue.virtualTime += taken / (weight == this->teamWeights.end() ? 1.0 : weight->second);
    teamQueue.isActive = this->head(teamQueue) != nullptr;
    if (teamQueue.isActive)
        jobClass.active.insert({ teamQueue.virtualTime, job->team });
    return tasks;
}

void FairQueue::slotsFreed(KindIndex index, double slots)
{
    Kind& kind = this->kindOf(index);
    kind.slotsInUse = std::max(0.0, kind.slotsInUse - slots);
    this->totalSlotsInUse = std::max(0.0, this->totalSlotsInUse - slots);
}

void FairQueue::holdTeam(TeamIndex team, SteadyTime until) { this->holds[team] = until; }

std::uint32_t FairQueue::waiting(KindIndex kind) const
{
    return kind < this->kinds.size() ? this->kinds[kind].waiting : 0;
}

double FairQueue::shareOf(KindIndex kind) const
{
    const bool isKnown = kind < this->kinds.size() && this->kinds[kind].isKnown;
    return isKnown ? this->kinds[kind].weight / this->totalWeight : 1;
}

std::optional<Duration> FairQueue::minimumSlack(SteadyTime now, const SlotView& slots)
{
    if (this->totalWaiting == 0)
        return std::nullopt;
    const double capacity = slots.idle + this->totalSlotsInUse;
    std::optional<double> best;
    this->forEachHead(now, [&](KindIndex index, const Job& job) {
        const Kind& kind = this->kinds[index];
        if (this->needsCredits(kind, job, capacity))
            best = std::min(best.value_or(1e18), this->virtualDeadlineOf(kind, job));
    });
    if (!best)
        return std::nullopt;
    return Duration(static_cast<std::int64_t>((*best - seconds(now)) * 1e9));
}

std::optional<SteadyTime> FairQueue::firstOverdue(SteadyTime now, const SlotView& slots, double factor)
{
    if (this->totalWaiting == 0)
        return std::nullopt;
    const double capacity = slots.idle + this->totalSlotsInUse;
    std::optional<SteadyTime> first;
    this->forEachHead(now, [&](KindIndex index, const Job& job) {
        const Kind& kind = this->kinds[index];
        if (!this->needsCredits(kind, job, capacity))
            return;
        const SteadyTime overdueAt
            = job->enqueuedAt + Duration(static_cast<std::int64_t>(factor * kind.expectedSeconds * 1e9));
        first = std::min(first.value_or(overdueAt), overdueAt);
    });
    return first;
}

std::optional<SteadyTime> FairQueue::nextHoldEnd() const
{
    std::optional<SteadyTime> next;
    for (const auto& [team, until] : this->holds)
        next = std::min(next.value_or(until), until);
    return next;
}

FairQueue::Kind& FairQueue::kindOf(KindIndex index)
{
    if (this->kinds.size() <= index)
        this->kinds.resize(index + 1);
    Kind& kind = this->kinds[index];
    if (!kind.isKnown) {
        kind.isKnown = true;
        this->knownKinds.push_back(index);
        this->totalWeight += kind.weight;
    }
    return kind;
}

FairQueue::TeamQueue& FairQueue::activateTeamQueue(JobClass& jobClass, TeamIndex team)
{
    TeamQueue& teamQueue = jobClass.teamQueues[team];
    if (!teamQueue.isActive) {
        // A team that was idle resumes at the current virtual time and can't accumulate unused service.
        teamQueue.virtualTime = std::max(teamQueue.virtualTime, jobClass.virtualTime);
        teamQueue.isActive = true;
        jobClass.active.insert({ teamQueue.virtualTime, team });
    }
    return teamQueue;
}

FairQueue::Job FairQueue::head(SteadyTime now, JobClass& jobClass)
{
    for (auto entry = jobClass.active.begin(); entry != jobClass.active.end();) {
        const TeamIndex team = entry->second;
        if (this->isHeld(now, team)) {
            ++entry;
            continue;
        }
        TeamQueue& teamQueue = jobClass.teamQueues[team];
        if (Job job = this->head(teamQueue))
            return job;
        teamQueue.isActive = false;
        entry = jobClass.active.erase(entry);
    }
    return nullptr;
}

FairQueue::Job FairQueue::head(TeamQueue& teamQueue)
{
    for (auto jobs = teamQueue.byUrgency.rbegin(); jobs != teamQueue.byUrgency.rend(); ++jobs) {
        while (!jobs->empty()) {
            if (jobs->front()->waiting() > 0)
                return jobs->front();
            jobs->front()->isQueued = false;
            jobs->pop_front();
        }
    }
    return nullptr;
}

bool FairQueue::isHeld(SteadyTime now, TeamIndex team)
{
    if (this->holds.empty())
        return false;
    const auto found = this->holds.find(team);
    if (found == this->holds.end())
        return false;
    if (found->second > now)
        return true;
    this->holds.erase(found);
    return false;
}

void FairQueue::updateReserves(SteadyTime now, KindIndex index, double capacity, double reservedFraction)
{
    Kind& kind = this->kinds[index];
    if (kind.reservesUpdatedAt != SteadyTime {} && now - kind.reservesUpdatedAt < reserveInterval)
        return;
    kind.reservesUpdatedAt = now;
    double others = 0;
    double shorter = 0;
    for (KindIndex otherIndex : this->knownKinds) {
        const Kind& other = this->kinds[otherIndex];
        if (otherIndex == index)
            continue;
        const double variance = demandVariance(other.slotsInUse, kind.expectedSeconds, other.expectedSeconds);
        others += variance;
        if (other.expectedSeconds < kind.expectedSeconds / shorterKindFactor)
            shorter += variance;
    }
    const double configured = std::ceil(reservedFraction * capacity);
    kind.reserveAboveShare
        = std::min(std::max(configured, this->settings.reserveAboveShare * std::sqrt(others)), capacity / 2);
    kind.reserveForShorter = std::min(this->settings.reserveForShorter * std::sqrt(shorter), capacity / 4);
}

bool FairQueue::isAboveShare(const Kind& kind, double capacity) const
{
    const double share = capacity * kind.weight / this->totalWeight;
    const double tolerance = this->settings.shareTolerance * std::sqrt(share);
    // Random variation lasts about a second or a few run times. A kind with more waiting tasks than its share completes
    // in that time is in a burst and loses the tolerance, because the other kinds need those slots.
    const double expectedMaximumWaiting
        = (share + tolerance) * std::max(1.0, floodWindowSeconds / kind.expectedSeconds);
    return kind.slotsInUse + 1 > (kind.waiting > expectedMaximumWaiting ? share : share + tolerance);
}

bool FairQueue::needsCredits(const Kind& kind, const Job& job, double capacity) const
{
    // Without credits the capacity is zero, and every kind would count as above its share; a kind with no running task
    // must not.
    return kind.slotsInUse < 1 || (!job->isBatched() && !this->isAboveShare(kind, capacity));
}

double FairQueue::expectedSlotSeconds(const Kind& kind, const Job& job)
{
    return kind.expectedSeconds * (job->isBatched() ? minimumBatchTasks : 1);
}

double FairQueue::virtualDeadlineOf(const Kind& kind, const Job& job) const
{
    return seconds(job->enqueuedAt) + this->settings.slackPerExpectedRun * expectedSlotSeconds(kind, job);
}

template <typename F> void FairQueue::forEachHead(SteadyTime now, F&& visit)
{
    for (KindIndex index : this->knownKinds) {
        if (this->kinds[index].waiting == 0)
            continue;
        for (JobClass& jobClass : this->kinds[index].jobClasses) {
            if (const Job job = this->head(now, jobClass))
                visit(index, job);
        }
    }
}

}
