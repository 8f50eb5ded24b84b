#include "celeryswitch/Workers/EntryConnections.h"
#include "UnitTests/Workers/SupervisorFixture.h"
#include "celeryswitch/Network/MessageCodec.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace celeryswitch::Workers;
using namespace std::chrono_literals;

namespace {

/// A connection whose frames the test delivers.
class FakeConnection final : public Network::PeerConnection {
public:
    void start(FrameHandler onFrame, CloseHandler onClose) override
    {
        this->onFrame = std::move(onFrame);
        this->onClose = std::move(onClose);
    }
    bool send(std::string payload) override
    {
        if (this->isFull)
            return false;
        this->sent.push_back(Network::decodeMessage<Messages::WorkMessage>(payload).value());
        return true;
    }
    void close() override { this->isClosed = true; }
    std::string remoteAddress() const override { return "127.0.0.1:1"; }
    void receive(const Messages::WorkMessage& message) const { this->onFrame(Network::encodeMessage(message)); }

    FrameHandler onFrame;
    CloseHandler onClose;
    bool isFull = false;
    bool isClosed = false;
    std::vector<Messages::WorkMessage> sent;
};

Logging::LogSettings silentLog()
{
    Logging::LogSettings settings;
    settings.output = [](const std::string&) {};
    return settings;
}

// Connections that record what they call.
struct RecordedConnections {
    Core::ManualClock clock;
    Logging::StructuredLog log { silentLog(), this->clock };
    std::vector<std::uint64_t> greeted;
    std::vector<std::uint64_t> received;
    std::vector<std::uint64_t> closed;
    EntryConnections connections { this->log,
        { [this](std::uint64_t number, const Messages::Hello&) { this->greeted.push_back(number); },
            [this](std::uint64_t number, const Messages::WorkMessage&) { this->received.push_back(number); },
            [this](std::uint64_t number) { this->closed.push_back(number); } } };

    std::shared_ptr<FakeConnection> add()
    {
        auto connection = std::make_shared<FakeConnection>();
        this->connections.add(connection);
        return connection;
    }
};

}

// Guards against an end that is lost with its update while the connection lives on, so that the entry never learns of
// it.
TEST_CASE("a connection that takes no more updates is closed", "[Workers]")
{
    RecordedConnections fixture;
    const auto connection = fixture.add();
    connection->receive(Messages::Hello {});
    fixture.connections.send(1, Messages::WorkerUpdate {});
    CHECK(connection->sent.size() == 1);
    CHECK_FALSE(connection->isClosed);
    connection->isFull = true;
    SECTION("update") { fixture.connections.send(1, Messages::WorkerUpdate {}); }
    SECTION("offer") { fixture.connections.send(1, Messages::RoomOffer { 7 }); }
    CHECK(connection->isClosed);
    REQUIRE(fixture.closed == std::vector<std::uint64_t> { 1 });
    // Neither sent nor reported again.
    connection->isFull = false;
    fixture.connections.send(1, Messages::WorkerUpdate {});
    CHECK(connection->sent.size() == 1);
    CHECK(fixture.closed.size() == 1);
}

// Guards against messages of a process that has not introduced itself, and against a replaced connection that ends the
// life of its entry.
TEST_CASE("only entries that have introduced themselves are heard", "[Workers]")
{
    RecordedConnections fixture;
    const auto first = fixture.add();
    first->receive(Messages::EntryAlive {});
    CHECK(first->isClosed);
    CHECK(fixture.closed == std::vector<std::uint64_t> { 1 });
    const auto second = fixture.add();
    second->receive(Messages::Hello {});
    second->receive(Messages::EntryAlive {});
    CHECK(fixture.greeted == std::vector<std::uint64_t> { 2 });
    CHECK(fixture.received == std::vector<std::uint64_t> { 2 });
    fixture.connections.close(2);
    CHECK(second->isClosed);
    second->receive(Messages::EntryAlive {});
    CHECK(fixture.received.size() == 1);
    CHECK(fixture.closed.size() == 1);
}

// Guards against an end whose report was lost with its connection and that no claim brings back.
TEST_CASE("an end whose update was lost is reported for the claim of the next connection", "[Workers]")
{
    SupervisorFixture fixture;
    fixture.connect(1, "entry-1");
    fixture.liveConnections = { 1 };
    fixture.announceWorker();
    fixture.startTasks(1, 1);
    fixture.advance(205ms);
    REQUIRE(fixture.isReportedEnded(1));
    // The update with the end met a full queue.
    fixture.reports.clear();
    fixture.supervisor->entryDisconnected(fixture.now(), 1);
    fixture.connect(2, "entry-1");
    fixture.liveConnections = { 2 };
    fixture.claim(2, { 1 });
    fixture.advance(5ms);
    const auto reports = fixture.reportsOf(1);
    REQUIRE(reports.size() == 1);
    CHECK(reports.front().state == Messages::RunState::Ended);
    CHECK(reports.front().end == Messages::RunEnd::Done);
}
