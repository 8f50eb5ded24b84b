#include "celeryswitch/Network/MessageCodec.h"
#include "celeryswitch/Messages/StateMessages.h"
#include <catch2/catch.hpp>
#include <random>

using namespace celeryswitch;
using Messages::PeerMessage;

namespace {

// A message with nested containers, texts, numbers and enumerations.
PeerMessage sampleMessage()
{
    Messages::TaskResults results;
    results.jobId = { 11, 12 };
    for (std::uint32_t index = 0; index < 20; ++index)
        results.results.push_back({ index, Messages::TaskOutcome::Failed, Messages::TaskReason::EndpointError, 500,
            std::string(index, 'x'), 1234, 99 });
    return results;
}

}

// Guards against fields that are lost or reordered on the way.
TEST_CASE("a message survives encoding", "[Network]")
{
    const std::string bytes = Network::encodeMessage(sampleMessage());
    const auto decoded = Network::decodeMessage<PeerMessage>(bytes);
    REQUIRE(decoded);
    const auto& results = std::get<Messages::TaskResults>(decoded.value());
    REQUIRE(results.results.size() == 20);
    REQUIRE(results.results[7].body == "xxxxxxx");
    REQUIRE(results.results[7].reason == Messages::TaskReason::EndpointError);
    REQUIRE(Network::encodeMessage(decoded.value()) == bytes);

    Messages::FleetView view;
    view.partitions[3] = { "entry-1", 5, 6, 7 };
    view.members.emplace_back().replacedIncarnations[4] = 9;
    const auto decodedView = Network::decodeMessage<Messages::FleetView>(Network::encodeMessage(view));
    REQUIRE(decodedView);
    REQUIRE(decodedView.value().partitions.at(3).owner == "entry-1");
    REQUIRE(decodedView.value().members[0].replacedIncarnations.at(4) == 9);
}

// Guards against an allocation of the size that a forged length announces.
TEST_CASE("a forged length is refused before memory is taken", "[Network]")
{
    std::string bytes = Network::encodeMessage(std::vector<std::string>(4, "abc"));
    bytes[0] = bytes[1] = bytes[2] = bytes[3] = '\x7f';
    const auto decoded = Network::decodeMessage<std::vector<std::string>>(bytes);
    REQUIRE_FALSE(decoded);
    REQUIRE(decoded.error().is(Network::CodecError::Malformed));
    // A plausible length of large elements: nothing but the elements that are there is allocated.
    std::string zeros(1 << 20, '\0');
    zeros[2] = '\x0f';
    REQUIRE_FALSE(Network::decodeMessage<std::vector<Messages::FenceRecord>>(zeros));
}

// Guards against truncated, padded, oversized or out-of-range input that passes as a message.
TEST_CASE("truncated, padded and oversized messages are refused", "[Network]")
{
    const std::string bytes = Network::encodeMessage(sampleMessage());
    for (std::size_t length = 0; length < bytes.size(); ++length)
        REQUIRE_FALSE(Network::decodeMessage<PeerMessage>(std::string_view(bytes).substr(0, length)));
    REQUIRE(Network::decodeMessage<PeerMessage>(bytes + "x").error().is(Network::CodecError::TrailingBytes));
    REQUIRE(Network::decodeMessage<std::string>(std::string(Network::maximumFrameBytes + 1, 'x'))
                .error()
                .is(Network::CodecError::TooLarge));
    REQUIRE_FALSE(Network::decodeMessage<bool>("\x02"));
    REQUIRE_FALSE(Network::decodeMessage<Messages::TaskReason>("\x7f"));
    REQUIRE(Network::decodeMessage<Messages::TaskReason>("\x03").value()
        == Messages::TaskReason::EndpointRefusedConnection);
}

// Guards against a crash or an endless loop on any bytes; the seed makes a failure repeatable.
TEST_CASE("mutated messages decode to a value or an error", "[Network]")
{
    const std::string original = Network::encodeMessage(sampleMessage());
    std::mt19937 random(20261204);
    for (int round = 0; round < 20000; ++round) {
        std::string bytes = original;
        for (std::uint32_t change = random() % 4; change != UINT32_MAX; --change)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        if (random() % 4 == 0)
            bytes.resize(random() % bytes.size());
        const auto decoded = Network::decodeMessage<PeerMessage>(bytes);
        if (decoded)
            REQUIRE(Network::encodeMessage(decoded.value()).size() == bytes.size());
    }
}
