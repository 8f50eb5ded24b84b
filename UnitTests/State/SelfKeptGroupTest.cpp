#include "UnitTests/State/StateGroup.h"
#include "UnitTests/Storage/RefusingFileSystem.h"
#include "celeryswitch/Network/MessageCodec.h"
#include <algorithm>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <future>

using namespace celeryswitch;
using namespace celeryswitch::State;
using Messages::StateRefusal;
namespace json = boost::json;

namespace {

// Replicas that know three seeds and keep their group by themselves.
class SelfKeptGroup : public StateGroup {
public:
    // The first `startedCount` seeds are started.
    explicit SelfKeptGroup(std::size_t seedCount, std::size_t startedCount = SIZE_MAX)
        : StateGroup(0)
    {
        for (std::size_t index = 0; index < seedCount; ++index)
            this->seeds.push_back(freeAddress());
        for (std::size_t index = 0; index < std::min(seedCount, startedCount); ++index)
            this->run(this->seeds[index], true);
    }
    // The replicas use the disks until they end.
    ~SelfKeptGroup() { this->replicas.clear(); }
    SelfKeptGroup(const SelfKeptGroup&) = delete;
    SelfKeptGroup& operator=(const SelfKeptGroup&) = delete;

    // Starts the replica at an address.
    void run(const std::string& address, bool isFirstStart)
    {
        StateSettings settings;
        settings.replicaName = address;
        settings.peerAddress = address;
        settings.dataFolder = this->folder + "/" + address;
        for (const std::string& seed : this->seeds) {
            if (seed != address || isFirstStart)
                settings.initialReplicas[seed] = seed;
        }
        settings.isFirstStart = isFirstStart;
        settings.isGroupKept = true;
        settings.connectLimit = std::chrono::milliseconds(250);
        settings.authenticationKeys = this->keys;
        auto started = StateProcess::Builder().setSettings(settings).setFileSystem(this->disks[address]).start();
        REQUIRE(started);
        this->replicas[address] = std::move(started).value();
        this->addresses[address] = address;
    }
    // Stops a replica in order; returns whether it was told to stop within a time.
    bool depart(std::string address, Core::Duration limit)
    {
        std::promise<void> done;
        std::future<void> isDone = done.get_future();
        this->replicas.at(address)->depart([&done] { done.set_value(); });
        const bool isInTime = isDone.wait_for(limit) == std::future_status::ready;
        // Without a call it would use the promise later.
        isDone.wait();
        this->end(address);
        return isInTime;
    }
    void end(const std::string& address)
    {
        this->replicas.erase(address);
        this->addresses.erase(address);
    }
    // Identities of the voters as the leader sees them; empty when nobody leads.
    std::vector<std::string> voters()
    {
        for (const auto& [address, replica] : this->replicas) {
            if (replica->metrics().role != Consensus::ReplicaRole::Leader)
                continue;
            StateGroup only(0);
            only.keys = this->keys;
            only.addresses[address] = address;
            BlockingClient client(only);
            const auto reply = client.request(Messages::QueryReplicaStatus {}, std::chrono::seconds(2));
            if (!reply)
                continue;
            std::vector<std::string> found;
            const json::value status = json::parse(std::get<Messages::ReplicaStatus>(reply.value().body).json);
            for (const json::value& voter : status.at("voters").as_array())
                found.emplace_back(voter.at("id").as_string());
            return found;
        }
        return {};
    }
    bool hasVoter(const std::string& id)
    {
        const auto found = this->voters();
        return std::find(found.begin(), found.end(), id) != found.end();
    }
    // Puts a routing document of a version; returns whether it was acknowledged.
    bool put(std::uint64_t version)
    {
        BlockingClient client(*this);
        Configuration::RoutingDocument document;
        document.version = version;
        document.services.push_back({ "loans", "/health", true, false });
        document.queues.push_back({ "q", "h", "/" + std::to_string(version) + "/", "loans", 1500, 60, 1.6, 0, 2 });
        const auto reply = client.request(
            Messages::PutRouting { "operator", Network::encodeMessage(document), "source " + std::to_string(version) });
        return reply && reply.value().refusal == StateRefusal::None;
    }
    // Version of the document that a quorum vouches for.
    std::uint64_t version()
    {
        BlockingClient client(*this);
        const auto reply = client.request(Messages::QueryRouting {});
        const auto* source = reply ? std::get_if<Messages::RoutingSource>(&reply.value().body) : nullptr;
        REQUIRE(source);
        REQUIRE((source->version == 0 || source->source == "source " + std::to_string(source->version)));
        return source->version;
    }

