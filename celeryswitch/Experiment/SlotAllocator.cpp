#include "celeryswitch/Experiment/SlotAllocator.h"

#include <algorithm>

namespace celeryswitch::Experiment {

using Core::SteadyTime;

namespace {

// Ranks from here on mean that nothing waits.
constexpr double idleRank = 1e6;
// A rank difference that is worth a message.
constexpr double moveMargin = 1;
// Preference for entries in the same data centre, in ranks.
constexpr double nearBonus = 1;
// A report that a task waits says nothing after this time, because the task has started since.
constexpr Core::Duration waitingValidity = std::chrono::milliseconds(300);

}

SlotAllocator::SlotAllocator(std::uint32_t slots, std::vector<bool> entriesNear)
    : slots(slots)
    , entries(entriesNear.size())
{
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
        this->entries[entry].isNear = entriesNear[entry];
        this->entries[entry].rank = idleRank + slots;
    }
    const auto nearCount = static_cast<std::uint32_t>(std::count(entriesNear.begin(), entriesNear.end(), true));
    std::uint32_t left = slots;
    while (left > 0) {
        for (Entry& entry : this->entries) {
            if (left > 0 && (entry.isNear || nearCount == 0)) {
                ++entry.idle;
                --left;
            }
        }
    }
}

std::uint32_t SlotAllocator::initialCredits(std::size_t entry) const { return this->entries[entry].idle; }

void SlotAllocator::used(std::size_t entry, std::uint32_t credits)
{
    this->entries[entry].idle -= std::min(this->entries[entry].idle, credits);
}

void SlotAllocator::backlogReported(SteadyTime now, std::size_t entry, const Messages::Backlog& backlog)
{
    this->entries[entry].rank = backlog.bestRank;
    this->entries[entry].reportedAt = now;
}

std::size_t SlotAllocator::freed(SteadyTime now, std::size_t owner)
{
    const std::size_t chosen = this->best(now, owner);
    ++this->entries[chosen].idle;
    return chosen;
}

std::size_t SlotAllocator::returned(SteadyTime now, std::size_t owner, std::uint32_t credits)
{
    this->entries[owner].idle -= std::min(this->entries[owner].idle, credits);
    this->entries[owner].isRecalled = false;
    const std::size_t chosen = this->best(now, owner);
    this->entries[chosen].idle += credits;
    return chosen;
}

std::optional<std::size_t> SlotAllocator::recall(SteadyTime now, std::size_t waitingEntry)
{
    if (this->entries[waitingEntry].rank >= idleRank || this->entries[waitingEntry].idle > 0)
        return std::nullopt;
    std::optional<std::size_t> victim;
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
        const Entry& candidate = this->entries[entry];
        if (entry == waitingEntry || candidate.idle == 0 || candidate.isRecalled
            || this->rankOf(now, candidate) < idleRank)
            continue;
        if (!victim || candidate.rank > this->entries[*victim].rank)
            victim = entry;
    }
    if (victim)
        this->entries[*victim].isRecalled = true;
    return victim;
}

double SlotAllocator::rankOf(SteadyTime now, const Entry& entry) const
{
    const double bonus = entry.isNear ? nearBonus : 0;
    if (entry.rank < idleRank && now - entry.reportedAt > waitingValidity)
        return idleRank - bonus;
    return entry.rank - bonus;
}

std::size_t SlotAllocator::best(SteadyTime now, std::size_t owner) const
{
    std::size_t chosen = owner;
    double bestRank = this->rankOf(now, this->entries[owner]) - moveMargin;
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
        const double rank = this->rankOf(now, this->entries[entry]);
        if (entry != owner && rank < bestRank) {
            bestRank = rank;
            chosen = entry;
        }
    }
    return chosen;
}

}
