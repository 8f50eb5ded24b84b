#include "celeryswitch/Network/PeerTransport.h"
#include "celeryswitch/Network/Handshake.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <random>

using namespace celeryswitch;
using Network::PeerConnectionPointer;
using Network::PeerTransport;

namespace {

const Network::AuthenticationKeys keys { 1,
    { { 1, "first secret of the fleet" }, { 2, "second secret of the fleet" } } };

// Two transports on one event loop.
struct Pair {
    boost::asio::io_context context;
    PeerTransport listener { this->context, keys };
    PeerTransport connector { this->context, keys };
    std::vector<PeerConnectionPointer> accepted;
    std::string address;

    explicit Pair(std::size_t handshakeLimit = 256)
    {
        this->listener.setHandshakeLimit(handshakeLimit);
        const auto bound = this->listener.listen(
            "127.0.0.1:0", [this](PeerConnectionPointer connection) { this->accepted.push_back(connection); });
        REQUIRE(bound);
        this->address = bound.value();
    }
    // Runs the event loop until the condition holds, at most 10 s.
    template <typename F> bool runUntil(F condition)
    {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!condition() && std::chrono::steady_clock::now() < limit) {
            this->context.restart();
            this->context.run_one_for(std::chrono::milliseconds(50));
        }
        return condition();
    }
    PeerConnectionPointer connect()
    {
        PeerConnectionPointer connection;
        this->connector.connect(this->address, [&](auto result) {
            REQUIRE(result);
            connection = std::move(result).value();
        });
        const std::size_t before = this->accepted.size();
        REQUIRE(this->runUntil([&] { return connection && this->accepted.size() > before; }));
        return connection;
    }
};

}

// Guards against frames lost or reordered, small, empty and of the largest size, in both directions.
TEST_CASE("frames arrive whole and in order", "[Network]")
{
    Pair pair;
    const PeerConnectionPointer client = pair.connect();
    std::vector<std::string> atClient;
    std::vector<std::string> atListener;
    client->start([&](std::string payload) { atClient.push_back(std::move(payload)); }, {});
    pair.accepted[0]->start([&](std::string payload) { atListener.push_back(std::move(payload)); }, {});
    const std::vector<std::string> payloads { "", "a", std::string(8 * 1024 * 1024, 'b'), "c",
        std::string(70000, 'd') };
    for (const std::string& payload : payloads) {
        REQUIRE(client->send(payload));
        REQUIRE(pair.accepted[0]->send(payload));
    }
    REQUIRE_FALSE(client->send(std::string(8 * 1024 * 1024 + 1, 'x')));
    REQUIRE(pair.runUntil([&] { return atClient.size() == 5 && atListener.size() == 5; }));
    REQUIRE(atClient == payloads);
    REQUIRE(atListener == payloads);
}

// Guards against a sender that takes memory without bound while its peer does not read.
TEST_CASE("a full send queue refuses", "[Network]")
{
    Pair pair;
    const PeerConnectionPointer client = pair.connect();
    std::size_t taken = 0;
    while (taken < 100 && client->send(std::string(1024 * 1024, 'x')))
        ++taken;
    REQUIRE(taken <= 40);
    REQUIRE(taken >= 31);
}

// Guards against answers that a closing side has queued but that never reach the peer.
TEST_CASE("closing sends what was queued, and the peer is told", "[Network]")
{
    Pair pair;
    const PeerConnectionPointer client = pair.connect();
    std::size_t received = 0;
    std::string reason;
    pair.accepted[0]->start(
        [&](std::string payload) { received += payload.size(); }, [&](std::string text) { reason = text; });
    for (int index = 0; index < 20; ++index)
        REQUIRE(client->send(std::string(1'000'000, 'x')));
    client->close();
    REQUIRE_FALSE(client->send("late"));
    REQUIRE(pair.runUntil([&] { return !reason.empty(); }));
    REQUIRE(received == 20'000'000);
}

// Guards against a peer without the key, or sending malformed bytes, that gets a connection or stops the listener.
TEST_CASE("peers without the key and malformed bytes are rejected and counted", "[Network]")
{
    Pair pair;
    PeerTransport stranger(pair.context, { 1, { { 1, "a secret that is not the fleet's" } } });
    bool isRefused = false;
    stranger.connect(pair.address, [&](auto result) { isRefused = !result; });
    REQUIRE(pair.runUntil([&] { return isRefused; }));

    std::mt19937 random(7);
    const auto colon = pair.address.rfind(':');
    const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address("127.0.0.1"),
        static_cast<std::uint16_t>(std::stoi(pair.address.substr(colon + 1))));
    const std::uint64_t before = pair.listener.rejectedCount();
    for (int round = 0; round < 50; ++round) {
        boost::asio::ip::tcp::socket socket(pair.context);
        socket.connect(endpoint);
        std::string malformed(20 + random() % 200, '\0');
        for (char& byte : malformed)
            byte = static_cast<char>(random());
        boost::asio::write(socket, boost::asio::buffer(malformed));
        REQUIRE(pair.runUntil([&] { return pair.listener.rejectedCount() > before + static_cast<unsigned>(round); }));
    }
    REQUIRE(pair.accepted.empty());
    REQUIRE(pair.connect());
}

