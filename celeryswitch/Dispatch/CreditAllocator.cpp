#include "celeryswitch/Dispatch/CreditAllocator.h"

#include "celeryswitch/Core/Assert.h"
#include <algorithm>
#include <utility>

namespace celeryswitch::Dispatch {

namespace {

// Ranks from here on mean that nothing waits; see DispatcherState::backlogOf.
constexpr double idleRank = 1e6;
// Difference of ranks that is worth a message. At 1, reports that are up to a heartbeat old moved credits back and
// forth, 0.38 messages a task at 70 % load against 0.09 at 4, with a worse p99.
constexpr double moveMargin = 4;
// Preference for entries in the same data centre, in ranks.
constexpr double nearBonus = 1;
// A report that a task waits says nothing after this time, because the task has started elsewhere since.
constexpr std::chrono::milliseconds waitingValidity { 300 };

}

bool CreditAllocator::EntryCredits::isWaiting(Core::SteadyTime now) const
{
    return this->isConnected && this->backlog.queuedTasks > this->idle && this->backlog.bestRank < idleRank
        && now - this->reportedAt <= waitingValidity;
}

double CreditAllocator::EntryCredits::rank(Core::SteadyTime now) const
{
    const double bonus = this->isNear ? nearBonus : 0;
    if (this->isWaiting(now))
        return this->backlog.bestRank - bonus;
    return std::max(idleRank, this->backlog.bestRank) - bonus;
}

CreditAllocator::CreditAllocator(std::uint32_t slots)
    : slots(slots)
    , free(slots)
{
}

void CreditAllocator::addEntry(const Core::InstanceId& entryId, bool isNear)
{
    this->removeEntry(entryId);
    EntryCredits& entry = this->entries[entryId];
    entry.isConnected = true;
    entry.isNear = isNear;
    const bool hasNear = std::any_of(this->entries.begin(), this->entries.end(),
        [](const auto& other) { return other.second.isConnected && other.second.isNear; });
    if (isNear || !hasNear)
        entry.initialShare = std::max<std::uint32_t>(1, this->slots / this->sharingCount());
}

void CreditAllocator::removeEntry(const Core::InstanceId& entryId)
{
    const auto found = this->entries.find(entryId);
    if (found == this->entries.end())
        return;
    EntryCredits& entry = found->second;
    this->free.insert(this->free.end(), entry.idle, Core::InstanceId());
    entry.isConnected = false;
    entry.idle = entry.recalled = entry.initialShare = 0;
    entry.backlog = {};
    entry.isReportNew = false;
    this->removeIfUnused(entryId);
}

void CreditAllocator::setBacklog(
    Core::SteadyTime now, const Core::InstanceId& entryId, const Messages::Backlog& backlog)
{
    const auto found = this->entries.find(entryId);
    if (found == this->entries.end())
        return;
    found->second.backlog = backlog;
    found->second.reportedAt = now;
    found->second.isReportNew = true;
}

void CreditAllocator::allowRecall(const Core::InstanceId& entryId)
{
    const auto found = this->entries.find(entryId);
    if (found != this->entries.end())
        found->second.recalled = 0;
}

void CreditAllocator::setQueued(const Core::InstanceId& entryId, std::uint32_t count)
{
    this->entries[entryId].queued = count;
    this->removeIfUnused(entryId);
}

std::uint32_t CreditAllocator::use(const Core::InstanceId& entryId, std::uint32_t count)
{
    const auto found = this->entries.find(entryId);
    if (found == this->entries.end())
        return 0;
    const std::uint32_t used = std::min(count, found->second.idle);
    found->second.idle -= used;
    found->second.running += used;
    found->second.recalled = std::min(found->second.recalled, found->second.idle);
    return used;
}

void CreditAllocator::creditsReturned(const Core::InstanceId& entryId, std::uint32_t count)
{
    const auto found = this->entries.find(entryId);
    if (found == this->entries.end())
        return;
    const std::uint32_t returned = std::min(count, found->second.idle);
    found->second.idle -= returned;
    found->second.recalled = 0;
    this->free.insert(this->free.end(), returned, Core::InstanceId());
}

void CreditAllocator::slotFreed(const Core::InstanceId& entryId)
{
    const auto found = this->entries.find(entryId);
    CELERY_ASSERT(found != this->entries.end() && found->second.running > 0);
    --found->second.running;
    this->free.push_back(entryId);
    this->removeIfUnused(entryId);
}

std::vector<CreditChange> CreditAllocator::assign(Core::SteadyTime now)
{
    std::map<Core::InstanceId, CreditChange> changes;
    while (this->isAccepting && !this->free.empty()) {
        const auto chosen = this->choose(now, this->free.front());
        if (chosen == this->entries.end())
            break;
        this->free.pop_front();
        EntryCredits& entry = chosen->second;
        CreditChange& change = changes[chosen->first];
        if (entry.queued > 0) {
            --entry.queued;
            ++entry.running;
            ++change.forQueue;
        } else {
            ++entry.idle;
            ++change.granted;
        }
        if (entry.idle + entry.running >= entry.initialShare)
            entry.initialShare = 0;
    }
    this->recall(now, changes);
    std::vector<CreditChange> list;
    list.reserve(changes.size());
    for (auto& [entryId, change] : changes) {
        change.entryId = entryId;
        list.push_back(change);
    }
    return list;
}

CreditAllocator::Entries::iterator CreditAllocator::choose(Core::SteadyTime now, const Core::InstanceId& preferred)
{
    const auto owner = this->entries.find(preferred);
    if (owner != this->entries.end() && owner->second.queued > 0)
        return owner;
    // Tasks whose partition moved wait in the queue of an entry that has no slot running here.
    const auto otherQueue = std::find_if(
        this->entries.begin(), this->entries.end(), [](const auto& entry) { return entry.second.queued > 0; });
    if (otherQueue != this->entries.end())
        return otherQueue;
    auto best = owner != this->entries.end() && owner->second.isConnected ? owner : this->entries.end();
    double bestRank = best != this->entries.end() ? best->second.rank(now) - moveMargin : 0;
    for (auto entry = this->entries.begin(); entry != this->entries.end(); ++entry) {
        if (!entry->second.isConnected || entry == best)
            continue;
        // A new entry's share comes before credits that nobody waits for.
        const double rank = entry->second.initialShare > 0
            ? std::min(entry->second.rank(now), idleRank - 2 * moveMargin)
            : entry->second.rank(now);
        const bool isTie = best != this->entries.end() && best != owner && rank == bestRank
            && entry->second.idle < best->second.idle;
        if (best == this->entries.end() || rank < bestRank || isTie) {
            best = entry;
            bestRank = rank;
        }
    }
    return best;
}

void CreditAllocator::recall(Core::SteadyTime now, std::map<Core::InstanceId, CreditChange>& changes)
{
    if (!this->isAccepting) {
        this->recallFor(now, {}, 0, this->slots, changes);
        return;
    }
    const std::uint32_t share = this->slots / std::max<std::uint32_t>(1, this->sharingCount());
    for (auto& [entryId, entry] : this->entries) {
        const std::uint32_t held = entry.idle + entry.running;
        if (entry.initialShare > held)
            this->recallFor(now, entryId, share, entry.initialShare - held, changes);
        if (std::exchange(entry.isReportNew, false) && entry.isWaiting(now) && entry.idle == 0)
            this->recallFor(now, entryId, 0, 1, changes);
    }
}

void CreditAllocator::recallFor(Core::SteadyTime now, const Core::InstanceId& waitingId, std::uint32_t keep,
    std::uint32_t count, std::map<Core::InstanceId, CreditChange>& changes)
{
    while (count > 0) {
        auto lenderPosition = this->entries.end();
        for (auto entry = this->entries.begin(); entry != this->entries.end(); ++entry) {
            const EntryCredits& candidate = entry->second;
            const bool isSpared = this->isAccepting && candidate.isWaiting(now);
            if (entry->first == waitingId || candidate.idle <= keep || candidate.recalled != 0 || isSpared)
                continue;
            if (lenderPosition == this->entries.end() || candidate.rank(now) > lenderPosition->second.rank(now))
                lenderPosition = entry;
        }
        if (lenderPosition == this->entries.end())
            return;
        EntryCredits& lender = lenderPosition->second;
        lender.recalled = std::min(count, lender.idle - keep);
        changes[lenderPosition->first].recalled = lender.recalled;
        count -= lender.recalled;
    }
}

void CreditAllocator::removeIfUnused(const Core::InstanceId& entryId)
{
    const auto found = this->entries.find(entryId);
    if (found != this->entries.end() && !found->second.isConnected && found->second.running == 0
        && found->second.queued == 0)
        this->entries.erase(found);
}

std::uint32_t CreditAllocator::sharingCount() const
{
    std::uint32_t near = 0;
    std::uint32_t connected = 0;
    for (const auto& [entryId, entry] : this->entries) {
        connected += entry.isConnected ? 1 : 0;
        near += entry.isConnected && entry.isNear ? 1 : 0;
    }
    return near > 0 ? near : connected;
}

std::uint32_t CreditAllocator::idle(const Core::InstanceId& entryId) const
{
    const auto found = this->entries.find(entryId);
    return found != this->entries.end() ? found->second.idle : 0;
}

bool CreditAllocator::isWaiting(Core::SteadyTime now, const Core::InstanceId& entryId) const
{
    const auto found = this->entries.find(entryId);
    return found != this->entries.end() && found->second.isWaiting(now);
}

std::uint32_t CreditAllocator::freeSlots() const
{
    std::size_t count = this->free.size();
    for (const auto& [entryId, entry] : this->entries)
        count += entry.idle;
    return static_cast<std::uint32_t>(count);
}

}
