#include "celeryswitch/Dispatch/CreditAllocator.h"

#include "celeryswitch/Core/Assert.h"
#include <algorithm>

namespace celeryswitch::Dispatch {

std::uint32_t CreditAllocator::EntryCredits::waiting() const
{
    if (!this->isConnected || this->backlog.queuedTasks <= this->idle)
        return 0;
    return this->backlog.queuedTasks - this->idle;
}

CreditAllocator::CreditAllocator(std::uint32_t slots)
    : slots(slots)
    , free(slots)
{
}

void CreditAllocator::addEntry(const Core::InstanceId& entryId)
{
    this->removeEntry(entryId);
    EntryCredits& entry = this->entries[entryId];
    entry.isConnected = true;
    entry.initialShare = std::max<std::uint32_t>(1, this->slots / this->connectedCount());
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
    this->removeIfUnused(entryId);
}

void CreditAllocator::setBacklog(const Core::InstanceId& entryId, const Messages::Backlog& backlog)
{
    const auto found = this->entries.find(entryId);
    if (found == this->entries.end())
        return;
    found->second.backlog = backlog;
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

std::vector<CreditChange> CreditAllocator::assign()
{
    std::map<Core::InstanceId, CreditChange> changes;
    while (this->isAccepting && !this->free.empty()) {
        const auto chosen = this->choose(this->free.front());
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
        if (entry.held() >= entry.initialShare)
            entry.initialShare = 0;
    }
    this->recall(changes);
    std::vector<CreditChange> list;
    list.reserve(changes.size());
    for (auto& [entryId, change] : changes) {
        change.entryId = entryId;
        list.push_back(change);
    }
    return list;
}

CreditAllocator::Entries::iterator CreditAllocator::choose(const Core::InstanceId& preferred)
{
    const auto wanting = std::count_if(
        this->entries.begin(), this->entries.end(), [](const auto& entry) { return entry.second.isWanting(); });
    const std::uint32_t fairShare = this->slots / static_cast<std::uint32_t>(std::max<std::ptrdiff_t>(1, wanting));
    auto best = this->entries.end();
    for (auto entry = this->entries.begin(); entry != this->entries.end(); ++entry) {
        if (!entry->second.isConnected && entry->second.queued == 0)
            continue;
        if (best == this->entries.end() || this->isMorePressing(*entry, *best, preferred, fairShare))
            best = entry;
    }
    return best;
}

bool CreditAllocator::isMorePressing(const Entries::value_type& candidate, const Entries::value_type& best,
    const Core::InstanceId& preferred, std::uint32_t fairShare) const
{
    const EntryCredits& first = candidate.second;
    const EntryCredits& second = best.second;
    if (first.isWanting() != second.isWanting())
        return first.isWanting();
    if (first.isWanting()) {
        // Tasks that an entry which is gone left in the queue take the slots that no one else wants.
        if (first.isConnected != second.isConnected)
            return first.isConnected;
        // Reported ranks are up to a heartbeat old, so they never push an entry below half of its fair share.
        const bool isFirstShort = 2 * first.held() < fairShare;
        const bool isSecondShort = 2 * second.held() < fairShare;
        if (isFirstShort != isSecondShort)
            return isFirstShort;
        if (first.backlog.bestRank != second.backlog.bestRank)
            return first.backlog.bestRank < second.backlog.bestRank;
    } else if ((first.initialShare > 0) != (second.initialShare > 0)) {
        return first.initialShare > 0;
    }
    if ((candidate.first == preferred) != (best.first == preferred))
        return candidate.first == preferred;
    return first.held() < second.held();
}

void CreditAllocator::recall(std::map<Core::InstanceId, CreditChange>& changes)
{
    std::uint32_t needed = 0;
    std::uint32_t initial = 0;
    std::uint32_t outstanding = 0;
    for (const auto& [entryId, entry] : this->entries) {
        needed += entry.queued + entry.waiting();
        if (entry.initialShare > entry.held())
            initial += entry.initialShare - entry.held();
        outstanding += entry.recalled;
    }
    needed -= std::min(needed, outstanding);
    initial -= std::min(initial, outstanding);
    const std::uint32_t fairShare = this->slots / std::max<std::uint32_t>(1, this->connectedCount());
    for (auto& [entryId, entry] : this->entries) {
        if (entry.idle == 0 || entry.recalled != 0 || (this->isAccepting && entry.isWanting()))
            continue;
        std::uint32_t count = entry.idle;
        if (this->isAccepting) {
            const std::uint32_t surplus = entry.idle > fairShare ? entry.idle - fairShare : 0;
            count = std::min(entry.idle, std::max(needed, std::min(initial, surplus)));
            needed -= std::min(needed, count);
            initial -= std::min(initial, count);
        }
        if (count == 0)
            continue;
        entry.recalled = count;
        changes[entryId].recalled = count;
    }
}

void CreditAllocator::removeIfUnused(const Core::InstanceId& entryId)
{
    const auto found = this->entries.find(entryId);
    if (found != this->entries.end() && !found->second.isConnected && found->second.running == 0
        && found->second.queued == 0)
        this->entries.erase(found);
}

std::uint32_t CreditAllocator::connectedCount() const
{
    return static_cast<std::uint32_t>(std::count_if(
        this->entries.begin(), this->entries.end(), [](const auto& entry) { return entry.second.isConnected; }));
}

std::uint32_t CreditAllocator::idle(const Core::InstanceId& entryId) const
{
    const auto found = this->entries.find(entryId);
    return found != this->entries.end() ? found->second.idle : 0;
}

std::uint32_t CreditAllocator::waiting(const Core::InstanceId& entryId) const
{
    const auto found = this->entries.find(entryId);
    return found != this->entries.end() ? found->second.waiting() : 0;
}

std::uint32_t CreditAllocator::freeSlots() const
{
    std::size_t count = this->free.size();
    for (const auto& [entryId, entry] : this->entries)
        count += entry.idle;
    return static_cast<std::uint32_t>(count);
}

}