    std::vector<std::string> seeds;
    /// Disk of each replica; outlives it.
    std::map<std::string, Storage::RefusingFileSystem> disks;
};

}

// Guards against documents that are taken back, and against a resend of an older one that is refused or obeyed.
TEST_CASE("the highest routing document stays in force", "[State][threads]")
{
    SelfKeptGroup group(1);
    REQUIRE(group.version() == 0);
    REQUIRE(group.put(5));
    REQUIRE(group.put(9));
    REQUIRE(group.put(5));
    REQUIRE(group.version() == 9);
    group.end(group.seeds[0]);
    group.run(group.seeds[0], false);
    REQUIRE(group.version() == 9);
}

// Guards against a lost disk that needs an operator at night, and against a second loss right after the repair.
TEST_CASE("a replica that lost its disk is replaced without an operator", "[State][threads]")
{
    SelfKeptGroup group(3);
    REQUIRE(group.put(1));
    const std::string leader = group.waitForLeader();
    const std::string lost = group.seeds[0] == leader ? group.seeds[1] : group.seeds[0];
    const std::string oldId = group.replicas[lost]->replicaId();
    group.end(lost);
    group.loseDisk(lost);
    group.run(lost, false);
    const std::string newId = group.replicas[lost]->replicaId();
    REQUIRE(StateGroup::waitUntil([&] { return group.hasVoter(newId) && !group.hasVoter(oldId); }));
    REQUIRE(group.put(2));
    group.end(leader);
    REQUIRE(group.put(3));
    REQUIRE(group.version() == 3);
}

// Guards against two of three replicas that wait for ever for the one that was lost at the first start (review case
// 10), and against one that comes late and forms a group of its own.
TEST_CASE("a majority of the first replicas forms the group", "[State][threads]")
{
    SelfKeptGroup group(3, 2);
    REQUIRE(group.put(1));
    SECTION("the third starts late") { group.run(group.seeds[2], true); }
    SECTION("the third comes back without its disk") { group.run(group.seeds[2], false); }
    SECTION("an empty replica comes at another address") { group.run(StateGroup::freeAddress(), false); }
    REQUIRE(StateGroup::waitUntil([&] {
        const std::vector<std::string> voters = group.voters();
        return voters.size() == 3
            && std::all_of(group.replicas.begin(), group.replicas.end(), [&](const auto& replica) {
                   return std::find(voters.begin(), voters.end(), replica.second->replicaId()) != voters.end();
               });
    }));
    // The group bears another loss.
    group.end(group.seeds[0]);
    REQUIRE(group.put(2));
    REQUIRE(group.version() == 2);
}

// Guards against replicas that are killed as they start for the first time, come back on their disks and wait to be
// added to a group that does not exist (review case 9).
TEST_CASE("replicas that are killed at the first start form the group when they are back", "[State][threads]")
{
    SelfKeptGroup group(3, 0);
    for (std::size_t index = 0; index < 3; ++index) {
        group.run(group.seeds[index], true);
        if (index == 0) {
            // Killed before any other replica has started.
            group.end(group.seeds[index]);
            group.run(group.seeds[index], false);
        }
    }
    for (const std::string& seed : group.seeds)
        group.end(seed);
    for (const std::string& seed : group.seeds)
        group.run(seed, false);
    REQUIRE(group.put(1));
    REQUIRE(group.version() == 1);
}

// Guards against a second group beside the first, and against instances that nobody takes in.
TEST_CASE("further replicas join the group that the seeds formed", "[State][threads]")
{
    SelfKeptGroup group(3);
    group.run(StateGroup::freeAddress(), true);
    group.run(StateGroup::freeAddress(), true);
    REQUIRE(StateGroup::waitUntil([&] { return group.voters().size() == 5; }));
    REQUIRE(group.put(1));
    // Two of five may be lost.
    group.end(group.waitForLeader());
    group.end(group.waitForLeader());
    REQUIRE(group.put(2));
    REQUIRE(group.version() == 2);
}

