#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Entry/EntryEvents.h"
#include <vector>

namespace celeryswitch::Entry {

/// Settings of an entry core; constant after construction.
struct EntryCoreSettings {
    /// Identity of this entry. Every start of the process has a new incarnation.
    Messages::Hello identity;
    /// "address:port" of the frame listener as reachable by other members.
    std::string peerAddress;
    /// "address:port" of the datagram socket as reachable by other members.
    std::string datagramAddress;
    /// Seed of the random number generator.
    std::uint64_t seed = 1;
    /// Size of the job table, in bytes, above which new submissions are refused.
    std::size_t storedBytesLimit = std::size_t(1) << 30;
    /// Maximum number of requests that wait for a partition's owner, and of those that wait for a job's result.
    std::size_t waitingRequestsLimit = 100000;
    /// Longer waits requested by callers are reduced to this value.
    Core::Duration maximumWait = std::chrono::seconds(120);
    /// For tests: if false, resubmissions with a known idempotency key run again.
    bool isDeduplicationEnabled = true;
    /// For tests: if false, tasks are started even after the partition lease has expired.
    bool isLeaseCheckEnabled = true;
    /// For tests: if false, a new owner accepts requests without recovering task records from the sidecars.
    bool isRecoveryEnabled = true;
};

/// Cumulative counters of an entry core.
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
    /// Task starts that a sidecar rejected.
    std::uint64_t startsRejected = 0;
    /// Task results that no running job of this entry awaits.
    std::uint64_t lateResults = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t datagramsSent = 0;
    std::uint64_t requestsForwarded = 0;
};

/// State shared by the components of an entry core: settings, current time, counters and pending actions.
struct EntryContext {
    explicit EntryContext(EntryCoreSettings settings)
        : settings(std::move(settings))
    {
    }

    const EntryCoreSettings settings;
    /// Steady clock time of the current step.
    Core::SteadyTime now {};
    /// Wall clock time of the current step in milliseconds since 1970; never decreases.
    std::int64_t wallMilliseconds = 0;
    std::vector<EntryAction> actions;
    EntryCounters counters;

    /// Queues an action for the caller of EntryCore::poll.
    void addAction(EntryAction action) { this->actions.push_back(std::move(action)); }
    /// Queues a frame for sending and counts it.
    void send(ConnectionId connectionId, Messages::PeerMessage message)
    {
        ++this->counters.messagesSent;
        this->actions.emplace_back(SendFrame { connectionId, std::move(message) });
    }
    /// Returns the next even ID, for a connection opened by this entry.
    ConnectionId newConnectionId() { return this->lastConnectionId += 2; }

private:
    ConnectionId lastConnectionId = 0;
};

/// Adds a duration, converted to the resolution of the steady clock, to a point in time.
inline Core::SteadyTime addDuration(Core::SteadyTime time, Core::Duration duration)
{
    return time + std::chrono::duration_cast<Core::SteadyTime::duration>(duration);
}

}
