#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Messages/TaskMessages.h"
#include <deque>
#include <map>
#include <vector>

namespace celeryswitch::Dispatch {

/// Result of an allocation for one entry.
struct CreditChange {
    Core::InstanceId entryId;
    /// Slots assigned to the entry's tasks in the sidecar's queue; they already count as running.
    std::uint32_t startedFromQueue = 0;
    /// New idle credits of the entry.
    std::uint32_t granted = 0;
    /// Idle credits to recall from the entry.
    std::uint32_t recalled = 0;
};

/// Allocates the slots of one sidecar to entries as credits. A free slot goes to the queued tasks of the entry that
/// used it last, else to that entry as a credit, unless another entry reported a rank that is lower by more than the
/// margin. Idle credits are recalled, one per report, for an entry that has waiting tasks and no credit here. Performs
/// no I/O.
class CreditAllocator {
public:
    explicit CreditAllocator(std::uint32_t slots);

    /// Adds an entry without credits; `isLocal` tells whether it is in the sidecar's data centre. A known entry loses
    /// its idle credits and keeps its running tasks.
    void addEntry(const Core::InstanceId& entryId, bool isLocal);
    /// Removes an entry: its idle credits are freed at once, those of its running tasks when the tasks end.
    void removeEntry(const Core::InstanceId& entryId);
    /// Stores the latest backlog reported by an entry.
    void setBacklog(Core::SteadyTime now, const Core::InstanceId& entryId, const Messages::Backlog& backlog);
    /// Discards an unanswered recall, so that it can be sent again.
    void clearPendingRecall(const Core::InstanceId& entryId);
    /// Sets the number of an entry's tasks in the sidecar's queue; kept for disconnected entries as well.
    void setQueuedTasks(const Core::InstanceId& entryId, std::uint32_t count);
    /// Turns up to `count` idle credits of an entry into running tasks; returns how many.
    std::uint32_t consume(const Core::InstanceId& entryId, std::uint32_t count);
    /// Frees idle credits that an entry returned; credits beyond those it holds are ignored.
    void creditsReturned(const Core::InstanceId& entryId, std::uint32_t count);
    /// Frees the slot of a running task of an entry.
    void slotFreed(const Core::InstanceId& entryId);
    /// While not accepting, no slot is allocated and all idle credits are recalled.
    void setAccepting(bool isAccepting) { this->isAccepting = isAccepting; }

    /// Allocates all free slots and recalls idle credits; one element per affected entry.
    std::vector<CreditChange> assign(Core::SteadyTime now);

    std::uint32_t idle(const Core::InstanceId& entryId) const;
    /// Whether an entry reported waiting tasks that exceed its idle credits here.
    bool isWaiting(Core::SteadyTime now, const Core::InstanceId& entryId) const;
    /// Slots without a running task: free slots and idle credits.
    std::uint32_t freeSlots() const;

private:
    struct EntryState {
        bool isConnected = false;
        bool isLocal = false;
        std::uint32_t idle = 0;
        std::uint32_t running = 0;
        std::uint32_t queued = 0;
        // Idle credits recalled and not returned yet.
        std::uint32_t recalled = 0;
        // Slots that a new entry gets before its first report; 0 once they are allocated.
        std::uint32_t initialShare = 0;
        // Whether the latest backlog has not been considered for a recall yet.
        bool hasNewBacklog = false;
        Messages::Backlog backlog;
        Core::SteadyTime reportedAt {};

        bool isWaiting(Core::SteadyTime now) const;
        // Rank of the entry in the choice of a slot's next holder; the lowest wins.
        double rank(Core::SteadyTime now) const;
    };
    using Entries = std::map<Core::InstanceId, EntryState>;

    // Entry that gets a free slot last used by `previousHolderId`; end() if no entry can use it.
    Entries::iterator chooseHolder(Core::SteadyTime now, const Core::InstanceId& previousHolderId);
    // Recalls idle credits for entries with waiting tasks and for new entries, or all of them when not accepting.
    void recallCredits(Core::SteadyTime now, std::map<Core::InstanceId, CreditChange>& changes);
    void recallCreditsFor(Core::SteadyTime now, const Core::InstanceId& waitingId, std::uint32_t keep,
        std::uint32_t count, std::map<Core::InstanceId, CreditChange>& changes);
    // Removes a disconnected entry without running or queued tasks.
    void removeIfUnused(const Core::InstanceId& entryId);
    // Number of connected entries that share the slots initially: the local ones, or all if none is local.
    std::uint32_t sharingEntryCount() const;

    std::uint32_t slots;
    bool isAccepting = true;
    Entries entries;
    // Free slots, each with the entry that used it last; empty for none.
    std::deque<Core::InstanceId> freeSlotOwners;
};

}
