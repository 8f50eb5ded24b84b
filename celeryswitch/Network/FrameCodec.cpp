#include "celeryswitch/Network/FrameCodec.h"

#include <array>
#include <cstring>

namespace celeryswitch::Network {

namespace {

constexpr std::string_view frameMagic = "cf";

constexpr std::size_t fieldBytes = FrameSealer::headBytes - tagBytes;

// Fields before the authentication code.
std::array<char, fieldBytes> frameFields(std::uint8_t keyId, std::uint32_t length, std::uint64_t sequence)
{
    std::array<char, fieldBytes> fields { frameMagic[0], frameMagic[1], static_cast<char>(protocolVersion),
        static_cast<char>(keyId) };
    std::memcpy(fields.data() + 4, &length, sizeof(length));
    std::memcpy(fields.data() + 8, &sequence, sizeof(sequence));
    return fields;
}

}

FrameSealer::FrameSealer(const ConnectionKeys& keys)
    : authenticator(keys.sendKey)
    , keyId(keys.sendKeyId)
{
}

std::string FrameSealer::head(std::string_view payload)
{
    const auto fields = frameFields(this->keyId, static_cast<std::uint32_t>(payload.size()), this->sequence++);
    std::string head;
    head.reserve(headBytes);
    head.append(fields.data(), fields.size());
    this->authenticator.appendTag(head, payload);
    return head;
}

FrameOpener::FrameOpener(const ConnectionKeys& keys)
    : authenticator(keys.receiveKey)
    , keyId(keys.receiveKeyId)
{
}

void FrameOpener::append(std::string_view bytes)
{
    if (this->consumed == this->buffer.size()) {
        this->buffer.clear();
        this->consumed = 0;
    } else if (this->consumed > this->buffer.size() / 2) {
        this->buffer.erase(0, this->consumed);
        this->consumed = 0;
    }
    this->buffer.append(bytes);
}

Core::Result<std::optional<std::string>> FrameOpener::next()
{
    const std::string_view bytes = std::string_view(this->buffer).substr(this->consumed);
    if (bytes.substr(0, 2) != frameMagic.substr(0, bytes.size()))
        return Core::Error(CodecError::Malformed, "frame magic");
    if (bytes.size() < FrameSealer::headBytes)
        return std::optional<std::string> {};
    if (static_cast<std::uint8_t>(bytes[2]) != protocolVersion)
        return Core::Error(CodecError::UnknownVersion, std::to_string(static_cast<std::uint8_t>(bytes[2])));
    std::uint32_t length = 0;
    std::memcpy(&length, bytes.data() + 4, sizeof(length));
    if (length > maximumFrameBytes)
        return Core::Error(CodecError::TooLarge, std::to_string(length) + " bytes");
    const auto expected = frameFields(this->keyId, length, this->sequence);
    const std::string_view fields(expected.data(), expected.size());
    if (bytes.substr(0, fields.size()) != fields)
        return Core::Error(CodecError::BadAuthentication, "frame key id or sequence");
    if (bytes.size() < FrameSealer::headBytes + length)
        return std::optional<std::string> {};
    const std::string_view payload = bytes.substr(FrameSealer::headBytes, length);
    if (!this->authenticator.isValid(bytes.substr(fields.size(), tagBytes), { fields, payload }))
        return Core::Error(CodecError::BadAuthentication, "frame code");
    ++this->sequence;
    this->consumed += FrameSealer::headBytes + length;
    return std::optional<std::string>(payload);
}

}
