#pragma once

#include "celeryswitch/State/StateCore.h"
#include <deque>
#include <memory>

namespace celeryswitch::Consensus {

/// Synced content of a simulated disk.
struct SimulatedDisk {
    RecoveredState content;

    void apply(const StorageOperation& operation)
    {
        if (const auto* term = std::get_if<SaveTerm>(&operation)) {
            this->content.term = term->term;
            this->content.votedFor = term->votedFor;
        } else if (const auto* saved = std::get_if<SaveEntries>(&operation)) {
            this->content.entries.insert(this->content.entries.end(), saved->entries.begin(), saved->entries.end());
        } else if (const auto* forget = std::get_if<TruncateEntries>(&operation)) {
            while (!this->content.entries.empty() && this->content.entries.back().index >= forget->first)
                this->content.entries.pop_back();
        } else if (const auto* snapshot = std::get_if<SaveSnapshot>(&operation)) {
            this->content.snapshot = snapshot->snapshot;
            this->content.term = snapshot->term;
            this->content.votedFor = snapshot->votedFor;
            this->content.entries = snapshot->entries;
        }
    }
};

/// A state replica in a schedule: its core, its disk and the unsynced writes that a crash may lose.
struct SimulatedReplica {
    std::string address;
    ReplicaId id;
    std::unique_ptr<State::StateCore> core;
    SimulatedDisk disk;
    /// Unsynced writes with the sequence of their last operation.
    std::deque<std::pair<std::uint64_t, std::vector<StorageOperation>>> unsynced;
    /// Incremented at each start and crash, so that events scheduled before it are ignored.
    std::uint64_t generation = 0;
    /// Disks lost so far.
    std::uint64_t lostDisks = 0;
    /// Simulated time until which the process is frozen; messages are delivered afterwards.
    Core::SteadyTime frozenUntil;
    /// Simulated time until which the replica is partitioned from the other replicas.
    Core::SteadyTime isolatedUntil;
    /// How far the replica's clock is behind after it was stopped.
    Core::Duration clockLag {};
    /// Simulated time until which the replica's clock is stopped, and the time that it shows.
    Core::SteadyTime clockStoppedUntil;
    Core::SteadyTime stoppedClockTime;
    /// Index up to which, and term in which, entries were compared with those of other replicas.
    LogIndex checkedIndex = 0;
    Term checkedTerm = 0;
};

}
