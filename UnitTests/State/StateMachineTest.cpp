#include "celeryswitch/State/StateMachine.h"
#include "celeryswitch/Network/MessageCodec.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using Messages::StateRefusal;
using State::StateMachine;

namespace {

template <typename Body>
Messages::StateReply apply(StateMachine& machine, std::uint64_t index, const Body& body, std::int64_t time = 1)
{
    return machine.apply(index, Network::encodeMessage(State::StateCommand { time, body }));
}

Messages::ProposeChange change(const std::string& changeId, std::uint64_t expectedVersion, int value)
{
    return { changeId, "ana", "test", expectedVersion,
        R"([{"operation":"setDefault","key":"shareWeight","value":)" + std::to_string(value) + "}]" };
}

}

// Guards against a resent change that is accepted twice or refused, also after a snapshot.
TEST_CASE("a resent change gets its first answer after a snapshot", "[State]")
{
    StateMachine machine;
    REQUIRE(apply(machine, 1, change("a", 0, 20)).refusal == StateRefusal::None);
    const auto conflict = apply(machine, 2, change("b", 0, 30));
    REQUIRE(conflict.refusal == StateRefusal::VersionConflict);
    REQUIRE(conflict.detail.find("\"a\" of ana") != std::string::npos);
    REQUIRE(apply(machine, 3, change("c", 1, 5000)).refusal == StateRefusal::InvalidChange);

    StateMachine restored;
    REQUIRE(restored.restore(machine.snapshot()));
    REQUIRE(restored.snapshot() == machine.snapshot());
    REQUIRE(std::get<Messages::ChangeAccepted>(apply(restored, 4, change("a", 0, 20)).body).version == 1);
    REQUIRE(apply(restored, 5, change("b", 0, 30)).detail == conflict.detail);
    REQUIRE(apply(restored, 6, change("a", 1, 99)).refusal == StateRefusal::InvalidChange);
    REQUIRE(restored.audit().lastIndex() == 3);
    REQUIRE(restored.configuration().version == 1);
}

// Guards against a memory of changes that grows without bound.
TEST_CASE("the memory of changes is bounded", "[State]")
{
    State::ChangeMemory memory;
    for (std::size_t index = 0; index <= State::ChangeMemory::capacity; ++index)
        memory.remember(std::to_string(index), {});
    REQUIRE(memory.find("0") == nullptr);
    REQUIRE(memory.find("1") != nullptr);
}

