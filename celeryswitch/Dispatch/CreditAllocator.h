#pragma once

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

/// Gives the slots of one sidecar to entries as credits. A free slot goes back to the entry whose task ended unless
/// another entry's backlog is more pressing; idle credits are asked back when another entry has tasks waiting. Pure.
class CreditAllocator {
public:
    explicit CreditAllocator(std::uint32_t slots);

    /// Adds an entry without credits. A known one loses its idle credits; its running tasks stay counted.
    void addEntry(const Core::InstanceId& entryId);
    /// An entry is gone: its idle credits come back now, those of its running tasks when they end.
    void removeEntry(const Core::InstanceId& entryId);
    /// Newest backlog reported by an entry.
    void setBacklog(const Core::InstanceId& entryId, const Messages::Backlog& backlog);
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
    std::vector<CreditChange> assign();

    /// Idle credits of an entry.
    std::uint32_t idle(const Core::InstanceId& entryId) const;
    /// Tasks that wait at an entry for credits it does not hold yet.
    std::uint32_t waiting(const Core::InstanceId& entryId) const;
    /// Slots in which nothing runs: free ones and idle credits.
    std::uint32_t freeSlots() const;

private:
    struct EntryCredits {
        bool isConnected = false;
        std::uint32_t idle = 0;
        std::uint32_t running = 0;
        std::uint32_t queued = 0;
        // Idle credits asked back and not returned yet.
        std::uint32_t recalled = 0;
        // Slots that a new entry gets without waiting for its backlog; 0 once it has had them.
        std::uint32_t initialShare = 0;
        Messages::Backlog backlog;

        std::uint32_t held() const { return this->idle + this->running; }
        // Tasks waiting at the entry beyond its idle credits.
        std::uint32_t waiting() const;
        // Whether a slot would be used at once.
        bool isWanting() const { return this->queued > 0 || this->waiting() > 0; }
    };
    using Entries = std::map<Core::InstanceId, EntryCredits>;

    // Entry that gets a free slot whose last task was `preferred`'s; end() when no entry is connected.
    Entries::iterator choose(const Core::InstanceId& preferred);
    // Whether `candidate` goes before `best` for a slot.
    bool isMorePressing(const Entries::value_type& candidate, const Entries::value_type& best,
        const Core::InstanceId& preferred, std::uint32_t fairShare) const;
    // Asks idle credits back from entries that have no use for them.
    void recall(std::map<Core::InstanceId, CreditChange>& changes);
    // Forgets an entry that is gone and has nothing here any more.
    void removeIfUnused(const Core::InstanceId& entryId);
    // Entries that have a connection.
    std::uint32_t connectedCount() const;

    std::uint32_t slots;
    bool isAccepting = true;
    Entries entries;
    // Free slots, by the entry whose task ended.
    std::deque<Core::InstanceId> free;
};

}
