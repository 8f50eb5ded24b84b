#pragma once

#include "celeryswitch/Network/FrameAuthenticator.h"
#include "celeryswitch/Network/MessageCodec.h"

namespace celeryswitch::Network {

/// Keys of one connection, one a direction, bound to both nonces.
struct ConnectionKeys {
    std::string sendKey;
    std::string receiveKey;
    /// Ids of the secrets that the keys were derived from; they stand in each frame.
    std::uint8_t sendKeyId = 0;
    std::uint8_t receiveKeyId = 0;
};

/// The messages by which two peers prove to each other that they have a listed key. The side that connects sends an
/// offer with its nonce; the listener answers with its own nonce and a proof; the connecting side sends its proof.
/// Frame keys depend on both nonces, so that a recorded frame is worthless on any other connection.
class Handshake {
public:
    /// Bytes of each message.
    static constexpr std::size_t offerBytes = 4 + nonceBytes;
    static constexpr std::size_t answerBytes = 4 + nonceBytes + tagBytes;
    static constexpr std::size_t proofBytes = tagBytes;

    /// `nonce` is this side's, freshly drawn.
    Handshake(const AuthenticationKeys& keys, std::string nonce);

    /// First message of the connecting side.
    std::string offer() const;
    /// Listener: takes the offer and returns the answer. Errors: Malformed, UnknownVersion, BadAuthentication.
    Core::Result<std::string> takeOffer(std::string_view bytes);
    /// Connecting side: takes the answer and returns the proof. Errors: as above.
    Core::Result<std::string> takeAnswer(std::string_view bytes);
    /// Listener: takes the proof. Errors: BadAuthentication.
    Core::Result<void> takeProof(std::string_view bytes);
    /// Keys of the connection; valid once the last message was taken.
    const ConnectionKeys& connectionKeys() const { return this->derived; }

private:
    // Splits key id and nonce from the head of an offer or answer.
    Core::Result<void> readHead(std::string_view bytes);
    // Code over a purpose and both heads, with the secret of a key id.
    std::string code(std::uint8_t keyId, std::string_view purpose) const;
    // Derives the frame keys of both directions.
    void derive(bool isConnecting);

    AuthenticationKeys keys;
    // Heads of the two sides: magic, version, key id, nonce.
    std::string ownHead;
    std::string offerHead;
    std::string answerHead;
    std::uint8_t peerKeyId = 0;
    ConnectionKeys derived;
};

}
