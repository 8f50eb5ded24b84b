#include "celeryswitch/Membership/MemberTable.h"
#include "celeryswitch/Membership/LeaseTracker.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace celeryswitch::Membership;
using namespace std::chrono_literals;

namespace {

Messages::Member makeMember(const std::string& id, Core::Incarnation incarnation)
{
    Messages::Member member;
    member.identity.instanceId = id;
    member.identity.incarnation = incarnation;
    return member;
}

}

// Guards against a recovery that misses a restarted sidecar and against a delayed registration that restores an old
// incarnation.
TEST_CASE("replaced incarnations are kept for the retention and are not restored", "[Membership]")
{
    MemberTable table;
    REQUIRE(table.registerMember(1000, makeMember("s1", 1)));
    REQUIRE_FALSE(table.registerMember(1100, makeMember("s1", 1)));
    REQUIRE(table.registerMember(2000, makeMember("s1", 2)));
    REQUIRE(table.all()[0].replacedIncarnations == std::map<Core::Incarnation, std::int64_t> { { 1, 2000 } });
    REQUIRE_FALSE(table.registerMember(2100, makeMember("s1", 1)));
    REQUIRE(table.isCurrent("s1", 2));
    REQUIRE_FALSE(table.removeMember(2200, { "s1", 1 }));
    REQUIRE(table.removeMember(2200, { "s1", 2 }));
    REQUIRE_FALSE(table.isCurrent("s1", 2));
    REQUIRE(table.all()[0].removedAt == 2200);
    table.registerMember(2200 + memberRetentionMilliseconds + 1, makeMember("s2", 1));
    REQUIRE(table.all().size() == 1);
}

// Guards against two owners of a partition: one with a valid lease and its successor.
TEST_CASE("a partition is transferable only after the lease, the start validity and the margin", "[Membership]")
{
    const LeaseTiming timing;
    const Core::SteadyTime begin { 1000s };
    LeaseTracker tracker(timing);
    tracker.beginLeadership(begin);
    Messages::PartitionOwner owner { "e1", 1, 1, 0 };
    // A new leader does not know which renewals the previous leader confirmed.
    REQUIRE_FALSE(tracker.isTransferable(begin + 4499ms, owner));
    REQUIRE(tracker.isTransferable(begin + 4500ms, owner));
    tracker.recordRenewal(begin + 4s, "e1", 1);
    REQUIRE_FALSE(tracker.isTransferable(begin + 8499ms, owner));
    REQUIRE(tracker.isTransferable(begin + 8500ms, owner));
    // A restarted owner does not renew the leases of its earlier incarnation.
    tracker.recordRenewal(begin + 8s, "e1", 2);
    REQUIRE(tracker.isTransferable(begin + 8500ms, owner));
    REQUIRE(tracker.isTransferable(begin, { "", 0, 3, 0 }));
}

// Guards against transfers based on an outdated owner and against reused epochs.
TEST_CASE("each transfer increments the epoch and a stale grant transfers nothing", "[Membership]")
{
    PartitionTable table;
    REQUIRE(table.grant(10, { "e1", 1, { { 3, 0 }, { 4, 0 } } }));
    REQUIRE_FALSE(table.grant(11, { "e2", 1, { { 3, 0 } } }));
    REQUIRE(table.owner(3).owner == "e1");
    REQUIRE(table.release({ "e1", 1, { 3 } }));
    REQUIRE_FALSE(table.release({ "e1", 2, { 4 } }));
    REQUIRE(table.owner(3).owner.empty());
    REQUIRE(table.grant(12, { "e2", 1, { { 3, 1 } } }));
    REQUIRE(table.owner(3).epoch == 2);
    REQUIRE(table.ownedBy("e1", 1).size() == 1);
}
