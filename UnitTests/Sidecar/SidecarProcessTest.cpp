#include "celeryswitch/Sidecar/SidecarProcess.h"
#include "TestEndpoint.h"
#include "celeryswitch/Network/MessageCodec.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace celeryswitch::Sidecar;
using Messages::PeerMessage;
using Messages::TaskOutcome;
using Messages::TaskReason;
using namespace std::chrono_literals;

namespace {

const Network::AuthenticationKeys keys { 1, { { 1, "first secret of the fleet" } } };

// A sidecar with a test endpoint, and an entry that runs on the test's thread.
struct SidecarFixture {
    SidecarFixture()
    {
        SidecarSettings settings;
        settings.instanceId = "sidecar-1";
        settings.service = "ordering";
        settings.dataCentre = "recife";
        settings.endpointAddress = this->endpoint.address();
        settings.authentication = keys;
        auto started = SidecarProcess::Builder()
                           .setSettings(settings)
                           .setRegistration([this](const Messages::Member& member) {
                               this->isRegistered = member.identity.role == Messages::Role::Sidecar;
                           })
                           .start();
        REQUIRE(started);
        this->sidecar = std::move(started).value();
        REQUIRE(this->transport.bindDatagram("127.0.0.1:0", [this](std::string payload, const std::string&) {
            auto datagram = Network::decodeMessage<Messages::PeerDatagram>(payload);
            REQUIRE(datagram);
            this->heartbeat = std::get<Messages::SidecarHeartbeat>(datagram.value());
        }));
        this->connect();
    }
    template <typename F> bool runUntil(F condition)
    {
        const auto limit = std::chrono::steady_clock::now() + 10s;
        while (!condition() && std::chrono::steady_clock::now() < limit) {
            this->context.restart();
            this->context.run_one_for(10ms);
        }
        return condition();
    }
    // Connects and waits for the first clock sample and, unless the endpoint is down, for credits.
    void connect(bool waitsForCredits = true)
    {
        this->connection.reset();
        this->credits = 0;
        this->transport.connect(this->sidecar->peerAddress(), [this](auto result) {
            REQUIRE(result);
            this->connection = std::move(result).value();
            this->connection->start([this](const std::string& payload) { this->take(payload); },
                [this](const std::string&) { this->isClosed = true; });
            this->send(Messages::Hello { Messages::Role::Entry, "entry-1", 1, "recife" });
        });
        REQUIRE(this->runUntil([&] { return this->credits == 8 || (!waitsForCredits && this->clockSample != 0); }));
    }
    void send(const PeerMessage& message) { REQUIRE(this->connection->send(Network::encodeMessage(message))); }
    void take(const std::string& payload)
    {
        auto message = Network::decodeMessage<PeerMessage>(payload);
        REQUIRE(message);
        if (const auto* update = std::get_if<Messages::CreditUpdate>(&message.value())) {
            this->credits += update->granted;
            this->clockSample = update->clockSample;
        } else if (auto* results = std::get_if<Messages::TaskResults>(&message.value())) {
            this->credits += results->creditsReturned;
            this->clockSample = results->clockSample;
            for (auto& result : results->results)
                this->results.push_back(std::move(result));
        } else if (auto* records = std::get_if<Messages::PartitionRecords>(&message.value())) {
            this->records = std::move(records->records);
        }
    }
    void start(std::uint64_t job, const std::vector<std::string>& bodies)
    {
        Messages::StartTasks start;
        start.partition = 5;
        start.epoch = 3;
        start.clockEcho = this->clockSample;
        start.sidecarIncarnation = this->sidecar->incarnation();
        start.jobId = { 0, job };
        start.jobTaskCount = static_cast<std::uint32_t>(bodies.size());
        start.createdAt = Core::toUnixMilliseconds(Core::SystemClock().wallNow());
        start.credits = std::min(this->credits, start.jobTaskCount);
        start.backlog = { 0, 1e6 };
        this->credits -= start.credits;
        for (const std::string& body : bodies)
            start.tasks.push_back({ static_cast<std::uint32_t>(start.tasks.size()), body, 0 });
        this->send(start);
    }
    // Waits for `count` results, then removes and returns them, sorted by task index.
    std::vector<Messages::TaskResult> awaitResults(std::size_t count)
    {
        REQUIRE(this->runUntil([&] { return this->results.size() >= count; }));
        std::sort(this->results.begin(), this->results.end(),
            [](const auto& first, const auto& second) { return first.taskIndex < second.taskIndex; });
        return std::exchange(this->results, {});
    }
    void sendHeartbeat()
    {
        this->transport.sendDatagram(this->sidecar->datagramAddress(),
            Network::encodeMessage(Messages::PeerDatagram(Messages::EntryHeartbeat { "entry-1", 1 })));
    }

