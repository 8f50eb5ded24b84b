#pragma once

#include "celeryswitch/Core/Result.h"
#include "celeryswitch/Network/MessageArchive.h"
#include <exception>
#include <string>
#include <string_view>

namespace celeryswitch::Network {

/// Why bytes from a peer or a file were refused.
enum class CodecError : std::uint8_t {
    Malformed,
    TooLarge,
    UnknownVersion,
    BadAuthentication,
    TrailingBytes,
};

/// Largest payload of a frame, in bytes.
inline constexpr std::size_t maximumFrameBytes = 8 * 1024 * 1024;

}

namespace celeryswitch::Core {

template <> struct EnumTable<Network::CodecError> {
    static constexpr std::string_view type = "CodecError";
    static constexpr std::array<std::pair<Network::CodecError, std::string_view>, 5> names { {
        { Network::CodecError::Malformed, "Malformed" },
        { Network::CodecError::TooLarge, "TooLarge" },
        { Network::CodecError::UnknownVersion, "UnknownVersion" },
        { Network::CodecError::BadAuthentication, "BadAuthentication" },
        { Network::CodecError::TrailingBytes, "TrailingBytes" },
    } };
};

}

namespace celeryswitch::Network {

/// Serializes a message into the bytes of a frame's payload.
template <typename Message> std::string encodeMessage(const Message& message)
{
    std::string bytes;
    MessageOutputArchive archive(bytes);
    archive(message);
    return bytes;
}

/// Reads a message from the bytes of a frame's payload. Errors: TooLarge, Malformed, TrailingBytes.
template <typename Message> Core::Result<Message> decodeMessage(std::string_view bytes)
{
    if (bytes.size() > maximumFrameBytes)
        return Core::Error(CodecError::TooLarge, std::to_string(bytes.size()) + " bytes");
    MessageInputArchive archive(bytes);
    Message message;
    try {
        archive(message);
    } catch (const std::exception& failure) {
        return Core::Error(CodecError::Malformed, failure.what());
    }
    if (archive.remaining() != 0)
        return Core::Error(CodecError::TrailingBytes, std::to_string(archive.remaining()) + " bytes");
    return message;
}

}
