#pragma once

#include "celeryswitch/Network/MessageCodec.h"

namespace celeryswitch::Consensus {

/// Decodes a value from a file or a snapshot, without the size limit of network frames. Errors: Malformed,
/// TrailingBytes.
template <typename Value> Core::Result<Value> decodeStored(std::string_view bytes)
{
    Network::MessageInputArchive archive(bytes);
    Value value;
    try {
        archive(value);
    } catch (const std::exception& failure) {
        return Core::Error(Network::CodecError::Malformed, failure.what());
    }
    if (archive.remaining() != 0)
        return Core::Error(Network::CodecError::TrailingBytes, std::to_string(archive.remaining()) + " bytes");
    return value;
}

}
