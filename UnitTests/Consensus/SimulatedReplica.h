#pragma once

#include "celeryswitch/State/StateCore.h"
#include <deque>
#include <memory>

namespace celeryswitch::Consensus {

/// What a simulated disk holds once it is synced.
struct SimulatedDisk {
    RecoveredState content;

    void apply(const StorageOperation& operation)
    {
        if (const auto* term = std::get_if<SaveTerm>(&operation)) {
            this->content.term = term->term;
            this->content.votedFor = term->votedFor;
        } else if (const auto* saved = std::get_if<SaveEntries>(&operation)) {
            this->content.entries.insert(this->content.entries.end(), saved->entries.begin(), saved->entries.end());
        } else if (const auto* forget = std::get_if<ForgetEntries>(&operation)) {
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

/// A state replica in a schedule: its core, its disk and the writes that a crash may lose.
struct SimulatedReplica {
    std::string address;
    ReplicaId id;
    std::unique_ptr<State::StateCore> core;
    SimulatedDisk disk;
    /// Writes that are not synced, by the sequence that ends them.
    std::deque<std::pair<std::uint64_t, std::vector<StorageOperation>>> unsynced;
    /// Rises with each start, so that events of an earlier life are ignored.
    std::uint64_t life = 0;
    /// Disks lost so far.
    std::uint64_t lostDisks = 0;
    /// True time until which the process does not run; its messages wait.
    Core::SteadyTime frozenUntil;
    /// True time until which no message of other replicas arrives or leaves.
    Core::SteadyTime isolatedUntil;
    /// How far the replica's clock is behind because it stood still.
    Core::Duration clockLag {};
    /// True time until which the replica's clock stands still, and the time that it shows.
    Core::SteadyTime clockStopsUntil;
    Core::SteadyTime stoppedClock;
    /// Entries compared with the other replicas so far.
    LogIndex comparedIndex = 0;
    Term comparedTerm = 0;
};

}
