#include "UnitTests/State/StateGroup.h"
#include "celeryswitch/Network/MessageCodec.h"
#include "celeryswitch/State/StateMachine.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace celeryswitch::State;

namespace {

Messages::StateReply apply(StateMachine& machine, std::uint64_t index, const std::string& dataCentre, bool isEvacuated)
{
    return machine.apply(index,
        Network::encodeMessage(StateCommand {
            static_cast<std::int64_t>(index), Messages::SetEvacuation { "ana", dataCentre, isEvacuated } }));
}

using Names = std::vector<std::string>;

}

// Guards against repeated orders that are refused, that count twice in the audit trail or that wake every process.
TEST_CASE("a repeated evacuation order is confirmed and changes nothing", "[State]")
{
    StateMachine machine;
    for (std::uint64_t index = 1; index <= 3; ++index)
        REQUIRE(apply(machine, index, "recife", true).refusal == Messages::StateRefusal::None);
    REQUIRE(machine.viewVersion() == 1);
    REQUIRE(machine.audit().lastIndex() == 1);
    REQUIRE(machine.evacuations() == std::vector<Messages::Evacuation> { { "recife", 1 } });
    REQUIRE(apply(machine, 4, "salvador", false).refusal == Messages::StateRefusal::None);
    REQUIRE(machine.viewVersion() == 1);
    apply(machine, 5, "recife", false);
    apply(machine, 6, "recife", false);
    REQUIRE(machine.viewVersion() == 5);
    REQUIRE(machine.evacuations().empty());
    REQUIRE(machine.audit().lastIndex() == 2);
}

// Guards against an evacuation that a replica forgets with its log, and against snapshots of earlier builds that can't
// be read any more.
TEST_CASE("snapshots keep evacuations and are unchanged without them", "[State]")
{
    StateMachine machine;
    const std::string empty = machine.snapshot();
    apply(machine, 1, "recife", true);
    apply(machine, 2, "salvador", true);
    StateMachine restored;
    REQUIRE(restored.restore(machine.snapshot()));
    REQUIRE(restored.evacuations() == machine.evacuations());
    REQUIRE(restored.snapshot() == machine.snapshot());
    REQUIRE(restored.changes(0, 0).view.evacuatedDataCentres == Names { "recife", "salvador" });
    REQUIRE(restored.view().evacuatedDataCentres == Names { "recife", "salvador" });
    REQUIRE(restored.restore(empty));
    REQUIRE(restored.evacuations().empty());
}

// Guards against sidecars that renew their registration and are not told what is evacuated, and against an order that
// is confirmed and lost with all processes.
TEST_CASE("a confirmed evacuation survives a restart of all replicas and reaches those who renew", "[State][threads]")
{
    StateGroup group(3);
    group.waitForLeader();
    {
        BlockingClient client(group);
        REQUIRE(client.request(Messages::SetEvacuation { "ana", "recife", true }));
        const auto unnamed = client.request(Messages::SetEvacuation { "ana", "", true });
        REQUIRE(unnamed.value().refusal == Messages::StateRefusal::InvalidChange);
    }
    for (const auto& [name, address] : group.addresses)
        group.stop(name);
    for (const auto& [name, address] : group.addresses)
        REQUIRE(group.start(name).empty());
    BlockingClient client(group);
    Messages::Member member;
    member.identity.role = Messages::Role::Sidecar;
    member.identity.instanceId = "side-1";
    member.identity.incarnation = 1;
    REQUIRE(client.request(Messages::RegisterMember { member }));
    const auto renewed = client.request(Messages::RenewLeases { "side-1", 1 });
    REQUIRE(std::get<Messages::LeaseGrant>(renewed.value().body).evacuatedDataCentres == Names { "recife" });
    REQUIRE(client.request(Messages::SetEvacuation { "ana", "recife", false }));
    const auto listed = client.request(Messages::QueryEvacuations {});
    REQUIRE(std::get<Messages::EvacuationList>(listed.value().body).evacuations.empty());
}
