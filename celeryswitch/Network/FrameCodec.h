#pragma once

#include "celeryswitch/Network/FrameAuthenticator.h"
#include "celeryswitch/Network/Handshake.h"
#include <optional>

namespace celeryswitch::Network {

/// Version of the frame, handshake and datagram formats.
inline constexpr std::uint8_t protocolVersion = 1;

/// Puts payloads into the frames of one connection. A frame is: magic (2 bytes), version, key id, payload length (4),
/// sequence number (8), authentication code over all of these and the payload (16), payload.
class FrameSealer {
public:
    /// Bytes before the payload.
    static constexpr std::size_t headBytes = 16 + tagBytes;

    explicit FrameSealer(const ConnectionKeys& keys);
    /// Head of the frame that carries `payload`; numbers frames from 0 in the order of the calls.
    std::string head(std::string_view payload);

private:
    FrameAuthenticator authenticator;
    std::uint8_t keyId;
    std::uint64_t sequence = 0;
};

/// Takes the frames of one connection apart. After an error the connection can't be continued.
class FrameOpener {
public:
    explicit FrameOpener(const ConnectionKeys& keys);
    /// Adds received bytes.
    void append(std::string_view bytes);
    /// Next whole payload, or nothing when more bytes are needed. Errors: Malformed, UnknownVersion, TooLarge,
    /// BadAuthentication.
    Core::Result<std::optional<std::string>> next();

private:
    FrameAuthenticator authenticator;
    std::uint8_t keyId;
    std::uint64_t sequence = 0;
    std::string buffer;
    // Bytes at the front of the buffer that were returned already.
    std::size_t consumed = 0;
};

}