// Guards against strangers that take every place for a handshake, so that no other process of the fleet connects.
TEST_CASE("a peer with the key connects beside connections that do not finish the handshake", "[Network]")
{
    using boost::asio::ip::tcp;
    constexpr std::size_t limit = 4;
    Pair pair(limit);
    const std::uint16_t port = static_cast<std::uint16_t>(std::stoul(pair.address.substr(pair.address.rfind(':') + 1)));
    const std::string offer = Network::Handshake(keys, std::string(Network::nonceBytes, 'n')).offer();
    for (const std::string& sent : { std::string(), std::string("GET / HTTP/1.1\r\n"), offer }) {
        INFO("strangers that send " << sent.size() << " bytes");
        std::vector<tcp::socket> strangers;
        for (std::size_t number = 0; number < 3 * limit; ++number) {
            strangers.emplace_back(pair.context).connect({ boost::asio::ip::make_address("127.0.0.1"), port });
            boost::asio::write(strangers.back(), boost::asio::buffer(sent));
            pair.context.restart();
            pair.context.poll();
        }
        const PeerConnectionPointer connection = pair.connect();
        REQUIRE(connection);
    }
    REQUIRE(pair.accepted.size() == 3);
}

// Guards against a connect that waits without end for a silent or missing peer.
TEST_CASE("connecting to a silent or missing peer ends with an error", "[Network]")
{
    Pair pair;
    boost::asio::ip::tcp::acceptor silent(pair.context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    std::vector<std::string> errors;
    const auto note = [&](auto result) { errors.push_back(result ? "" : std::string(result.error().code())); };
    pair.connector.connect("127.0.0.1:" + std::to_string(silent.local_endpoint().port()), note);
    pair.connector.connect("127.0.0.1:1", note);
    pair.connector.connect("not an address", note);
    REQUIRE(pair.runUntil([&] { return errors.size() == 3; }));
    REQUIRE(errors == std::vector<std::string> { "BadAddress", "ConnectFailed", "ConnectFailed" });
}

// Guards against datagrams that are lost between two transports of the fleet or accepted from others.
TEST_CASE("datagrams pass between peers with a key only", "[Network]")
{
    Pair pair;
    PeerTransport stranger(pair.context, { 1, { { 1, "a secret that is not the fleet's" } } });
    std::vector<std::string> received;
    std::string from;
    const auto bound = pair.listener.bindDatagram("127.0.0.1:0", [&](std::string payload, std::string address) {
        received.push_back(std::move(payload));
        from = std::move(address);
    });
    const auto other = pair.connector.bindDatagram("127.0.0.1:0", [](auto, auto) {});
    REQUIRE(bound);
    REQUIRE(other);
    REQUIRE(stranger.bindDatagram("127.0.0.1:0", [](auto, auto) {}));
    stranger.sendDatagram(bound.value(), "malformed");
    pair.connector.sendDatagram(bound.value(), "heartbeat");
    pair.connector.sendDatagram(bound.value(), std::string(1201, 'x'));
    REQUIRE(pair.runUntil([&] { return received.size() == 1 && pair.listener.rejectedCount() == 1; }));
    REQUIRE(received[0] == "heartbeat");
    REQUIRE(from == other.value());
}

// Guards against a listener on a port chosen by the system and against calls to port 0, because an address names a port
// out of range.
TEST_CASE("a transport refuses addresses with a port out of range", "[Network]")
{
    for (const char* wrong : { "127.0.0.1:65536", "127.0.0.1:99999999999999999999", "127.0.0.1:", "127.0.0.1" }) {
        INFO(wrong);
        boost::asio::io_context context;
        PeerTransport transport(context, keys);
        const auto bound = transport.listen(wrong, {});
        REQUIRE_FALSE(bound);
        REQUIRE(bound.error().is(Network::TransportError::BadAddress));
        REQUIRE_FALSE(transport.bindDatagram(wrong, {}));
        std::optional<Core::Error> failure;
        transport.connect(wrong, [&](auto result) { failure = result.error(); });
        context.run();
        REQUIRE(failure);
        REQUIRE(failure->is(Network::TransportError::BadAddress));
    }
}

// Guards against a process that ends because the handling of one frame fails unexpectedly.
TEST_CASE("an error in the handling of a frame ends its connection alone", "[Network]")
{
    Pair pair;
    const PeerConnectionPointer faulty = pair.connect();
    const PeerConnectionPointer sound = pair.connect();
    std::string reason;
    std::vector<std::string> received;
    pair.accepted[0]->start([](const std::string&) { throw std::runtime_error("unexpected"); },
        [&](const std::string& text) { reason = text; });
    pair.accepted[1]->start([&](std::string payload) { received.push_back(std::move(payload)); }, {});
    faulty->start([](const std::string&) {}, {});
    sound->start([](const std::string&) {}, {});
    REQUIRE(faulty->send("a"));
    REQUIRE(pair.runUntil([&] { return !reason.empty(); }));
    REQUIRE(reason.find("unexpected") != std::string::npos);
    REQUIRE(sound->send("b"));
    REQUIRE(pair.runUntil([&] { return received.size() == 1; }));
}

// Guards against answers to frames that were read together and that are lost because the connection is closed, or
// fails, while these frames are handled.
TEST_CASE("answers from the frame handler arrive before the connection ends", "[Network]")
{
    for (const bool isFault : { false, true }) {
        INFO((isFault ? "failed" : "closed"));
        Pair pair;
        const PeerConnectionPointer client = pair.connect();
        const PeerConnectionPointer server = pair.accepted[0];
        std::vector<std::string> received;
        std::string reason;
        client->start([&](std::string payload) { received.push_back(std::move(payload)); },
            [&](const std::string& text) { reason = text; });
        constexpr std::size_t count = 100;
        std::size_t handled = 0;
        server->start(
            [&](const std::string& payload) {
                CHECK(server->send(payload));
                if (++handled < count)
                    return;
                if (isFault)
                    throw std::runtime_error("unexpected");
                server->close();
                CHECK_FALSE(server->send("late"));
            },
            {});
        std::vector<std::string> sent;
        for (std::size_t index = 0; index < count; ++index) {
            sent.push_back(std::to_string(index));
            REQUIRE(client->send(sent.back()));
        }
        REQUIRE(pair.runUntil([&] { return !reason.empty(); }));
        CHECK(received == sent);
    }
}

// Guards against frames lost or out of order when the socket takes only a part of what is sent, because its peer reads
// late.
TEST_CASE("frames of all sizes arrive in order while the peer reads slowly", "[Network]")
{
    Pair pair;
    const PeerConnectionPointer client = pair.connect();
    std::mt19937 random(5);
    std::vector<std::string> sent;
    std::vector<std::string> received;
    std::size_t waiting = 0;
    client->start([](const std::string&) {}, {});
    // Long frames first, so that those behind them find the socket's buffer full.
    for (int index = 0; index < 300; ++index) {
        const std::size_t length = random() % (index < 20 ? 1'000'000 : 3000);
        sent.emplace_back(length, static_cast<char>('a' + index % 26));
        REQUIRE(client->send(sent.back()));
        waiting += length;
        // Some turns of the event loop, so that delayed and immediate writes alternate.
        if (index % 7 == 0)
            pair.context.poll_one();
    }
    REQUIRE(waiting > 5'000'000);
    pair.accepted[0]->start([&](std::string payload) { received.push_back(std::move(payload)); }, {});
    REQUIRE(pair.runUntil([&] { return received.size() == sent.size(); }));
    CHECK(received == sent);
    REQUIRE(client->send("last"));
    REQUIRE(pair.runUntil([&] { return received.size() > sent.size(); }));
    CHECK(received.back() == "last");
}

// Guards against a callback from inside `send`, which its caller does not expect, when the peer has reset the
// connection.
TEST_CASE("a failed write is reported from the event loop", "[Network]")
{
    Pair pair;
    const PeerConnectionPointer client = pair.connect();
    bool isSending = false;
    std::string reason;
    client->start([](const std::string&) {},
        [&](const std::string& text) {
            CHECK_FALSE(isSending);
            reason = text;
        });
    // A malformed frame makes the listener close its socket; unread bytes make that a reset.
    pair.accepted[0]->start([](const std::string&) { throw std::runtime_error("unexpected"); }, {});
    REQUIRE(client->send("a"));
    for (int turn = 0; turn < 1000 && reason.empty(); ++turn) {
        isSending = true;
        client->send(std::string(100'000, 'x'));
        isSending = false;
        pair.context.restart();
        pair.context.run_one_for(std::chrono::milliseconds(1));
    }
    CHECK_FALSE(reason.empty());
}
