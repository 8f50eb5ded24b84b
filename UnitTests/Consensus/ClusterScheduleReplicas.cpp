// The replicas' side of ClusterSchedule: steps, messages, crashes and the invariants that hold after each step.
#include "UnitTests/Consensus/ClusterSchedule.h"

namespace celeryswitch::Consensus {

using Core::SteadyTime;
using namespace std::chrono_literals;

namespace {

// About twenty times the steps of an ordinary schedule.
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
    if (replica.clockStopsUntil > this->now)
        return replica.stoppedClock;
    if (replica.clockStopsUntil != SteadyTime {}) {
        replica.clockLag = replica.clockStopsUntil - replica.stoppedClock;
        replica.clockStopsUntil = {};
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
    // Small limits, so that snapshots and their transfer in parts take place.
    settings.replica.messageBytes = 1500;
    settings.snapshotThreshold = 12;
    settings.machine = this->mechanisms.machine;
    settings.leaseTiming = { 500ms, 200ms, 100ms };
    if (!this->mechanisms.isTransferDelayed)
        settings.leaseTiming.startValidity = settings.leaseTiming.margin = -250ms;
    ++replica.life;
    replica.comparedIndex = 0;
    replica.core = std::make_unique<State::StateCore>(settings, replica.disk.content, this->clockOf(replica));
    this->tick(replica, replica.life);
}

void ClusterSchedule::tick(SimulatedReplica& replica, std::uint64_t life)
{
    if (replica.life != life || !replica.core)
        return;
    if (this->isRunning(replica))
        this->step(replica, TimePassed {});
    this->at(this->now + this->randomTime(15, 35), [this, &replica, life] { this->tick(replica, life); });
}

void ClusterSchedule::crash(SimulatedReplica& replica)
{
    if (!replica.core)
        return;
    // Some of the writes that were not synced may have reached the disk, in order.
    std::size_t kept = this->random(static_cast<std::uint32_t>(replica.unsynced.size()) + 1);
    for (; kept > 0; --kept) {
        for (const StorageOperation& operation : replica.unsynced.front().second)
            replica.disk.apply(operation);
        replica.unsynced.pop_front();
    }
    replica.unsynced.clear();
    replica.core.reset();
    ++replica.life;
}

void ClusterSchedule::crashAfterVote(SimulatedReplica& replica)
{
    this->at(this->now + this->randomTime(0, 6), [this, &replica, voted = replica.life] {
        if (replica.life != voted)
            return;
        this->crash(replica);
        this->at(this->now + this->randomTime(0, 10), [this, &replica, life = replica.life] {
            if (!replica.core && replica.life == life)
                this->startReplica(replica);
        });
    });
}

void ClusterSchedule::step(SimulatedReplica& replica, State::StateInput input)
{
    if (++this->stepCount > maximumSteps)
        this->fail("messages multiply without end");
    State::StateOutput output = replica.core->step(this->clockOf(replica), 1'700'000'000'000, std::move(input));
    if (!output.storage.empty()) {
        const auto* term = std::get_if<SaveTerm>(&output.storage.back());
        if (term && !term->votedFor.empty() && !this->isEnding && this->random(4) == 0)
            this->crashAfterVote(replica);
        replica.unsynced.emplace_back(output.storageSequence, std::move(output.storage));
        this->at(this->now + this->randomTime(1, this->random(20) == 0 ? 120 : 6),
            [this, &replica, life = replica.life, sequence = output.storageSequence] {
                if (replica.life != life)
                    return;
                while (!replica.unsynced.empty() && replica.unsynced.front().first <= sequence) {
                    for (const StorageOperation& operation : replica.unsynced.front().second)
                        replica.disk.apply(operation);
                    replica.unsynced.pop_front();
                }
                if (this->isRunning(replica))
                    this->step(replica, StorageSynced { sequence });
                else
                    this->at(replica.frozenUntil, [this, &replica, life, sequence] {
                        if (replica.life == life)
                            this->step(replica, StorageSynced { sequence });
                    });
            });
    }
    for (const Outgoing& outgoing : output.messages)
        this->deliver(replica.id, outgoing);
    for (State::ClientReply& reply : output.replies) {
        // Answers get lost too.
        if (this->random(10) != 0)
            this->at(this->now + this->randomTime(0, 5),
                [this, reply = std::move(reply)] { this->answered(reply.connection, reply.reply); });
    }
    this->check(replica);
}

void ClusterSchedule::deliver(const ReplicaId& from, const Outgoing& outgoing)
{
    if (this->random(25) == 0 && !this->isEnding)
        return;
    const std::uint32_t copies = 1 + (this->random(25) == 0 ? 1 : 0);
    for (std::uint32_t copy = 0; copy < copies; ++copy) {
        // Delays differ, so that messages overtake each other; a few arrive very late.
        const Core::Duration delay = this->randomTime(0, this->random(40) == 0 ? 500 : 6);
        this->at(this->now + delay, [this, from, to = outgoing.to.id, message = outgoing.message] {
            SimulatedReplica* receiver = this->find(to);
            SimulatedReplica* sender = this->find(from);
            if (!receiver || !receiver->core || receiver->isolatedUntil > this->now
                || (sender && sender->isolatedUntil > this->now))
                return;
            if (this->isRunning(*receiver)) {
                this->step(*receiver, MessageReceived { message });
                return;
            }
            // A frozen process finds its messages when it goes on.
            this->at(receiver->frozenUntil, [this, receiver, life = receiver->life, message] {
                if (receiver->life == life)
                    this->step(*receiver, MessageReceived { message });
            });
        });
    }
}

void ClusterSchedule::check(SimulatedReplica& replica)
{
    const Replica& consensus = replica.core->replica();
    if (!consensus.stopReason().empty())
        this->fail("replica " + replica.id + " stopped: " + consensus.stopReason());
    if (consensus.role() == ReplicaRole::Leader) {
        const auto leader = this->leaderOfTerm.emplace(consensus.term(), replica.id);
        if (leader.first->second != replica.id)
            this->fail("term " + std::to_string(consensus.term()) + " has two leaders");
    }
    // Log matching: an index and term stand for one content that follows one term. By induction two logs that share an
    // entry share all before it.
    const ReplicaLog& log = consensus.log();
    const LogIndex first = log.snapshot()->lastIndex + 1;
    if (replica.comparedTerm != consensus.term())
        replica.comparedIndex = std::min(replica.comparedIndex, replica.core->appliedIndex());
    replica.comparedTerm = consensus.term();
    for (LogIndex index = std::max(first, replica.comparedIndex + 1); index <= log.lastIndex(); ++index) {
        const LogEntry& entry = log.at(index);
        const auto known = this->entryContents.emplace(
            std::pair(index, entry.term), std::pair(entry.payload, *log.termAt(index - 1)));
        if (known.first->second != std::pair(entry.payload, *log.termAt(index - 1)))
            this->fail("entry " + std::to_string(index) + " of term " + std::to_string(entry.term) + " differs");
    }
    replica.comparedIndex = log.lastIndex();
    // The audit trail's hash covers every change decided so far.
    const LogIndex applied = replica.core->appliedIndex();
    const std::string& hash = replica.core->machine().audit().lastHash();
    if (this->hashAtIndex.emplace(applied, hash).first->second != hash)
        this->fail("replicas differ after entry " + std::to_string(applied));
}

}
