#pragma once

#include "celeryswitch/Core/Result.h"
#include <cereal/archives/portable_binary.hpp>
#include <sstream>
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
    std::ostringstream stream(std::ios::binary);
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(message);
    }
    return std::move(stream).str();
}

/// Reads a message from the bytes of a frame's payload. Errors: TooLarge, Malformed, TrailingBytes.
template <typename Message> Core::Result<Message> decodeMessage(std::string_view bytes);

}
