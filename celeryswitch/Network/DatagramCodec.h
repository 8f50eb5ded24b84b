#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Network/FrameAuthenticator.h"
#include "celeryswitch/Network/MessageCodec.h"
#include <unordered_map>

namespace celeryswitch::Network {

/// Largest payload of a datagram, in bytes; with its head it fits a network packet.
inline constexpr std::size_t maximumDatagramBytes = 1200;

/// Seals and opens the datagrams of one process. A datagram is: magic (2 bytes), version, key id, sender number drawn
/// at the process start (8), wall clock time in ms (8), counter (8), authentication code (16), payload. A datagram is
/// accepted once: its counter must be above the last one of its sender, and its time within `acceptedAge`.
class DatagramCodec {
public:
    /// Bytes before the payload.
    static constexpr std::size_t headBytes = 28 + tagBytes;
    /// Largest difference between the clocks of sender and receiver, with the delay on the way. Covers the clock skew
    /// of 10 s that the design allows.
    static constexpr std::chrono::milliseconds acceptedAge { 10'000 };

    explicit DatagramCodec(const AuthenticationKeys& keys);
    /// Bytes to send for a payload of at most `maximumDatagramBytes`.
    std::string seal(Core::WallTime now, std::string_view payload);
    /// Payload of received bytes. Errors: Malformed, TooLarge, UnknownVersion, BadAuthentication.
    Core::Result<std::string> open(Core::WallTime now, std::string_view bytes);

private:
    // Last datagram accepted from a sender.
    struct Sender {
        std::uint64_t counter = 0;
        std::int64_t receivedAt = 0;
    };

    // Forgets senders so old that each of their datagrams is refused for its time.
    void forgetSenders(std::int64_t now);

    std::uint8_t currentKeyId;
    std::unordered_map<std::uint8_t, FrameAuthenticator> authenticators;
    std::uint64_t senderNumber = 0;
    std::uint64_t counter = 0;
    std::unordered_map<std::uint64_t, Sender> senders;
    std::int64_t nextForget = 0;
};

}
