#include "PerformanceTest/NetworkPerformance.h"

#include "celeryswitch/Core/Assert.h"
#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Messages/TaskMessages.h"
#include "celeryswitch/Network/FrameCodec.h"
#include "celeryswitch/Network/PeerTransport.h"
#include <algorithm>

namespace celeryswitch::PerformanceTest {

namespace {

const Network::AuthenticationKeys keys { 1, { { 1, "first secret of the fleet" } } };

// Microseconds that one call of `work` takes, over many calls.
template <typename F> double microsecondsPerCall(int calls, F work)
{
    const auto start = std::chrono::steady_clock::now();
    for (int call = 0; call < calls; ++call)
        work();
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count() / calls;
}

// A start of one task with a payload of 200 bytes.
Messages::PeerMessage sampleStart()
{
    Messages::StartTasks start;
    start.team = "counter";
    start.kind = "stock-check";
    start.tasks.push_back({ 0, std::string(200, 'x'), 0 });
    return start;
}

// Keys of both sides of a connection.
std::pair<Network::ConnectionKeys, Network::ConnectionKeys> shakeHands()
{
    Network::Handshake connector(keys, Network::randomBytes(Network::nonceBytes));
    Network::Handshake listener(keys, Network::randomBytes(Network::nonceBytes));
    CELERY_ASSERT(connector.takeAnswer(listener.takeOffer(connector.offer()).value()));
    return { connector.connectionKeys(), listener.connectionKeys() };
}

// Round trips of a frame between two transports on one thread, in microseconds, sorted.
std::vector<double> roundTrips(const std::string& payload, std::size_t count)
{
    boost::asio::io_context context(1);
    Network::PeerTransport transport(context, keys);
    Network::PeerConnectionPointer accepted;
    Network::PeerConnectionPointer connected;
    std::vector<double> trips;
    auto sentAt = std::chrono::steady_clock::now();
    const auto address = transport.listen("127.0.0.1:0", [&](Network::PeerConnectionPointer connection) {
        accepted = std::move(connection);
        accepted->start([&](std::string frame) { accepted->send(std::move(frame)); }, {});
    });
    transport.connect(address.value(), [&](auto result) {
        connected = std::move(result).value();
        connected->start(
            [&](std::string frame) {
                const auto now = std::chrono::steady_clock::now();
                trips.push_back(std::chrono::duration<double, std::micro>(now - sentAt).count());
                sentAt = now;
                if (trips.size() < count)
                    connected->send(std::move(frame));
                else
                    context.stop();
            },
            {});
        sentAt = std::chrono::steady_clock::now();
        connected->send(payload);
    });
    context.run();
    std::sort(trips.begin(), trips.end());
    return trips;
}

}

std::vector<PerformanceCase> networkCases()
{
    std::vector<PerformanceCase> cases;
    const Messages::PeerMessage message = sampleStart();
    const std::string payload = Network::encodeMessage(message);
    cases.push_back({ "encode a start of one task",
        microsecondsPerCall(200'000, [&] { CELERY_ASSERT(!Network::encodeMessage(message).empty()); }), "us" });
    cases.push_back({ "decode a start of one task",
        microsecondsPerCall(200'000, [&] { CELERY_ASSERT(Network::decodeMessage<Messages::PeerMessage>(payload)); }),
        "us" });
    const auto [sender, receiver] = shakeHands();
    Network::FrameSealer sealer(sender);
    Network::FrameOpener opener(receiver);
    cases.push_back({ "seal and open a frame",
        microsecondsPerCall(100'000,
            [&] {
                opener.append(sealer.head(payload));
                opener.append(payload);
                CELERY_ASSERT(opener.next().value());
            }),
        "us" });
    cases.push_back({ "handshake, both sides", microsecondsPerCall(5'000, [] { shakeHands(); }), "us" });
    const std::vector<double> trips = roundTrips(payload, 20'000);
    cases.push_back({ "round trip of a frame on loopback, p50", trips[trips.size() / 2], "us" });
    cases.push_back({ "round trip of a frame on loopback, p99", trips[trips.size() * 99 / 100], "us" });
    cases.push_back({ "bytes of a start with a payload of 200 bytes",
        double(payload.size() + Network::FrameSealer::headBytes), "bytes" });
    return cases;
}

}
