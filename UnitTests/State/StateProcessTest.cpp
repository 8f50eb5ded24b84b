#include "UnitTests/State/StateGroup.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using Messages::ChangeAccepted;
using Messages::StateRefusal;
using State::BlockingClient;
using State::StateGroup;

// Guards against changes that are accepted twice, get lost with the leader, or are refused for ever after it.
TEST_CASE("three replicas accept changes before and after the loss of the leader", "[State][threads]")
{
    StateGroup group(3);
    BlockingClient client(group);
    const auto first = client.change("c1", 0, 20);
    REQUIRE(first);
    REQUIRE(first.value().refusal == StateRefusal::None);
    REQUIRE(std::get<ChangeAccepted>(first.value().body).version == 1);
    group.stop(group.waitForLeader());
    const auto second = client.change("c2", 1, 30);
    REQUIRE(second);
    REQUIRE(second.value().refusal == StateRefusal::None);
    REQUIRE(std::get<ChangeAccepted>(second.value().body).version == 2);
    const auto again = client.change("c1", 0, 20);
    REQUIRE(std::get<ChangeAccepted>(again.value().body).version == 1);
    const auto late = client.change("c3", 1, 40);
    REQUIRE(late.value().refusal == StateRefusal::VersionConflict);
    REQUIRE(late.value().detail.find("c2") != std::string::npos);
}

// Guards against a single replica that waits for a quorum, and against a restart that loses accepted changes.
TEST_CASE("a single replica keeps its state over a restart", "[State][threads]")
{
    StateGroup group(1);
    group.snapshotThreshold = 5;
    group.stop("state-0");
    REQUIRE(group.start("state-0").empty());
    {
        BlockingClient client(group);
        for (int version = 0; version < 12; ++version)
            REQUIRE(client.change("c" + std::to_string(version), version, 10 + version).value().refusal
                == StateRefusal::None);
    }
    group.stop("state-0");
    REQUIRE(group.start("state-0").empty());
    BlockingClient client(group);
    const auto view = client.request(Messages::WatchView { 0, 0 });
    REQUIRE(std::get<Messages::FleetView>(view.value().body).configurationVersion <= 12);
    const auto audit = client.request(Messages::QueryAudit { 1, 100 });
    const auto& records = std::get<Messages::AuditAnswer>(audit.value().body).records;
    REQUIRE(records.size() == 12);
    REQUIRE(Configuration::AuditTrail::verify(records));
}

// Guards against a replaced disk that keeps its vote, and against a repair after which one more loss stops the group.
TEST_CASE("a replica with a new disk replaces the old identity and a second loss is survived", "[State][threads]")
{
    StateGroup group(3);
    group.snapshotThreshold = 4;
    BlockingClient client(group);
    for (int version = 0; version < 10; ++version)
        REQUIRE(
            client.change("c" + std::to_string(version), version, 10 + version).value().refusal == StateRefusal::None);
    const std::string leader = group.waitForLeader();
    const std::string lost = leader == "state-0" ? "state-1" : "state-0";
    const std::string oldId = group.replicas[lost]->replicaId();
    group.stop(lost);
    group.loseDisk(lost);
    REQUIRE(group.start(lost).empty());
    const std::string newId = group.replicas[lost]->replicaId();
    REQUIRE(newId != oldId);
    const auto replaced = client.request(
        Messages::ReplaceReplica { "r1", oldId, newId, group.addresses[lost] }, std::chrono::seconds(20));
    REQUIRE(replaced);
    REQUIRE(replaced.value().refusal == StateRefusal::None);
    group.stop(leader);
    const auto after = client.change("after", 10, 77);
    REQUIRE(after);
    REQUIRE(after.value().refusal == StateRefusal::None);
    REQUIRE(std::get<ChangeAccepted>(after.value().body).version == 11);
}
