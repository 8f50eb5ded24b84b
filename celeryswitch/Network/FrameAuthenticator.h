#pragma once

#include "celeryswitch/Network/PeerTransport.h"
#include <array>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

namespace celeryswitch::Network {

/// Bytes of a truncated authentication code.
inline constexpr std::size_t tagBytes = 16;
/// Bytes of a nonce of the handshake.
inline constexpr std::size_t nonceBytes = 16;

/// Computes HMAC-SHA256 codes with one key. Not safe for several threads at once.
class FrameAuthenticator {
public:
    /// `secret` may have any length.
    explicit FrameAuthenticator(std::string_view secret);
    ~FrameAuthenticator();
    FrameAuthenticator(FrameAuthenticator&&) noexcept;
    FrameAuthenticator& operator=(FrameAuthenticator&&) noexcept;

    /// Code of the parts one after the other, 32 bytes.
    std::string fullTag(std::initializer_list<std::string_view> parts);
    /// First `tagBytes` bytes of the code of the parts one after the other.
    std::string tag(std::initializer_list<std::string_view> parts);
    /// Appends to `head` the truncated code of `head` and `payload`.
    void appendTag(std::string& head, std::string_view payload);
    /// Whether `candidate` is the truncated code of the parts; takes the same time for every candidate.
    bool isValid(std::string_view candidate, std::initializer_list<std::string_view> parts);

private:
    using FullTag = std::array<char, 32>;
    class Implementation;

    FullTag compute(std::initializer_list<std::string_view> parts);

    std::unique_ptr<Implementation> implementation;
};

/// Random bytes from the operating system.
std::string randomBytes(std::size_t count);

}