// Guards against a group that keeps counting a replica that is gone for good, so that one more loss stops it.
TEST_CASE("a silent replica of an even group is removed", "[State][threads]")
{
    SelfKeptGroup group(3);
    const std::string added = StateGroup::freeAddress();
    group.run(added, false);
    REQUIRE(StateGroup::waitUntil([&] { return group.voters().size() == 4; }));
    const std::string leader = group.waitForLeader();
    const std::string gone = group.seeds[0] == leader ? group.seeds[1] : group.seeds[0];
    group.end(gone);
    REQUIRE(StateGroup::waitUntil([&] { return group.voters().size() == 3; }));
    REQUIRE(group.put(1));
    // The one that was taken for gone comes back with its disk.
    group.run(gone, false);
    REQUIRE(StateGroup::waitUntil([&] { return group.voters().size() == 4; }));
    REQUIRE(group.version() == 1);
}

// Guards against acknowledged documents that are lost when all replicas go down at once.
TEST_CASE("all replicas go down and come back with what they acknowledged", "[State][threads]")
{
    SelfKeptGroup group(3);
    for (std::uint64_t version = 1; version <= 20; ++version)
        REQUIRE(group.put(version));
    for (const std::string& seed : group.seeds)
        group.end(seed);
    for (const std::string& seed : group.seeds)
        group.run(seed, false);
    REQUIRE(group.version() == 20);
}

// Guards against a replica that never votes again after its disk was full for a while, so that the next loss ends the
// group: found on the platform's bench, deploy/days/disks.toml.
TEST_CASE("a replica whose disk refused writes for a while comes back by itself", "[State][threads]")
{
    SelfKeptGroup group(3);
    REQUIRE(group.put(1));
    const auto roleOf = [&](const std::string& address) { return group.replicas.at(address)->metrics().role; };
    for (const std::string& full : { group.waitForLeader(), group.seeds.front() }) {
        const std::uint64_t version = group.version();
        group.disks[full].isRefusing = true;
        REQUIRE(group.put(version + 1));
        REQUIRE(StateGroup::waitUntil([&] { return roleOf(full) == Consensus::ReplicaRole::Stopped; }));
        REQUIRE(group.put(version + 2));
        group.disks[full].isRefusing = false;
        REQUIRE(StateGroup::waitUntil([&] { return roleOf(full) == Consensus::ReplicaRole::Follower; }));
    }
    // With the loss of another one, the group needs the replica that came back.
    group.end(group.seeds.back());
    REQUIRE(group.put(9));
    REQUIRE(group.version() == 9);
}

// Guards against a replica that stops in order and counts on, so that losses right afterwards stop the group, and
// against one that leaves a group which needs its vote (review case 6).
TEST_CASE("a replica that departs from a group with a spare vote does not count any more", "[State][threads]")
{
    SelfKeptGroup group(3);
    const std::string added = StateGroup::freeAddress();
    group.run(added, false);
    REQUIRE(StateGroup::waitUntil([&] { return group.voters().size() == 4; }));
    REQUIRE(group.put(1));
    std::string departing;
    SECTION("the leader") { departing = group.waitForLeader(); }
    SECTION("another one")
    {
        const std::string leader = group.waitForLeader();
        departing = group.seeds[0] == leader ? group.seeds[1] : group.seeds[0];
    }
    // Longer than the wait for an answer that does not come.
    CHECK(group.depart(departing, std::chrono::seconds(10)));
    group.waitForLeader();
    CHECK(group.voters().size() == 3);
    // One of three is lost at once.
    group.end(group.seeds[2] == departing ? group.seeds[1] : group.seeds[2]);
    REQUIRE(group.put(2));
    const std::vector<std::string> voters = group.voters();
    REQUIRE(voters.size() == 3);
    // The two that are left are needed.
    CHECK(group.depart(group.replicas.begin()->first, std::chrono::seconds(10)));
}

// Guards against a replica that knows only the seeds of its start, which are gone, and waits for ever.
TEST_CASE("a replica that waits to be added follows its changed seeds", "[State][threads]")
{
    SelfKeptGroup group(3);
    REQUIRE(group.put(1));
    const std::vector<std::string> seeds = std::exchange(group.seeds, { StateGroup::freeAddress() });
    const std::string waiting = StateGroup::freeAddress();
    group.run(waiting, false);
    group.seeds = seeds;
    CHECK(group.voters().size() == 3);
    group.replicas.at(waiting)->setKnownReplicas({ { seeds[0], seeds[0] }, { seeds[1], seeds[1] } });
    CHECK(StateGroup::waitUntil([&] { return group.voters().size() == 4; }));
}
