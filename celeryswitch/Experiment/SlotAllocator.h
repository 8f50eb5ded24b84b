#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Messages/TaskMessages.h"
#include <cstdint>
#include <optional>
#include <vector>

namespace celeryswitch::Experiment {

/// Stand-in for the sidecar's CreditAllocator: decides which entry gets a free slot.
class SlotAllocator {
public:
    /// `entriesNear[e]` tells whether entry e is in the sidecar's data centre.
    SlotAllocator(std::uint32_t slots, std::vector<bool> entriesNear);

    /// Credits that an entry gets when it connects.
    std::uint32_t initialCredits(std::size_t entry) const;
    /// An entry used credits for a start.
    void used(std::size_t entry, std::uint32_t credits);
    /// What waits at an entry.
    void backlogReported(Core::SteadyTime now, std::size_t entry, const Messages::Backlog& backlog);
    /// A slot of an entry's task came free; returns the entry that gets its credit.
    std::size_t freed(Core::SteadyTime now, std::size_t entry);
    /// An entry gave idle credits back; returns the entry that gets them.
    std::size_t returned(Core::SteadyTime now, std::size_t entry, std::uint32_t credits);
    /// Entry that is asked for an idle credit because another entry's task waits; nothing when none should be.
    std::optional<std::size_t> recall(Core::SteadyTime now, std::size_t waitingEntry);

private:
    struct Entry {
        bool isNear = false;
        std::uint32_t idle = 0;
        double rank = 0;
        Core::SteadyTime reportedAt {};
        bool isRecalled = false;
    };
    double rankOf(Core::SteadyTime now, const Entry& entry) const;
    std::size_t best(Core::SteadyTime now, std::size_t owner) const;

    std::uint32_t slots;
    std::vector<Entry> entries;
};

}
