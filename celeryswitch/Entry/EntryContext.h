#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Entry/EntryEvents.h"
#include <vector>

namespace celeryswitch::Entry {

/// Settings of an entry's core; fixed for its life.
struct EntryCoreSettings {
    /// Identity of this entry, with a new incarnation for each start of the process.
    Messages::Hello identity;
    /// Address of the frame listener, as other members reach it.
    std::string peerAddress;
    /// Address of the datagram socket, as other members reach it.
    std::string datagramAddress;
    /// Seed of every random choice.
    std::uint64_t seed = 1;
    /// Bytes of remembered jobs and answers above which submissions are refused.
    std::size_t storedBytesLimit = std::size_t(1) << 30;
    /// Requests that may wait at once for a partition or an answer.
    std::size_t waitingRequestsLimit = 100000;
    /// Largest wait that a caller may ask for.
    Core::Duration longestWait = std::chrono::seconds(120);
    /// Tests only: false runs submissions with known keys again.
    bool isJobTableLookedUp = true;
    /// Tests only: false sends starts although the lease is over.
    bool isLeaseChecked = true;
    /// Tests only: false acts as owner without asking the sidecars for their records.
    bool isRecoveryDone = true;
};

/// Counters of an entry's core since its start.
struct EntryCounters {
    std::uint64_t submissions = 0;
    std::uint64_t submissionsRefused = 0;
    std::uint64_t jobsComplete = 0;
    std::uint64_t jobsFailed = 0;
    std::uint64_t tasksStarted = 0;
    std::uint64_t tasksSucceeded = 0;
    std::uint64_t tasksFailed = 0;
    std::uint64_t tasksUnconfirmed = 0;
    std::uint64_t tasksNeverStarted = 0;
    /// Starts that a sidecar answered with NotRun.
    std::uint64_t startsRejected = 0;
    /// Results of tasks that no running job at this entry waits for.
    std::uint64_t lateResults = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t datagramsSent = 0;
    std::uint64_t forwarded = 0;
};

/// What the parts of an entry's core share: settings, the current time, and the actions of the current step.
struct EntryContext {
    explicit EntryContext(EntryCoreSettings settings)
        : settings(std::move(settings))
    {
    }

    const EntryCoreSettings settings;
    /// Steady time of the current step.
    Core::SteadyTime now {};
    /// Wall clock of the current step in milliseconds since 1970; never falls.
    std::int64_t wallMilliseconds = 0;
    std::vector<EntryAction> actions;
    EntryCounters counters;

    /// Adds an action to the current step.
    void act(EntryAction action) { this->actions.push_back(std::move(action)); }
    /// Sends a frame.
    void send(ConnectionId connectionId, Messages::PeerMessage message)
    {
        ++this->counters.messagesSent;
        this->actions.emplace_back(SendFrame { connectionId, std::move(message) });
    }
    /// Number of a new connection that this entry opens.
    ConnectionId newConnectionId() { return this->nextConnection += 2; }

private:
    ConnectionId nextConnection = 0;
};

/// Adds a span to a steady time.
inline Core::SteadyTime after(Core::SteadyTime time, Core::Duration span)
{
    return time + std::chrono::duration_cast<Core::SteadyTime::duration>(span);
}

}
