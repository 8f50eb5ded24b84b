#include "celeryswitch/Membership/MemberTable.h"
#include "celeryswitch/Membership/LeaseBook.h"
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

// Guards against a recovery that misses a restarted sidecar, and against a late registration of an old incarnation.
TEST_CASE("replaced incarnations are kept for the retention and don't come back", "[Membership]")
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

// Guards against two owners of a partition: one whose lease still holds and the next.
TEST_CASE("a partition moves only after the lease, the start validity and the margin", "[Membership]")
{
    const LeaseTiming timing;
    const Core::SteadyTime begin { 1000s };
    LeaseBook book(timing);
    book.begin(begin);
    Messages::PartitionOwner owner { "e1", 1, 1, 0 };
    // A new leader does not know what the leader before it answered.
    REQUIRE_FALSE(book.isTransferable(begin + 4499ms, owner));
    REQUIRE(book.isTransferable(begin + 4500ms, owner));
    book.answered(begin + 4s, "e1", 1);
    REQUIRE_FALSE(book.isTransferable(begin + 8499ms, owner));
    REQUIRE(book.isTransferable(begin + 8500ms, owner));
    // A restarted owner does not renew what its earlier incarnation held.
    book.answered(begin + 8s, "e1", 2);
    REQUIRE(book.isTransferable(begin + 8500ms, owner));
    REQUIRE(book.isTransferable(begin, { "", 0, 3, 0 }));
}

// Guards against a transfer that was decided on an outdated owner, and against epochs that repeat.
TEST_CASE("epochs rise with each transfer and a stale grant moves nothing", "[Membership]")
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
    REQUIRE(table.heldBy("e1", 1).size() == 1);
}