    TestEndpoint endpoint;
    std::atomic<bool> isRegistered = false;
    boost::asio::io_context context;
    Network::PeerTransport transport { this->context, keys };
    Network::PeerConnectionPointer connection;
    std::unique_ptr<SidecarProcess> sidecar;
    Messages::SidecarHeartbeat heartbeat;
    std::vector<Messages::TaskResult> results;
    std::vector<Messages::FenceRecord> records;
    std::uint32_t credits = 0;
    std::int64_t clockSample = 0;
    bool isClosed = false;
};

}

// Guards against faults anywhere between the frame and the endpoint.
TEST_CASE("a sidecar runs tasks at its endpoint", "[Sidecar][threads]")
{
    SidecarFixture fixture;
    REQUIRE(fixture.runUntil([&] { return fixture.isRegistered.load(); }));
    fixture.start(1, { "one", "two", "error", "four", "5", "6", "7", "8", "9", "10", "11", "12" });
    const auto results = fixture.awaitResults(12);
    REQUIRE(results[1].body == "two");
    REQUIRE(results[2].outcome == TaskOutcome::Failed);
    REQUIRE(fixture.runUntil([&] { return fixture.credits == 8; }));
    REQUIRE(fixture.endpoint.requestCount() == 12);
    fixture.sendHeartbeat();
    REQUIRE(fixture.runUntil([&] { return fixture.heartbeat.incarnation == fixture.sidecar->incarnation(); }));
    REQUIRE(fixture.heartbeat.freeSlots == 8);
    REQUIRE(fixture.sidecar->metrics().counts.started == 12);
}

// Guards against losing results together with a connection.
TEST_CASE("an entry that reconnects recovers the results of its tasks", "[Sidecar][threads]")
{
    SidecarFixture fixture;
    fixture.start(1, { "wait" });
    REQUIRE(fixture.runUntil([&] { return fixture.endpoint.requestCount() == 1; }));
    fixture.connection->close();
    fixture.endpoint.release();
    REQUIRE(fixture.runUntil([&] { return fixture.sidecar->metrics().counts.succeeded == 1; }));
    fixture.connect();
    fixture.send(Messages::RecoverPartition { 5, 3 });
    REQUIRE(fixture.runUntil([&] { return fixture.records.size() == 1; }));
    REQUIRE(fixture.records[0].result.body == "wait");
    REQUIRE(fixture.endpoint.requestCount() == 1);
}

// Guards against retrying the running tasks of a killed endpoint, and against losing further tasks.
TEST_CASE("a crashed endpoint leaves running tasks unconfirmed and its sidecar drains", "[Sidecar][threads]")
{
    SidecarFixture fixture;
    fixture.start(1, { "stall" });
    REQUIRE(fixture.runUntil([&] { return fixture.endpoint.requestCount() == 1; }));
    fixture.endpoint.stop();
    REQUIRE(fixture.awaitResults(1)[0].outcome == TaskOutcome::Unconfirmed);
    std::uint64_t job = 1;
    while (!fixture.sidecar->metrics().isDraining) {
        fixture.start(++job, { "x" });
        const auto result = fixture.awaitResults(1)[0];
        REQUIRE(result.outcome == TaskOutcome::NeverStarted);
        REQUIRE(job < 10);
    }
    REQUIRE(fixture.endpoint.requestCount() == 1);
}

// Guards against a shutdown that aborts a running task or loses its result.
TEST_CASE("a graceful stop answers every running task before it ends", "[Sidecar][threads]")
{
    SidecarFixture fixture;
    fixture.sendHeartbeat();
    fixture.start(1, { "wait", "wait", "wait" });
    REQUIRE(fixture.runUntil([&] { return fixture.endpoint.requestCount() == 3; }));
    fixture.sidecar->stop();
    REQUIRE(fixture.runUntil([&] { return fixture.heartbeat.isDraining; }));
    REQUIRE_FALSE(fixture.sidecar->isEnded());
    fixture.start(2, { "late" });
    REQUIRE(fixture.awaitResults(1)[0].reason == TaskReason::ShuttingDown);
    fixture.endpoint.release();
    for (const auto& result : fixture.awaitResults(3))
        REQUIRE(result.outcome == TaskOutcome::Succeeded);
    REQUIRE(fixture.runUntil([&] { return fixture.isClosed && fixture.sidecar->isEnded(); }));
    fixture.sidecar->wait();
    REQUIRE(fixture.endpoint.requestCount() == 3);
}

// Guards against starting a sidecar with unusable settings.
TEST_CASE("invalid sidecar settings are refused", "[Sidecar]")
{
    SidecarSettings settings;
    settings.instanceId = "sidecar-1";
    settings.authentication = keys;
    settings.connections = 4;
    REQUIRE(SidecarProcess::Builder().setSettings(settings).start().error().is(SidecarError::InvalidSettings));
    settings.connections = 8;
    settings.peerAddress = "127.0.0.1:no port";
    REQUIRE(SidecarProcess::Builder().setSettings(settings).start().error().is(Network::TransportError::BadAddress));
}
