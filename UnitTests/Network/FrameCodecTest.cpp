#include "celeryswitch/Network/FrameCodec.h"
#include "celeryswitch/Network/DatagramCodec.h"
#include <catch2/catch.hpp>
#include <random>

using namespace celeryswitch;
using Network::CodecError;

namespace {

const Network::AuthenticationKeys keys { 1,
    { { 1, "first secret of the fleet" }, { 2, "second secret of the fleet" } } };

// Keys of a finished handshake, connecting side first.
std::pair<Network::ConnectionKeys, Network::ConnectionKeys> shakeHands(
    const Network::AuthenticationKeys& connector, const Network::AuthenticationKeys& listener)
{
    Network::Handshake first(connector, Network::randomBytes(Network::nonceBytes));
    Network::Handshake second(listener, Network::randomBytes(Network::nonceBytes));
    const auto answer = second.takeOffer(first.offer());
    REQUIRE(answer);
    const auto proof = first.takeAnswer(answer.value());
    REQUIRE(proof);
    REQUIRE(second.takeProof(proof.value()));
    return { first.connectionKeys(), second.connectionKeys() };
}

// First result of an opener for these bytes.
Core::Result<std::optional<std::string>> openOne(const Network::ConnectionKeys& receiver, std::string_view bytes)
{
    Network::FrameOpener opener(receiver);
    opener.append(bytes);
    return opener.next();
}

}

// Guards against a peer with another key, or one that is being rotated, being judged wrongly.
TEST_CASE("a handshake succeeds with any listed key and no other", "[Network]")
{
    Network::AuthenticationKeys rotated = keys;
    rotated.currentKeyId = 2;
    const auto [connector, listener] = shakeHands(rotated, keys);
    REQUIRE(connector.sendKey == listener.receiveKey);
    REQUIRE(connector.receiveKey == listener.sendKey);
    REQUIRE(connector.sendKey != connector.receiveKey);

    Network::Handshake right(keys, Network::randomBytes(Network::nonceBytes));
    Network::Handshake wrong(
        { 1, { { 1, "a secret that is not the fleet's" } } }, Network::randomBytes(Network::nonceBytes));
    const auto answer = right.takeOffer(wrong.offer());
    REQUIRE(answer);
    REQUIRE(wrong.takeAnswer(answer.value()).error().is(CodecError::BadAuthentication));
    REQUIRE(right.takeProof(std::string(Network::tagBytes, 'x')).error().is(CodecError::BadAuthentication));
    // Neither may the listener's own proof be sent back to it.
    REQUIRE_FALSE(right.takeProof(answer.value().substr(Network::Handshake::offerBytes)));
    Network::Handshake unknown(
        { 9, { { 9, "a key id that is not listed" } } }, Network::randomBytes(Network::nonceBytes));
    REQUIRE(right.takeOffer(unknown.offer()).error().is(CodecError::BadAuthentication));
}

// Guards against frames that are repeated, reordered, reflected or taken from another connection.
TEST_CASE("a frame is accepted once, in order, and on its own connection", "[Network]")
{
    const auto [connector, listener] = shakeHands(keys, keys);
    Network::FrameSealer sealer(connector);
    const std::string first = sealer.head("one") + "one";
    const std::string second = sealer.head("two") + "two";

    Network::FrameOpener opener(listener);
    for (char byte : first + second.substr(0, 20))
        opener.append({ &byte, 1 });
    REQUIRE(opener.next().value() == "one");
    REQUIRE(opener.next().value() == std::nullopt);
    opener.append(second.substr(20));
    REQUIRE(opener.next().value() == "two");
    opener.append(first);
    REQUIRE(opener.next().error().is(CodecError::BadAuthentication));

    REQUIRE(openOne(listener, second).error().is(CodecError::BadAuthentication));
    REQUIRE(openOne(connector, first).error().is(CodecError::BadAuthentication));
    REQUIRE(openOne(shakeHands(keys, keys).second, first).error().is(CodecError::BadAuthentication));
}

// Guards against a changed frame that passes, crashes, or is waited for without end; seeded.
TEST_CASE("no mutated frame passes", "[Network]")
{
    const auto [connector, listener] = shakeHands(keys, keys);
    const std::string frame = Network::FrameSealer(connector).head("payload of a frame") + "payload of a frame";
    REQUIRE(openOne(listener, frame).value() == "payload of a frame");
    std::mt19937 random(42);
    for (int round = 0; round < 20000; ++round) {
        std::string mutated = frame;
        mutated[random() % mutated.size()] ^= static_cast<char>(1u << (random() % 8));
        if (random() % 2)
            mutated[random() % mutated.size()] = static_cast<char>(random());
        if (mutated == frame)
            continue;
        const auto result = openOne(listener, mutated);
        REQUIRE((!result || !result.value().has_value()));
    }
    std::string oversized = frame;
    oversized[7] = '\x7f';
    REQUIRE(openOne(listener, oversized).error().is(CodecError::TooLarge));
}

// Guards against replayed, old, foreign or changed datagrams.
TEST_CASE("a datagram is accepted once and only while it is fresh", "[Network]")
{
    Core::ManualClock clock;
    Network::DatagramCodec sender(keys);
    Network::DatagramCodec receiver(keys);
    const std::string first = sender.seal(clock.wallNow(), "one");
    const std::string second = sender.seal(clock.wallNow(), "two");
    REQUIRE(receiver.open(clock.wallNow(), second).value() == "two");
    REQUIRE(receiver.open(clock.wallNow(), second).error().is(CodecError::BadAuthentication));
    REQUIRE(receiver.open(clock.wallNow(), first).error().is(CodecError::BadAuthentication));

    const std::string third = sender.seal(clock.wallNow(), "three");
    Network::DatagramCodec restarted(keys);
    clock.advance(std::chrono::seconds(11));
    REQUIRE(restarted.open(clock.wallNow(), third).error().is(CodecError::BadAuthentication));
    clock.advance(std::chrono::seconds(60));
    REQUIRE(receiver.open(clock.wallNow(), third).error().is(CodecError::BadAuthentication));

    const std::string fourth = sender.seal(clock.wallNow(), "four");
    for (std::size_t index = 0; index < fourth.size(); ++index) {
        std::string mutated = fourth;
        mutated[index] ^= 4;
        REQUIRE_FALSE(receiver.open(clock.wallNow(), mutated));
        REQUIRE_FALSE(receiver.open(clock.wallNow(), fourth.substr(0, index)));
    }
    REQUIRE(receiver.open(clock.wallNow(), fourth).value() == "four");
}
