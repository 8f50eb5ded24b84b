#include "UnitTests/State/GroupModel.h"

#include "celeryswitch/Network/MessageCodec.h"
#include "celeryswitch/State/GroupFormation.h"
#include <algorithm>

namespace celeryswitch::State {

using namespace std::chrono_literals;
using Messages::ReplicaInfo;

namespace {

constexpr Core::Duration stepLength = 5ms;
constexpr Core::Duration announcementInterval = 100ms;
constexpr std::int64_t wallTime = 1'700'000'000'000;

}

GroupModel::GroupModel(GroupModelSettings settings)
    : settings(std::move(settings))
    , generator(this->settings.seed)
{
}

Core::Duration GroupModel::randomTime(Core::Duration longest)
{
    const auto bound = std::chrono::duration_cast<std::chrono::microseconds>(longest).count() + 1;
    return std::chrono::microseconds(this->random(static_cast<std::uint32_t>(bound)));
}

void GroupModel::start(const std::string& address, bool isFirst)
{
    Machine& machine = this->machines[address];
    machine.address = address;
    machine.isStarted = true;
    machine.isFrozen = false;
    if (machine.identity)
        return;
    std::map<std::string, std::string> initial;
    for (const std::string& seed : this->settings.seeds)
        initial[seed] = seed;
    const bool isMarked = isFirst || !this->settings.isIdentityRenewed;
    const auto first = isMarked ? GroupFormation::firstStart(address, initial) : std::nullopt;
    Identity identity;
    identity.isFirst = first.has_value();
    identity.id = first ? first->replicaId : address + "-" + std::to_string(++machine.identityCount);
    if (first)
        identity.group = first->group;
    machine.writtenIdentity = identity;
    machine.identityDue = this->now + this->randomTime(this->settings.longestSync);
}

void GroupModel::kill(const std::string& address)
{
    Machine& machine = this->machines[address];
    if (machine.core) {
        std::size_t kept = this->random(static_cast<std::uint32_t>(machine.unsynced.size()) + 1);
        for (; kept > 0; --kept) {
            for (const Consensus::StorageOperation& operation : machine.unsynced.front().operations)
                machine.disk.apply(operation);
            machine.unsynced.pop_front();
        }
    }
    // A write of the identity that was cut off may have reached the disk.
    if (machine.writtenIdentity && this->random(2) == 0)
        machine.identity = machine.writtenIdentity;
    if (!this->settings.isFirstStartRecorded && machine.identity && machine.identity->isFirst
        && machine.disk.content.term == 0)
        machine.identity->group = {};
    machine.writtenIdentity.reset();
    machine.unsynced.clear();
    machine.arrived.clear();
    machine.core.reset();
    machine.isStarted = false;
    machine.isFrozen = false;
    machine.endsBy = Core::SteadyTime::max();
}

void GroupModel::stop(const std::string& address)
{
    Machine& machine = this->machines[address];
    if (!machine.core || !this->settings.isDepartureAwaited) {
        this->kill(address);
        return;
    }
    machine.endsBy = this->now + this->settings.departureLimit;
    this->step(machine, Depart {});
}

void GroupModel::loseDisk(const std::string& address)
{
    this->kill(address);
    Machine& machine = this->machines[address];
    machine.identity.reset();
    machine.disk = {};
}

void GroupModel::run(Core::Duration duration)
{
    const Core::SteadyTime end = this->now + duration;
    while (this->now < end && this->violated.empty())
        this->advance();
}

bool GroupModel::runUntil(const std::function<bool()>& condition, Core::Duration limit)
{
    const Core::SteadyTime end = this->now + limit;
    while (!condition()) {
        if (this->now >= end || !this->violated.empty())
            return false;
        this->advance();
    }
    return true;
}

bool GroupModel::put()
{
    const std::uint64_t version = ++this->proposed;
    Configuration::RoutingDocument document;
    document.version = version;
    const std::string bytes = Network::encodeMessage(document);
    const Core::SteadyTime end = this->now + 5s;
    while (this->now < end && this->violated.empty()) {
        if (Machine* machine = this->leaderMachine())
            this->step(*machine, ClientRequest { 1, { version, Messages::PutRouting { "operator", bytes, "" } } });
        if (this->runUntil([&] { return this->confirmed >= version; }, 500ms))
            return true;
    }
    return false;
}

GroupModel::Machine* GroupModel::leaderMachine()
{
    Machine* found = nullptr;
    for (auto& [address, machine] : this->machines) {
        // A deposed leader may not know of its successor yet.
        if (machine.core && !machine.isFrozen && machine.core->replica().isLeaderReady()
            && (!found || found->core->replica().term() < machine.core->replica().term()))
            found = &machine;
    }
    return found;
}

std::optional<std::uint64_t> GroupModel::versionAtLeader()
{
    const Machine* machine = this->leaderMachine();
    if (!machine)
        return std::nullopt;
    return machine->core->machine().routing().version;
}

std::string GroupModel::leader()
{
    const Machine* machine = this->leaderMachine();
    return machine ? machine->address : "";
}

Consensus::Term GroupModel::term()
{
    const Machine* machine = this->leaderMachine();
    return machine ? machine->core->replica().term() : 0;
}

std::vector<std::string> GroupModel::voters()
{
    std::vector<std::string> result;
    if (const Machine* machine = this->leaderMachine()) {
        for (const ReplicaInfo& voter : machine->core->replica().log().group().voters)
            result.push_back(voter.address);
    }
    std::sort(result.begin(), result.end());
    return result;
}

bool GroupModel::isWhole()
{
    const Machine* leading = this->leaderMachine();
    if (!leading || leading->core->replica().isGroupChanging())
        return false;
    std::vector<Messages::ReplicaId> running;
    for (const auto& [address, machine] : this->machines) {
        if (machine.isStarted)
            running.push_back(machine.core ? machine.id : "(starting)");
    }
    std::vector<Messages::ReplicaId> voting;
    for (const ReplicaInfo& voter : leading->core->replica().log().group().voters)
        voting.push_back(voter.id);
    std::sort(running.begin(), running.end());
    std::sort(voting.begin(), voting.end());
    return running == voting;
}

bool GroupModel::hasFirstIdentity(const std::string& address)
{
    const Machine& machine = this->machines[address];
    return machine.identity && machine.identity->isFirst;
}

void GroupModel::advance()
{
    this->now += stepLength;
    while (!this->transfers.empty() && this->transfers.begin()->first <= this->now) {
        const auto next = this->transfers.extract(this->transfers.begin());
        const Transfer& transfer = next.mapped();
        for (auto& [address, machine] : this->machines) {
            const bool isReceiver = transfer.outgoing.to.address.empty() ? machine.id == transfer.outgoing.to.id
                                                                         : address == transfer.outgoing.to.address;
            if (isReceiver && machine.core && machine.part == this->machines[transfer.from].part)
                machine.arrived.push_back(transfer.outgoing.message);
        }
    }
    for (auto& [address, machine] : this->machines) {
        if (machine.isStarted && !machine.isFrozen)
            this->advance(machine);
    }
}

void GroupModel::advance(Machine& machine)
{
    if (!machine.core) {
        if (machine.writtenIdentity && machine.identityDue > this->now)
            return;
        if (machine.writtenIdentity)
            machine.identity = std::move(machine.writtenIdentity);
        machine.writtenIdentity.reset();
        this->beginCore(machine);
    }
    while (!machine.unsynced.empty() && machine.unsynced.front().due <= this->now) {
        const Machine::Write write = std::move(machine.unsynced.front());
        machine.unsynced.pop_front();
        for (const Consensus::StorageOperation& operation : write.operations)
            machine.disk.apply(operation);
        this->step(machine, Consensus::StorageSynced { write.sequence });
    }
    for (Messages::ConsensusMessage& message : std::exchange(machine.arrived, {})) {
        if (auto* announcement = std::get_if<Messages::ReplicaAnnouncement>(&message))
            this->step(machine, std::move(*announcement));
        else
            this->step(machine, Consensus::MessageReceived { std::move(message) });
    }
    if (machine.core->nextWakeUp() <= this->now)
        this->step(machine, Consensus::Tick {});
    const bool isDeparting = machine.core->isDeparting();
    if (!isDeparting && machine.core->isWithoutLeader(this->now) && machine.nextAnnouncement <= this->now)
        this->announce(machine);
    if (isDeparting && (machine.core->departureVerdict() != DepartureVerdict::Undecided || this->now >= machine.endsBy))
        this->kill(machine.address);
}

void GroupModel::beginCore(Machine& machine)
{
    StateCoreSettings core;
    core.replica.id = machine.identity->id;
    core.replica.address = machine.address;
    core.replica.seed = this->generator();
    core.keeper.isEnabled = true;
    core.keeper.toleratedLosses = this->settings.toleratedLosses;
    Consensus::RecoveredState recovered = machine.disk.content;
    recovered.initialGroup = machine.identity->group;
    machine.id = machine.identity->id;
    machine.checkedIndex = 0;
    machine.core = std::make_unique<StateCore>(core, std::move(recovered), this->now);
}

void GroupModel::announce(Machine& machine)
{
    machine.nextAnnouncement = this->now + announcementInterval;
    std::set<std::string> addresses(this->settings.seeds.begin(), this->settings.seeds.end());
    for (const ReplicaInfo& voter : machine.core->replica().log().group().voters)
        addresses.insert(voter.address);
    addresses.erase(machine.address);
    Messages::ReplicaAnnouncement announcement;
    announcement.name = machine.address;
    announcement.replica = { machine.id, machine.address };
    announcement.isReplyWanted = true;
    for (const std::string& address : addresses)
        this->send(machine, { { address, address }, announcement });
}

void GroupModel::step(Machine& machine, StateInput input)
{
    StateOutput output = machine.core->step(this->now, wallTime, std::move(input));
    if (!output.storage.empty()) {
        const Core::SteadyTime earliest = machine.unsynced.empty() ? this->now : machine.unsynced.back().due;
        machine.unsynced.push_back({ earliest + this->randomTime(this->settings.longestSync), output.storageSequence,
            std::move(output.storage) });
    }
    for (Consensus::OutgoingMessage& outgoing : output.messages)
        this->send(machine, std::move(outgoing));
    for (const ClientReply& reply : output.replies) {
        if (reply.reply.refusal == Messages::StateRefusal::None)
            this->confirmed = std::max(this->confirmed, reply.reply.requestId);
    }
    this->check(machine);
}

void GroupModel::send(const Machine& machine, Consensus::OutgoingMessage outgoing)
{
    this->transfers.emplace(this->now + this->randomTime(this->settings.longestTransfer),
        Transfer { machine.address, std::move(outgoing) });
}

void GroupModel::check(Machine& machine)
{
    const Consensus::Replica& replica = machine.core->replica();
    if (!replica.stopReason().empty())
        this->violated = machine.id + " stopped: " + replica.stopReason();
    if (replica.role() == Consensus::ReplicaRole::Leader
        && this->leaderOfTerm.emplace(replica.term(), machine.id).first->second != machine.id)
        this->violated = "term " + std::to_string(replica.term()) + " has two leaders";
    const Consensus::LogIndex first = replica.log().snapshot()->lastIndex + 1;
    for (Consensus::LogIndex index = std::max(first, machine.checkedIndex + 1); index <= replica.commitIndex();
         ++index) {
        const Messages::LogEntry& entry = replica.log().at(index);
        const std::pair content(entry.term, entry.payload);
        if (this->committedEntries.emplace(index, content).first->second != content)
            this->violated = machine.id + " has another committed entry " + std::to_string(index);
        machine.checkedIndex = index;
    }
}

}
