// ClusterSchedule: steps, messages and crashes of the replicas, and the invariants checked after each step.
#include "UnitTests/Consensus/ClusterSchedule.h"

namespace celeryswitch::Consensus {

using Core::SteadyTime;
using namespace std::chrono_literals;

namespace {

// About twenty times the steps of a typical schedule.
constexpr std::uint64_t maximumSteps = 20'000;

}

SimulatedReplica* ClusterSchedule::find(const ReplicaId& id)
{
    for (auto& replica : this->replicas) {
        if (replica->id == id)
            return replica.get();
    }
    return nullptr;
}

bool ClusterSchedule::isRunning(const SimulatedReplica& replica) const
{
    return replica.core && replica.frozenUntil <= this->now;
}

SteadyTime ClusterSchedule::clockOf(SimulatedReplica& replica)
{
    if (replica.clockStoppedUntil > this->now)
        return replica.stoppedClockTime;
    if (replica.clockStoppedUntil != SteadyTime {}) {
        replica.clockLag = replica.clockStoppedUntil - replica.stoppedClockTime;
        replica.clockStoppedUntil = {};
    }
    return this->now - replica.clockLag;
}

void ClusterSchedule::startReplica(SimulatedReplica& replica)
{
    State::StateCoreSettings settings;
    settings.replica = this->mechanisms.replica;
    settings.replica.id = replica.id;
    settings.replica.address = replica.address;
    settings.replica.seed = this->generator();
    // Small limits, so that snapshots are taken and transferred in several chunks.
    settings.replica.messageBytes = 1500;
    settings.snapshotThreshold = 12;
    settings.machine = this->mechanisms.machine;
    settings.leaseTiming = { 500ms, 200ms, 100ms };
    if (!this->mechanisms.isTransferDelayed)
        settings.leaseTiming.startValidity = settings.leaseTiming.margin = -250ms;
    ++replica.generation;
    replica.checkedIndex = 0;
    replica.core = std::make_unique<State::StateCore>(settings, replica.disk.content, this->clockOf(replica));
    this->tick(replica, replica.generation);
}

void ClusterSchedule::tick(SimulatedReplica& replica, std::uint64_t generation)
{
    if (replica.generation != generation || !replica.core)
        return;
    if (this->isRunning(replica))
        this->step(replica, Tick {});
    this->scheduleEvent(
        this->now + this->randomTime(15, 35), [this, &replica, generation] { this->tick(replica, generation); });
}

void ClusterSchedule::crash(SimulatedReplica& replica)
{
    if (!replica.core)
        return;
    // A prefix of the unsynced writes may have reached the disk.
    std::size_t kept = this->random(static_cast<std::uint32_t>(replica.unsynced.size()) + 1);
    for (; kept > 0; --kept) {
        for (const StorageOperation& operation : replica.unsynced.front().second)
            replica.disk.apply(operation);
        replica.unsynced.pop_front();
    }
    replica.unsynced.clear();
    replica.core.reset();
    ++replica.generation;
}

void ClusterSchedule::crashAfterVote(SimulatedReplica& replica)
{
    this->scheduleEvent(this->now + this->randomTime(0, 6), [this, &replica, votedGeneration = replica.generation] {
        if (replica.generation != votedGeneration)
            return;
        this->crash(replica);
        this->scheduleEvent(this->now + this->randomTime(0, 10), [this, &replica, generation = replica.generation] {
            if (!replica.core && replica.generation == generation)
                this->startReplica(replica);
        });
    });
}

void ClusterSchedule::step(SimulatedReplica& replica, State::StateInput input)
{
    if (++this->stepCount > maximumSteps)
        this->reportViolation("messages multiply without end");
    State::StateOutput output = replica.core->step(this->clockOf(replica), 1'700'000'000'000, std::move(input));
    if (!output.storage.empty()) {
        const auto* term = std::get_if<SaveTerm>(&output.storage.back());
        if (term && !term->votedFor.empty() && !this->hasFaultPhaseEnded && this->random(4) == 0)
            this->crashAfterVote(replica);
        replica.unsynced.emplace_back(output.storageSequence, std::move(output.storage));
        this->scheduleEvent(this->now + this->randomTime(1, this->random(20) == 0 ? 120 : 6),
            [this, &replica, generation = replica.generation, sequence = output.storageSequence] {
                if (replica.generation != generation)
                    return;
                while (!replica.unsynced.empty() && replica.unsynced.front().first <= sequence) {
                    for (const StorageOperation& operation : replica.unsynced.front().second)
                        replica.disk.apply(operation);
                    replica.unsynced.pop_front();
                }
                if (this->isRunning(replica))
                    this->step(replica, StorageSynced { sequence });
                else
                    this->scheduleEvent(replica.frozenUntil, [this, &replica, generation, sequence] {
                        if (replica.generation == generation)
                            this->step(replica, StorageSynced { sequence });
                    });
            });
    }
    for (const OutgoingMessage& outgoing : output.messages)
        this->deliver(replica.id, outgoing);
    for (State::ClientReply& reply : output.replies) {
        // Replies may be lost as well.
        if (this->random(10) != 0)
            this->scheduleEvent(this->now + this->randomTime(0, 5),
                [this, reply = std::move(reply)] { this->handleReply(reply.connection, reply.reply); });
    }
    this->check(replica);
}

void ClusterSchedule::deliver(const ReplicaId& from, const OutgoingMessage& outgoing)
{
    if (this->random(25) == 0 && !this->hasFaultPhaseEnded)
        return;
    const std::uint32_t copies = 1 + (this->random(25) == 0 ? 1 : 0);
    for (std::uint32_t copy = 0; copy < copies; ++copy) {
        // Random delays reorder messages; a few arrive very late.
        const Core::Duration delay = this->randomTime(0, this->random(40) == 0 ? 500 : 6);
        this->scheduleEvent(this->now + delay, [this, from, to = outgoing.to.id, message = outgoing.message] {
            SimulatedReplica* receiver = this->find(to);
            SimulatedReplica* sender = this->find(from);
            if (!receiver || !receiver->core || receiver->isolatedUntil > this->now
                || (sender && sender->isolatedUntil > this->now))
                return;
            if (this->isRunning(*receiver)) {
                this->step(*receiver, MessageReceived { message });
                return;
            }
            // A frozen process receives its messages when it resumes.
            this->scheduleEvent(receiver->frozenUntil, [this, receiver, generation = receiver->generation, message] {
                if (receiver->generation == generation)
                    this->step(*receiver, MessageReceived { message });
            });
        });
    }
}

void ClusterSchedule::check(SimulatedReplica& replica)
{
    const Replica& consensus = replica.core->replica();
    if (!consensus.stopReason().empty())
        this->reportViolation("replica " + replica.id + " stopped: " + consensus.stopReason());
    if (consensus.role() == ReplicaRole::Leader) {
        const auto leader = this->leaderOfTerm.emplace(consensus.term(), replica.id);
        if (leader.first->second != replica.id)
            this->reportViolation("term " + std::to_string(consensus.term()) + " has two leaders");
    }
    // Log matching: an index and term identify one content and the term of the preceding entry. By induction, two logs
    // that share an entry share all entries before it.
    const ReplicaLog& log = consensus.log();
    const LogIndex first = log.snapshot()->lastIndex + 1;
    if (replica.checkedTerm != consensus.term())
        replica.checkedIndex = std::min(replica.checkedIndex, replica.core->appliedIndex());
    replica.checkedTerm = consensus.term();
    for (LogIndex index = std::max(first, replica.checkedIndex + 1); index <= log.lastIndex(); ++index) {
        const LogEntry& entry = log.at(index);
        const auto known = this->entryContents.emplace(
            std::pair(index, entry.term), std::pair(entry.payload, *log.termAt(index - 1)));
        if (known.first->second != std::pair(entry.payload, *log.termAt(index - 1)))
            this->reportViolation(
                "entry " + std::to_string(index) + " of term " + std::to_string(entry.term) + " differs");
    }
    replica.checkedIndex = log.lastIndex();
    // The hash of the audit trail covers every change decided so far.
    const LogIndex applied = replica.core->appliedIndex();
    const std::string& hash = replica.core->machine().audit().lastHash();
    if (this->auditHashByIndex.emplace(applied, hash).first->second != hash)
        this->reportViolation("replicas differ after entry " + std::to_string(applied));
}

}
