#include "celeryswitch/Scheduling/LinkSubset.h"
#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace celeryswitch;
using namespace celeryswitch::Scheduling;

namespace {

std::vector<Messages::Member> makeMembers(std::size_t entries, std::size_t sidecars)
{
    std::vector<Messages::Member> members;
    const auto add = [&members](Messages::Role role, const std::string& id) {
        members.emplace_back();
        members.back().identity.role = role;
        members.back().identity.instanceId = id;
    };
    for (std::size_t entry = 0; entry < entries; ++entry)
        add(Messages::Role::Entry, "entry-" + std::to_string(entry));
    for (std::size_t sidecar = 0; sidecar < sidecars; ++sidecar)
        add(Messages::Role::Sidecar, "side-" + std::to_string(sidecar));
    return members;
}

// Linked sidecars by entry.
std::map<std::string, std::set<std::string>> linksByEntry(const std::vector<Messages::Member>& members)
{
    std::map<std::string, std::set<std::string>> result;
    for (const Messages::Member& member : members) {
        if (member.identity.role != Messages::Role::Entry)
            continue;
        for (const Messages::Member& sidecar : LinkSubset(member.identity.instanceId, {}).select(members))
            result[member.identity.instanceId].insert(sidecar.identity.instanceId);
    }
    return result;
}

}

// Guards against sums of room that overflow because a process registered a worker with room that no machine has.
TEST_CASE("a sidecar whose worker has room out of range is not linked and the others are", "[Scheduling]")
{
    auto members = makeMembers(3, 11);
    members[5].worker.capacity.milliCores = INT64_MAX;
    members[7].worker.capacity.memoryMegabytes = -1;
    for (const auto& [entry, sidecars] : linksByEntry(members)) {
        REQUIRE(sidecars.size() == 9);
        REQUIRE(sidecars.count(members[5].identity.instanceId) == 0);
        REQUIRE(sidecars.count(members[7].identity.instanceId) == 0);
    }
}

// Guards against a small fleet in which an entry can't use all workers.
TEST_CASE("in a small fleet every entry is linked to every sidecar", "[Scheduling]")
{
    const auto members = makeMembers(3, 11);
    for (const auto& [entry, sidecars] : linksByEntry(members))
        REQUIRE(sidecars.size() == 11);
    // An entry that is not registered yet gets the same links.
    REQUIRE(LinkSubset("entry-9", {}).select(makeMembers(0, 11)).size() == 11);
    REQUIRE(LinkSubset("entry-0", {}).select(makeMembers(3, 0)).empty());
}

// Guards against workers that are linked to no entry, and entries that are linked to too few workers.
TEST_CASE("in a large fleet each sidecar is linked to the same number of entries", "[Scheduling]")
{
    const auto members = makeMembers(13, 74);
    std::map<std::string, std::size_t> entriesOf;
    for (const auto& [entry, sidecars] : linksByEntry(members)) {
        REQUIRE(sidecars.size() >= 12);
        REQUIRE(sidecars.size() <= 36);
        for (const std::string& sidecar : sidecars)
            ++entriesOf[sidecar];
    }
    REQUIRE(entriesOf.size() == 74);
    for (const auto& [sidecar, count] : entriesOf)
        REQUIRE(count == 4);
}

// Guards against a large number of new connections when one process joins or leaves.
TEST_CASE("the loss of an entry moves only its own links", "[Scheduling]")
{
    auto members = makeMembers(13, 74);
    const auto before = linksByEntry(members);
    std::erase_if(members, [](const auto& member) { return member.identity.instanceId == "entry-4"; });
    std::size_t added = 0;
    for (const auto& [entry, sidecars] : linksByEntry(members)) {
        for (const std::string& sidecar : before.at(entry))
            REQUIRE(sidecars.count(sidecar) == 1);
        added += sidecars.size() - before.at(entry).size();
    }
    REQUIRE(added == before.at("entry-4").size());
}

// Guards against links that follow an earlier set of members.
TEST_CASE("links after changes are those of a fresh selection", "[Scheduling]")
{
    LinkSubset subset("entry-1", {});
    const auto idsOf = [](const std::vector<Messages::Member>& sidecars) {
        std::set<std::string> ids;
        for (const Messages::Member& sidecar : sidecars)
            ids.insert(sidecar.identity.instanceId);
        return ids;
    };
    const std::pair<std::size_t, std::size_t> fleets[] { { 13, 74 }, { 13, 80 }, { 13, 60 }, { 20, 60 }, { 9, 74 } };
    for (const auto& [entries, sidecars] : fleets) {
        const auto members = makeMembers(entries, sidecars);
        REQUIRE(idsOf(subset.select(members)) == idsOf(LinkSubset("entry-1", {}).select(members)));
    }
}

// Guards against two connections of an entry to one process, each of which makes the other one close.
TEST_CASE("of the sidecars at one address the newest is linked", "[Scheduling]")
{
    auto members = makeMembers(2, 4);
    const auto sidecar = [&](std::size_t number) -> Messages::Member& { return members.at(2 + number); };
    for (std::size_t number = 0; number < 4; ++number) {
        sidecar(number).peerAddress = "10.0.0." + std::to_string(number) + ":7001";
        sidecar(number).worker.bornAt = 1000;
    }
    const auto linked = [&] {
        std::set<std::string> ids;
        for (const Messages::Member& member : LinkSubset("entry-0", {}).select(members))
            ids.insert(member.identity.instanceId);
        return ids;
    };
    REQUIRE(linked().size() == 4);
    sidecar(1).peerAddress = sidecar(3).peerAddress;
    // Its worker began later.
    sidecar(1).worker.bornAt = 2000;
    CHECK(linked() == std::set<std::string> { "side-0", "side-1", "side-2" });
    // The other one replaced an earlier incarnation of itself since.
    sidecar(3).replacedIncarnations[7] = 3000;
    CHECK(linked() == std::set<std::string> { "side-0", "side-2", "side-3" });
    // All entries decide equally between sidecars of which nothing tells the order.
    sidecar(3).replacedIncarnations.clear();
    sidecar(1).worker.bornAt = 1000;
    CHECK(linked() == std::set<std::string> { "side-0", "side-2", "side-3" });
}
