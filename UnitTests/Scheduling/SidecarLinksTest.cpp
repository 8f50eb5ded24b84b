#include "celeryswitch/Scheduling/SidecarLinks.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace celeryswitch::Scheduling;

namespace {

const Network::AuthenticationKeys keys { 1, { { 1, "first secret of the fleet" } } };

Logging::LogSettings silentLog()
{
    Logging::LogSettings settings;
    settings.output = [](const std::string&) {};
    return settings;
}

// The links of an entry, and a process that keeps the newest connection of the entry, as a sidecar does.
struct LinkedSidecar {
    LinkedSidecar()
    {
        const auto bound = this->listener.listen("127.0.0.1:0", [this](Network::PeerConnectionPointer connection) {
            ++this->accepted;
            if (this->newest)
                this->newest->close();
            this->newest = std::move(connection);
            this->newest->start([](const std::string&) {}, [](const std::string&) {});
        });
        REQUIRE(bound);
        this->address = bound.value();
    }
    std::vector<Messages::Member> member(const std::string& id) const
    {
        Messages::Member member;
        member.identity.instanceId = id;
        member.peerAddress = this->address;
        return { member };
    }
    // Runs the event loop until the condition holds, at most for `limit`.
    template <typename F> bool runUntil(F condition, std::chrono::milliseconds limit = std::chrono::seconds(10))
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            this->context.restart();
            this->context.run_one_for(std::chrono::milliseconds(20));
        }
        return condition();
    }

    boost::asio::io_context context;
    Core::SystemClock clock;
    Logging::StructuredLog log { silentLog(), this->clock };
    Network::PeerTransport listener { this->context, keys };
    Network::PeerTransport connector { this->context, keys };
    std::vector<Core::InstanceId> connected;
    std::vector<Core::InstanceId> disconnected;
    SidecarLinks links { this->context, this->connector, this->clock, this->log,
        { Messages::Role::Entry, "entry-1", 1, "a", "", "", 0 },
        { [this](const Messages::Member& member) { this->connected.push_back(member.identity.instanceId); },
            [this](const Core::InstanceId& id) { this->disconnected.push_back(id); },
            [](const Core::InstanceId&, Messages::WorkerUpdate) {},
            [](const Core::InstanceId&, const Messages::RoomOffer&) {} } };
    Network::PeerConnectionPointer newest;
    std::size_t accepted = 0;
    std::string address;
};

}

// Guards against two links to one process, each of which makes the process close the other one, again and again.
TEST_CASE("a sidecar that took the address of another one is linked once", "[Scheduling]")
{
    LinkedSidecar fixture;
    fixture.links.setMembers(fixture.member("side-1"));
    REQUIRE(fixture.runUntil([&] { return fixture.connected.size() == 1 && fixture.accepted == 1; }));
    fixture.links.setMembers(fixture.member("side-2"));
    REQUIRE(fixture.runUntil([&] { return fixture.connected.size() == 2 && fixture.accepted == 2; }));
    CHECK_FALSE(fixture.runUntil([&] { return fixture.accepted > 2; }, std::chrono::milliseconds(500)));
    CHECK(fixture.connected == std::vector<Core::InstanceId> { "side-1", "side-2" });
    CHECK(fixture.disconnected == std::vector<Core::InstanceId> { "side-1" });
    CHECK(fixture.links.unassigned() == std::vector<Core::InstanceId> { "side-1" });
    fixture.links.stop();
}
