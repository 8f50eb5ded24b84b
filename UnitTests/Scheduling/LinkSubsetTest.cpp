#include "celeryswitch/Scheduling/LinkSubset.h"
#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace celeryswitch;
using namespace celeryswitch::Scheduling;

namespace {

std::vector<Messages::Member> fleet(std::size_t entries, std::size_t sidecars)
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

// Sidecars of every entry.
std::map<std::string, std::set<std::string>> links(const std::vector<Messages::Member>& members)
{
    std::map<std::string, std::set<std::string>> result;
    for (const Messages::Member& member : members) {
        if (member.identity.role != Messages::Role::Entry)
            continue;
        for (const Messages::Member& sidecar : linkedSidecars(members, member.identity.instanceId, {}))
            result[member.identity.instanceId].insert(sidecar.identity.instanceId);
    }
    return result;
}

}

// Guards against a small fleet in which an entry can't use every worker.
TEST_CASE("a small fleet is linked in full", "[Scheduling]")
{
    const auto members = fleet(3, 11);
    for (const auto& [entry, sidecars] : links(members))
        REQUIRE(sidecars.size() == 11);
    // An entry that is not registered yet sees the same.
    REQUIRE(linkedSidecars(fleet(0, 11), "entry-9", {}).size() == 11);
    REQUIRE(linkedSidecars(fleet(3, 0), "entry-0", {}).empty());
}

// Guards against workers that no entry uses, and entries with too few workers.
TEST_CASE("in a large fleet each sidecar has the same number of entries", "[Scheduling]")
{
    const auto members = fleet(13, 74);
    std::map<std::string, std::size_t> entriesOf;
    for (const auto& [entry, sidecars] : links(members)) {
        REQUIRE(sidecars.size() >= 12);
        REQUIRE(sidecars.size() <= 36);
        for (const std::string& sidecar : sidecars)
            ++entriesOf[sidecar];
    }
    REQUIRE(entriesOf.size() == 74);
    for (const auto& [sidecar, count] : entriesOf)
        REQUIRE(count == 4);
}

// Guards against a storm of new connections when one process comes or goes.
TEST_CASE("a lost entry moves only its own links", "[Scheduling]")
{
    auto members = fleet(13, 74);
    const auto before = links(members);
    std::erase_if(members, [](const auto& member) { return member.identity.instanceId == "entry-4"; });
    std::size_t added = 0;
    for (const auto& [entry, sidecars] : links(members)) {
        for (const std::string& sidecar : before.at(entry))
            REQUIRE(sidecars.count(sidecar) == 1);
        added += sidecars.size() - before.at(entry).size();
    }
    REQUIRE(added == before.at("entry-4").size());
}