// Guards against report sums that count a resent report twice, or lose minutes when they grow old.
TEST_CASE("report sums ignore repeated sequences and keep old minutes by day", "[State]")
{
    StateMachine machine;
    const auto report = [](Core::Incarnation incarnation, std::uint64_t sequence, std::int64_t minute) {
        return Messages::AppendReport { "e1", incarnation, sequence,
            { { "orders", "stock", "t1", minute, Messages::TaskOutcome::Succeeded, Messages::TaskReason::None, 10 } } };
    };
    const std::int64_t day = 24 * 60;
    apply(machine, 1, report(1, 1, 100 * day + 5), (100 * day + 5) * 60'000);
    apply(machine, 2, report(1, 1, 100 * day + 5), (100 * day + 5) * 60'000);
    apply(machine, 3, report(1, 2, 100 * day + 9), (100 * day + 9) * 60'000);
    apply(machine, 4, report(2, 1, 100 * day + 9), (100 * day + 9) * 60'000);
    REQUIRE(machine.report().query({ "orders", 100 * day + 9, 100 * day + 10 })[0].tasks == 20);
    apply(machine, 5, report(2, 2, 102 * day), 102 * day * 60'000);
    const auto rows = machine.report().query({ "", 0, 102 * day });
    REQUIRE(rows.size() == 1);
    REQUIRE(rows[0].minute == 100 * day);
    REQUIRE(rows[0].tasks == 30);
}

// Guards against a view that wakes every process for records that don't concern them.
TEST_CASE("the view's version rises only with changes of the view", "[State]")
{
    StateMachine machine;
    Messages::Member member;
    member.identity.instanceId = "e1";
    member.identity.incarnation = 1;
    apply(machine, 1, Messages::RegisterMember { member });
    REQUIRE(machine.viewVersion() == 1);
    apply(machine, 2, Messages::RegisterMember { member });
    apply(machine, 3, Messages::AppendReport { "e1", 1, 1, {} });
    apply(machine, 4, change("bad", 7, 1));
    REQUIRE(machine.viewVersion() == 1);
    REQUIRE(apply(machine, 5, Membership::GrantPartitions { "e1", 2, { { 1, 0 } } }).refusal
        == StateRefusal::UnknownMember);
    apply(machine, 6, Membership::GrantPartitions { "e1", 1, { { 1, 0 } } });
    REQUIRE(machine.viewVersion() == 6);
}

// Guards against views whose size at each change grows with the fleet, and against members that have left and are used
// again because a difference does not name them.
TEST_CASE("a watcher that follows changes knows the same members as the replica", "[State]")
{
    StateMachine machine;
    std::uint64_t index = 0;
    const auto registerMember = [&](int number, Core::Incarnation incarnation) {
        Messages::Member member;
        member.identity.instanceId = "side-" + std::to_string(number);
        member.identity.incarnation = incarnation;
        apply(machine, ++index, Messages::RegisterMember { member });
    };
    std::map<std::string, Core::Incarnation> known;
    std::uint64_t version = 0;
    const auto follow = [&] {
        const Messages::FleetChanges changes = machine.changes(version, 0);
        if (changes.isWhole)
            known.clear();
        for (const Messages::Member& member : changes.view.members) {
            if (member.removedAt == 0)
                known[member.identity.instanceId] = member.identity.incarnation;
            else
                known.erase(member.identity.instanceId);
        }
        version = changes.view.viewVersion;
        return changes.view.members.size();
    };
    for (int number = 0; number < 300; ++number)
        registerMember(number, 1);
    REQUIRE(follow() == 300);
    registerMember(7, 2);
    apply(machine, ++index, Messages::RemoveMember { "side-9", 1 });
    registerMember(300, 1);
    REQUIRE(follow() == 3);
    REQUIRE(known.size() == 300);
    REQUIRE(known.at("side-7") == 2);
    REQUIRE(known.count("side-9") == 0);
    // A replica that was restored from a snapshot does not know what changed before it.
    StateMachine restored;
    REQUIRE(restored.restore(machine.snapshot()));
    machine = std::move(restored);
    registerMember(11, 5);
    REQUIRE(follow() == 1);
    version = 5;
    REQUIRE(machine.changes(version, 0).isWhole);
    follow();
    REQUIRE(known.size() == 300);
    REQUIRE(known.at("side-11") == 5);
    REQUIRE(known.count("side-9") == 0);
}

// Guards against a member that has left and is used for ever by a process that was cut off until the replicas had
// deleted it.
TEST_CASE("a watcher that has missed the removal of a deleted member gets the whole view", "[State]")
{
    StateMachine machine;
    const auto registerMember = [&](std::uint64_t index, const std::string& id, std::int64_t time) {
        Messages::Member member;
        member.identity.instanceId = id;
        member.identity.incarnation = 1;
        apply(machine, index, Messages::RegisterMember { member }, time);
    };
    registerMember(1, "side-1", 1);
    registerMember(2, "side-2", 1);
    apply(machine, 3, Messages::RemoveMember { "side-1", 1 }, 10);
    REQUIRE_FALSE(machine.changes(2, 0).isWhole);
    REQUIRE(machine.changes(2, 0).view.members.size() == 1);
    registerMember(4, "side-3", 10 + Membership::memberRetentionMilliseconds + 1);
    const Messages::FleetChanges missed = machine.changes(2, 0);
    REQUIRE(missed.isWhole);
    REQUIRE(missed.view.members.size() == 2);
    // Watchers that know of the removal still get differences.
    REQUIRE_FALSE(machine.changes(3, 0).isWhole);
    REQUIRE(machine.changes(3, 0).view.members.size() == 1);
}
