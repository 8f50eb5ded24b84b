#include "celeryswitch/Dispatch/FairQueue.h"

#include "celeryswitch/Core/Assert.h"
#include <algorithm>
#include <cmath>

namespace celeryswitch::Dispatch {

using Core::Duration;
using Core::SteadyTime;

namespace {

// Reserves are recomputed at most this often; they depend on slots in use, which change slowly compared to picks.
constexpr Duration reserveInterval = std::chrono::milliseconds(5);
// Kinds this many times shorter are kept slots from a long kind. At 2 the reserve delayed middling kinds more than it
// helped short ones.
constexpr double muchShorter = 6;
constexpr double floodSeconds = 1;

double seconds(SteadyTime time) { return std::chrono::duration<double>(time.time_since_epoch()).count(); }

// Part of a kind's current use that turns over while a slot is lent: the variance of the change of its demand over that
// time, in slots.
double demandVariance(double slotsInUse, double lentSeconds, double expectedSeconds)
{
    return slotsInUse * (1 - std::exp(-lentSeconds / expectedSeconds));
}

}

FairQueue::FairQueue(FairQueueSettings settings)
    : settings(settings)
{
}

void FairQueue::setKindWeight(KindIndex index, double weight)
{
    Kind& kind = this->kindOf(index);
    this->seenWeight += weight - kind.weight;
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
    this->waitingTotal += job->waiting();
    Lane& lane = this->activeLane(kind.groups[job->isBatched()], job->team);
    lane.byUrgency[static_cast<std::size_t>(job->urgency)].push_back(job);
    job->isListed = true;
}

void FairQueue::putBack(const Job& job, std::uint32_t task)
{
    job->returned.push_back(task);
    Kind& kind = this->kindOf(job->kind);
    ++kind.waiting;
    ++this->waitingTotal;
    Lane& lane = this->activeLane(kind.groups[job->isBatched()], job->team);
    if (!job->isListed)
        lane.byUrgency[static_cast<std::size_t>(job->urgency)].push_front(job);
    job->isListed = true;
}

std::vector<std::uint32_t> FairQueue::cancel(const Job& job)
{
    this->kindOf(job->kind).waiting -= job->waiting();
    this->waitingTotal -= job->waiting();
    return job->takeAll();
}

FairQueue::Job FairQueue::next(SteadyTime now, const SlotView& slots)
{
    if (this->waitingTotal == 0 || slots.idle == 0)
        return nullptr;
    const double capacity = slots.idle + this->slotsTotal;
    std::optional<Candidate> best;
    this->forEachHead(now, [&](KindIndex index, const Job& job) {
        this->refreshReserves(now, index, capacity, slots.reservedPart);
        const Kind& kind = this->kinds[index];
        Candidate candidate { job, this->placeOf(kind, job), this->isAboveShare(kind, capacity), 0 };
        double reserve = candidate.isAboveShare ? kind.reserveAboveShare : kind.reserveForShorter;
        if (job->isBatched())
            reserve = std::max(reserve, kind.reserveAboveShare);
        // A reserve never blocks a kind that uses nothing: with few slots in sight it could wait forever.
        if (slots.idle < 1 + std::floor(reserve) && kind.slots >= 1)
            return;
        candidate.use = candidate.isAboveShare ? kind.slots / kind.weight : 0;
        const bool isBetter = !best
            || std::tie(candidate.isAboveShare, candidate.use, candidate.place)
                < std::tie(best->isAboveShare, best->use, best->place);
        if (isBetter)
            best = std::move(candidate);
    });
    return best ? best->job : nullptr;
}

std::vector<std::uint32_t> FairQueue::take(const Job& job, std::uint32_t count, double slots)
{
    Kind& kind = this->kindOf(job->kind);
    Group& group = kind.groups[job->isBatched()];
    std::vector<std::uint32_t> tasks;
    while (tasks.size() < count && job->waiting() > 0)
        tasks.push_back(job->takeTask());
    const auto taken = static_cast<std::uint32_t>(tasks.size());
    kind.waiting -= taken;
    this->waitingTotal -= taken;
    kind.slots += slots;
    this->slotsTotal += slots;
    job->slotsInUse += slots;
    job->atSidecars += taken;
    Lane& lane = group.lanes[job->team];
    const auto weight = this->teamWeights.find(job->team);
    group.active.erase({ lane.virtualTime, job->team });
    group.virtualTime = std::max(group.virtualTime, lane.virtualTime);
    lane.virtualTime += taken / (weight == this->teamWeights.end() ? 1.0 : weight->second);
    lane.isActive = this->head(lane) != nullptr;
    if (lane.isActive)
        group.active.insert({ lane.virtualTime, job->team });
    return tasks;
}

void FairQueue::slotsFreed(KindIndex index, double slots)
{
    Kind& kind = this->kindOf(index);
    kind.slots = std::max(0.0, kind.slots - slots);
    this->slotsTotal = std::max(0.0, this->slotsTotal - slots);
}

void FairQueue::holdTeam(TeamIndex team, SteadyTime until) { this->holds[team] = until; }

std::uint32_t FairQueue::waiting(KindIndex kind) const
{
    return kind < this->kinds.size() ? this->kinds[kind].waiting : 0;
}

double FairQueue::shareOf(KindIndex kind) const
{
    const bool isSeen = kind < this->kinds.size() && this->kinds[kind].isSeen;
    return isSeen ? this->kinds[kind].weight / this->seenWeight : 1;
}

std::optional<Duration> FairQueue::bestSlack(SteadyTime now, const SlotView& slots)
{
    if (this->waitingTotal == 0)
        return std::nullopt;
    const double capacity = slots.idle + this->slotsTotal;
    std::optional<double> best;
    this->forEachHead(now, [&](KindIndex index, const Job& job) {
        const Kind& kind = this->kinds[index];
        if (this->isPressing(kind, job, capacity))
            best = std::min(best.value_or(1e18), this->placeOf(kind, job));
    });
    if (!best)
        return std::nullopt;
    return Duration(static_cast<std::int64_t>((*best - seconds(now)) * 1e9));
}

std::optional<SteadyTime> FairQueue::firstBehind(SteadyTime now, const SlotView& slots, double part)
{
    if (this->waitingTotal == 0)
        return std::nullopt;
    const double capacity = slots.idle + this->slotsTotal;
    std::optional<SteadyTime> first;
    this->forEachHead(now, [&](KindIndex index, const Job& job) {
        const Kind& kind = this->kinds[index];
        if (!this->isPressing(kind, job, capacity))
            return;
        const SteadyTime behind
            = job->enqueuedAt + Duration(static_cast<std::int64_t>(part * kind.expectedSeconds * 1e9));
        first = std::min(first.value_or(behind), behind);
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
    if (!kind.isSeen) {
        kind.isSeen = true;
        this->seenKinds.push_back(index);
        this->seenWeight += kind.weight;
    }
    return kind;
}

FairQueue::Lane& FairQueue::activeLane(Group& group, TeamIndex team)
{
    Lane& lane = group.lanes[team];
    if (!lane.isActive) {
        // A team that was idle starts level with the others; it can't save up unused service.
        lane.virtualTime = std::max(lane.virtualTime, group.virtualTime);
        lane.isActive = true;
        group.active.insert({ lane.virtualTime, team });
    }
    return lane;
}

FairQueue::Job FairQueue::head(SteadyTime now, Group& group)
{
    for (auto entry = group.active.begin(); entry != group.active.end();) {
        const TeamIndex team = entry->second;
        if (this->isHeld(now, team)) {
            ++entry;
            continue;
        }
        Lane& lane = group.lanes[team];
        if (Job job = this->head(lane))
            return job;
        lane.isActive = false;
        entry = group.active.erase(entry);
    }
    return nullptr;
}

FairQueue::Job FairQueue::head(Lane& lane)
{
    for (auto jobs = lane.byUrgency.rbegin(); jobs != lane.byUrgency.rend(); ++jobs) {
        while (!jobs->empty()) {
            if (jobs->front()->waiting() > 0)
                return jobs->front();
            jobs->front()->isListed = false;
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

void FairQueue::refreshReserves(SteadyTime now, KindIndex index, double capacity, double reservedPart)
{
    Kind& kind = this->kinds[index];
    if (kind.reservesAt != SteadyTime {} && now - kind.reservesAt < reserveInterval)
        return;
    kind.reservesAt = now;
    double others = 0;
    double shorter = 0;
    for (KindIndex otherIndex : this->seenKinds) {
        const Kind& other = this->kinds[otherIndex];
        if (otherIndex == index)
            continue;
        const double variance = demandVariance(other.slots, kind.expectedSeconds, other.expectedSeconds);
        others += variance;
        if (other.expectedSeconds < kind.expectedSeconds / muchShorter)
            shorter += variance;
    }
    const double configured = std::ceil(reservedPart * capacity);
    kind.reserveAboveShare
        = std::min(std::max(configured, this->settings.reserveAboveShare * std::sqrt(others)), capacity / 2);
    kind.reserveForShorter = std::min(this->settings.reserveForShorter * std::sqrt(shorter), capacity / 4);
}

bool FairQueue::isAboveShare(const Kind& kind, double capacity) const
{
    const double share = capacity * kind.weight / this->seenWeight;
    const double tolerance = this->settings.shareTolerance * std::sqrt(share);
    // Chance variation passes within a second or a few run times. A kind that queues more than its share finishes in
    // that time is in a flood and gets its share without the tolerance, which the other kinds' demand would need.
    const double chanceWaiting = (share + tolerance) * std::max(1.0, floodSeconds / kind.expectedSeconds);
    return kind.slots + 1 > (kind.waiting > chanceWaiting ? share : share + tolerance);
}

bool FairQueue::isPressing(const Kind& kind, const Job& job, double capacity) const
{
    // An entry without credits sees no slots and so no shares; a kind that uses none must not count as above its share.
    return kind.slots < 1 || (!job->isBatched() && !this->isAboveShare(kind, capacity));
}

double FairQueue::holdSeconds(const Kind& kind, const Job& job)
{
    return kind.expectedSeconds * (job->isBatched() ? smallestBatch : 1);
}

double FairQueue::placeOf(const Kind& kind, const Job& job) const
{
    return seconds(job->enqueuedAt) + this->settings.slackPerExpectedRun * holdSeconds(kind, job);
}

template <typename F> void FairQueue::forEachHead(SteadyTime now, F&& visit)
{
    for (KindIndex index : this->seenKinds) {
        if (this->kinds[index].waiting == 0)
            continue;
        for (Group& group : this->kinds[index].groups) {
            if (const Job job = this->head(now, group))
                visit(index, job);
        }
    }
}

}
