#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Messages/TaskMessages.h"
#include <deque>
#include <map>
#include <vector>

namespace celeryswitch::Dispatch {

/// What an assignment of slots means for one entry.
struct CreditChange {
    Core::InstanceId entryId;
    /// Slots that go to the entry's tasks in the sidecar's queue; they count as running already.
    std::uint32_t forQueue = 0;
    /// Credits given to the entry.
    std::uint32_t granted = 0;
    /// Idle credits to ask back from the entry.
    std::uint32_t recalled = 0;
};

/// Gives the slots of one sidecar to entries as credits. A free slot goes to the queued tasks of the entry whose task
/// ended, else to that entry as a credit, unless the rank that another entry reported is lower by more than the price
/// of a message. Idle credits are asked back, one a report, when an entry has a task waiting and no credit here. Pure.
class CreditAllocator {
public:
    explicit CreditAllocator(std::uint32_t slots);

    /// Adds an entry without credits; `isNear` tells whether it is in the sidecar's data centre. A known one loses its
    /// idle credits; its running tasks stay counted.
    void addEntry(const Core::InstanceId& entryId, bool isNear);
    /// An entry is gone: its idle credits come back now, those of its running tasks when they end.
    void removeEntry(const Core::InstanceId& entryId);
    /// Newest backlog reported by an entry.
    void setBacklog(Core::SteadyTime now, const Core::InstanceId& entryId, const Messages::Backlog& backlog);
    /// Forgets a recall that the entry did not answer, so that it can be made again.
    void allowRecall(const Core::InstanceId& entryId);
    /// Tasks of an entry in the sidecar's queue; kept for entries that are gone, too.
    void setQueued(const Core::InstanceId& entryId, std::uint32_t count);
    /// Turns idle credits of an entry into running tasks; returns how many it had, at most `count`.
    std::uint32_t use(const Core::InstanceId& entryId, std::uint32_t count);
    /// An entry gives idle credits back; more than it holds are ignored.
    void creditsReturned(const Core::InstanceId& entryId, std::uint32_t count);
    /// The slot of an entry's running task can be given away.
    void slotFreed(const Core::InstanceId& entryId);
    /// While not accepting, no slot is given and every idle credit is asked back.
    void setAccepting(bool isAccepting) { this->isAccepting = isAccepting; }

    /// Gives every free slot and recalls idle credits; one element for each entry that is concerned.
    std::vector<CreditChange> assign(Core::SteadyTime now);

    /// Idle credits of an entry.
    std::uint32_t idle(const Core::InstanceId& entryId) const;
    /// Whether tasks wait at an entry for credits that it does not hold yet.
    bool isWaiting(Core::SteadyTime now, const Core::InstanceId& entryId) const;
    /// Slots in which nothing runs: free ones and idle credits.
    std::uint32_t freeSlots() const;

private:
    struct EntryCredits {
        bool isConnected = false;
        bool isNear = false;
        std::uint32_t idle = 0;
        std::uint32_t running = 0;
        std::uint32_t queued = 0;
        // Idle credits asked back and not returned yet.
        std::uint32_t recalled = 0;
        // Slots that a new entry gets before it has reported anything; 0 once it has had them.
        std::uint32_t initialShare = 0;
        // Whether the newest report has not been looked at for a recall yet.
        bool isReportNew = false;
        Messages::Backlog backlog;
        Core::SteadyTime reportedAt {};

        bool isWaiting(Core::SteadyTime now) const;
        // Rank for the choice of a slot's next holder; lower goes first.
        double rank(Core::SteadyTime now) const;
    };
    using Entries = std::map<Core::InstanceId, EntryCredits>;

    // Entry that gets a free slot whose last task was `preferred`'s; end() when nobody can use it.
    Entries::iterator choose(Core::SteadyTime now, const Core::InstanceId& preferred);
    // Asks back idle credits for entries whose tasks wait, for new entries, or all of them when not accepting.
    void recall(Core::SteadyTime now, std::map<Core::InstanceId, CreditChange>& changes);
    void recallFor(Core::SteadyTime now, const Core::InstanceId& waitingId, std::uint32_t keep, std::uint32_t count,
        std::map<Core::InstanceId, CreditChange>& changes);
    // Forgets an entry that is gone and has nothing here any more.
    void removeIfUnused(const Core::InstanceId& entryId);
    // Connected entries that share the slots at the start: the near ones, or all when none is near.
    std::uint32_t sharingCount() const;

    std::uint32_t slots;
    bool isAccepting = true;
    Entries entries;
    // Free slots, by the entry whose task ended.
    std::deque<Core::InstanceId> free;
};

}
