#include "celeryswitch/Consensus/Replica.h"
#include "celeryswitch/State/GroupFormation.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace celeryswitch::Consensus;
using namespace std::chrono_literals;

namespace {

/// Three replicas with a network without delay, and storage that syncs at once.
struct Trio {
    explicit Trio(ReplicaSettings common = {})
    {
        for (const char* id : { "a", "b", "c" })
            this->group.voters.push_back({ id, std::string(id) + "-address" });
        for (const Messages::ReplicaInfo& info : this->group.voters) {
            common.id = info.id;
            common.address = info.address;
            common.seed = static_cast<std::uint64_t>(info.id[0]);
            this->replicas.emplace(info.id, Replica(common, { 0, "", nullptr, this->group, {} }, this->now));
        }
    }
    void step(const ReplicaId& id, ReplicaEvent event)
    {
        ReplicaActions actions = this->replicas.at(id).step(this->now, std::move(event));
        this->confirmed += actions.confirmedReads.size();
        if (!actions.storage.empty() && id != this->unsynced)
            this->step(id, StorageSynced { actions.storageSequence });
        for (const Outgoing& outgoing : actions.messages) {
            if (id != this->isolated && outgoing.to.id != this->isolated)
                this->step(outgoing.to.id, MessageReceived { outgoing.message });
        }
    }
    void run(Core::Duration span)
    {
        for (const Core::SteadyTime end = this->now + span; this->now < end; this->now += 10ms) {
            for (auto& [id, replica] : this->replicas)
                this->step(id, TimePassed {});
        }
    }
    ReplicaId leader() const
    {
        for (const auto& [id, replica] : this->replicas) {
            if (replica.isLeaderReady() && id != this->isolated)
                return id;
        }
        return "";
    }

    ReplicaGroup group;
    std::map<ReplicaId, Replica> replicas;
    ReplicaId isolated;
    ReplicaId unsynced;
    std::size_t confirmed = 0;
    Core::SteadyTime now { 1000s };
};

}

// Guards against a follower that returns from a silent partition and deposes a leader that the others follow.
TEST_CASE("a replica that was isolated does not disturb the others", "[Consensus]")
{
    for (bool isPreVoteUsed : { true, false }) {
        ReplicaSettings settings;
        settings.isPreVoteUsed = isPreVoteUsed;
        Trio trio(settings);
        trio.run(2s);
        const ReplicaId leader = trio.leader();
        REQUIRE(leader != "");
        const Term term = trio.replicas.at(leader).term();
        trio.isolated = leader == "a" ? "b" : "a";
        trio.run(60s);
        trio.isolated.clear();
        trio.run(2s);
        // With the mechanism off the returning replica's higher term ends the leadership.
        REQUIRE((trio.replicas.at(leader).term() == term) == isPreVoteUsed);
    }
}

// Guards against an isolated leader that answers reads, or that holds requests for ever.
TEST_CASE("an isolated leader confirms nothing and gives up", "[Consensus]")
{
    for (bool isQuorumChecked : { true, false }) {
        ReplicaSettings settings;
        settings.isQuorumChecked = isQuorumChecked;
        Trio trio(settings);
        trio.run(2s);
        const ReplicaId old = trio.leader();
        trio.step(old, Read { 1 });
        REQUIRE(trio.confirmed == 1);
        trio.isolated = old;
        trio.step(old, Read { 2 });
        trio.run(1500ms);
        REQUIRE(trio.confirmed == 1);
        REQUIRE(trio.leader() != "");
        // With the mechanism off it still takes itself for the leader.
        REQUIRE((trio.replicas.at(old).role() == ReplicaRole::Leader) == !isQuorumChecked);
    }
}

// Guards against a leader whose stalled disk counts as synced, and against a failed one that keeps voting.
TEST_CASE("a replica without storage confirms nothing", "[Consensus]")
{
    Trio trio;
    trio.run(2s);
    const ReplicaId leader = trio.leader();
    const LogIndex committed = trio.replicas.at(leader).commitIndex();
    for (auto& [id, replica] : trio.replicas) {
        if (id != leader)
            trio.step(id, StorageFailed { "sync failed" });
    }
    trio.step(leader, Propose { 1, "command" });
    REQUIRE(trio.replicas.at(leader).commitIndex() == committed);
    trio.run(2s);
    REQUIRE(trio.leader() == "");
}

// Guards against an entry of an earlier term that counts as committed although a later leader can still replace it.
TEST_CASE("an entry of an earlier term is committed only together with one of the leader's term", "[Consensus]")
{
    for (bool isLimited : { true, false }) {
        ReplicaSettings settings;
        settings.id = "a";
        settings.address = "a-address";
        settings.isCommitLimitedToOwnTerm = isLimited;
        // One entry a message, so that the old entry travels without the new leader's first one.
        settings.messageBytes = 1;
        RecoveredState recovered;
        recovered.initialGroup = Trio().group;
        recovered.term = 3;
        recovered.entries = { { 1, 2, Messages::EntryKind::Command, "old" } };
        Core::SteadyTime now { 1000s };
        Replica replica(settings, recovered, now);
        now += 1s;
        replica.step(now, TimePassed {});
        const ReplicaActions candidacy
            = replica.step(now, MessageReceived { Messages::VoteReply { "b", 4, true, true } });
        replica.step(now, StorageSynced { candidacy.storageSequence });
        const ReplicaActions leading
            = replica.step(now, MessageReceived { Messages::VoteReply { "b", 4, true, false } });
        REQUIRE(replica.role() == ReplicaRole::Leader);
        replica.step(now, StorageSynced { leading.storageSequence });
        // Another replica with a last entry of term 3 could still win with the vote of "b".
        replica.step(now, MessageReceived { Messages::AppendReply { "b", 4, 1, true, 1 } });
        REQUIRE((replica.commitIndex() == 0) == isLimited);
        replica.step(now, MessageReceived { Messages::AppendReply { "b", 4, 1, true, 2 } });
        REQUIRE(replica.commitIndex() == 2);
    }
}

// Guards against a second group beside the running one after lost disks.
TEST_CASE("a first group needs the answers of all and joins a running one", "[State]")
{
    using State::GroupFormation;
    using Verdict = GroupFormation::Verdict;
    const std::map<std::string, std::string> initial { { "a", "1" }, { "b", "2" }, { "c", "3" } };
    GroupFormation fresh("a", { "a-1", "1" }, initial);
    REQUIRE(fresh.start() == Verdict::Undecided);
    REQUIRE(fresh.received({ "b", { "b-1", "2" }, false, {}, false }) == Verdict::Undecided);
    REQUIRE(fresh.received({ "c", { "c-1", "3" }, false, {}, false }) == Verdict::Form);
    REQUIRE(fresh.group().hasVoter("b-1"));
    GroupFormation replaced("a", { "a-2", "1" }, initial);
    REQUIRE(replaced.received({ "b", { "b-1", "2" }, true, fresh.group(), false }) == Verdict::Join);
    GroupFormation late("c", { "c-1", "3" }, initial);
    REQUIRE(late.received({ "b", { "b-1", "2" }, true, fresh.group(), false }) == Verdict::Form);
    REQUIRE(late.group() == fresh.group());
    REQUIRE(GroupFormation("d", { "d-1", "4" }, initial).start() == Verdict::Join);
}
