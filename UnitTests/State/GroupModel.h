#pragma once

#include "UnitTests/Consensus/SimulatedReplica.h"
#include <functional>
#include <optional>
#include <pcg_random.hpp>

namespace celeryswitch::State {

/// Settings of a group model.
struct GroupModelSettings {
    std::uint64_t seed = 1;
    /// Addresses that all replicas know at the first start.
    std::vector<std::string> seeds;
    /// Losses that the replicas are told to tolerate; 0 for unknown.
    std::uint32_t toleratedLosses = 0;
    /// Longest time of a message on its way, and of a sync.
    Core::Duration longestTransfer = std::chrono::milliseconds(4);
    Core::Duration longestSync = std::chrono::milliseconds(9);

    /// Safeguards that tests disable to show that violations are noticed.
    /// Whether a replica that lost its disk gets another identity.
    bool isIdentityRenewed = true;
    /// Whether identity and group of the first start are kept on the disk.
    bool isFirstStartRecorded = true;
    /// Whether a replica that stops in order waits for the group to do without it.
    bool isDepartureAwaited = true;
    /// Longest time of that wait.
    Core::Duration departureLimit = std::chrono::seconds(3);
};

/// Simulation of state replicas that keep their group by themselves, with disks, messages and faults. It begins
/// replicas as StateProcess does: a first start by GroupFormation::firstStart, each later one with what the disk holds,
/// without a group if it is empty. Checks after each step that all replicas have one log.
class GroupModel {
public:
    explicit GroupModel(GroupModelSettings settings);

    /// Starts the process at an address. `isFirst` is the mark of the first start in its settings.
    void start(const std::string& address, bool isFirst);
    /// Ends the process; a prefix of the writes that are not synced reaches the disk.
    void kill(const std::string& address);
    /// Tells the process to stop in order; it ends when the group does without it, or at the end of its wait.
    void stop(const std::string& address);
    /// Ends the process and empties its disk.
    void loseDisk(const std::string& address);
    /// Sets the addresses that processes know from their settings from now on.
    void setSeeds(std::vector<std::string> seeds) { this->settings.seeds = std::move(seeds); }
    /// Only processes in the same part reach each other; all begin in part 0.
    void setPart(const std::string& address, int part) { this->machines[address].part = part; }
    /// Stops a process, which keeps its memory and what arrives meanwhile, or lets it continue.
    void setFrozen(const std::string& address, bool isFrozen) { this->machines[address].isFrozen = isFrozen; }

    /// Runs for a time.
    void run(Core::Duration duration);
    /// Runs until a condition holds, for at most `limit`; returns whether it holds.
    bool runUntil(const std::function<bool()>& condition, Core::Duration limit);
    /// Puts a routing document of the next version; returns whether it was confirmed within 5 s.
    bool put();
    /// Newest version that was confirmed.
    std::uint64_t confirmedVersion() const { return this->confirmed; }
    /// Version at the leader; nothing while no replica leads with an entry of its term committed.
    std::optional<std::uint64_t> versionAtLeader();
    /// Address of the leader that is followed by a majority; empty if there is none.
    std::string leader();
    /// Term of that leader.
    Consensus::Term term();
    /// Addresses of the voters at the leader, sorted; the same address twice if two identities of it vote.
    std::vector<std::string> voters();
    /// Whether the voters are the identities of exactly the running processes.
    bool isWhole();
    /// Whether any entry was ever committed.
    bool isFormed() const { return !this->committedEntries.empty(); }
    bool isRunning(const std::string& address) { return this->machines[address].isStarted; }
    /// Whether the disk holds an identity of the first start.
    bool hasFirstIdentity(const std::string& address);
    /// The violated invariant, or an empty string.
    const std::string& violation() const { return this->violated; }
    Core::SteadyTime time() const { return this->now; }

    /// Random number below `bound`, from the seed.
    std::uint32_t random(std::uint32_t bound) { return this->generator(bound); }

private:
    struct Identity {
        Messages::ReplicaId id;
        Messages::ReplicaGroup group;
        bool isFirst = false;
    };
    struct Machine {
        std::string address;
        /// Synced content of the disk.
        std::optional<Identity> identity;
        Consensus::SimulatedDisk disk;
        bool isStarted = false;
        /// Identity that is being written, and when it is synced.
        std::optional<Identity> writtenIdentity;
        Core::SteadyTime identityDue;
        std::unique_ptr<StateCore> core;
        Messages::ReplicaId id;
        struct Write {
            Core::SteadyTime due;
            std::uint64_t sequence = 0;
            std::vector<Consensus::StorageOperation> operations;
        };
        std::deque<Write> unsynced;
        std::deque<Messages::ConsensusMessage> arrived;
        Core::SteadyTime nextAnnouncement;
        /// When a process that was told to stop ends at the latest.
        Core::SteadyTime endsBy = Core::SteadyTime::max();
        std::uint64_t identityCount = 0;
        int part = 0;
        bool isFrozen = false;
        Consensus::LogIndex checkedIndex = 0;
    };
    struct Transfer {
        std::string from;
        Consensus::OutgoingMessage outgoing;
    };

    void advance();
    void advance(Machine& machine);
    void beginCore(Machine& machine);
    void announce(Machine& machine);
    void step(Machine& machine, StateInput input);
    void send(const Machine& machine, Consensus::OutgoingMessage outgoing);
    void check(Machine& machine);
    Machine* leaderMachine();
    Core::Duration randomTime(Core::Duration longest);

    GroupModelSettings settings;
    pcg32 generator;
    Core::SteadyTime now { std::chrono::seconds(1000) };
    std::map<std::string, Machine> machines;
    std::multimap<Core::SteadyTime, Transfer> transfers;
    std::uint64_t confirmed = 0;
    std::uint64_t proposed = 0;
    std::string violated;
    std::map<Consensus::Term, Messages::ReplicaId> leaderOfTerm;
    /// Term and content of each committed entry, over all replicas.
    std::map<Consensus::LogIndex, std::pair<Consensus::Term, std::string>> committedEntries;
};

}
