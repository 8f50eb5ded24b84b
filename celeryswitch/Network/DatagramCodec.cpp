#include "celeryswitch/Network/DatagramCodec.h"

#include "celeryswitch/Core/Assert.h"
#include "celeryswitch/Network/FrameCodec.h"
#include <cstdlib>
#include <cstring>

namespace celeryswitch::Network {

namespace {

constexpr std::string_view datagramMagic = "cd";
// Keeps the codes of datagrams apart from those of the handshake, which use the same secrets.
constexpr std::string_view datagramPurpose = "datagram";
constexpr std::size_t fieldBytes = DatagramCodec::headBytes - tagBytes;

}

DatagramCodec::DatagramCodec(const AuthenticationKeys& keys)
    : currentKeyId(keys.currentKeyId)
{
    for (const auto& [keyId, secret] : keys.keys)
        this->authenticators.emplace(keyId, FrameAuthenticator(secret));
    CELERY_ASSERT(this->authenticators.contains(this->currentKeyId));
    std::memcpy(&this->senderNumber, randomBytes(sizeof(this->senderNumber)).data(), sizeof(this->senderNumber));
}

std::string DatagramCodec::seal(Core::WallTime now, std::string_view payload)
{
    const std::int64_t time = Core::toUnixMilliseconds(now);
    ++this->counter;
    std::string bytes(datagramMagic);
    bytes += static_cast<char>(protocolVersion);
    bytes += static_cast<char>(this->currentKeyId);
    bytes.append(reinterpret_cast<const char*>(&this->senderNumber), 8);
    bytes.append(reinterpret_cast<const char*>(&time), 8);
    bytes.append(reinterpret_cast<const char*>(&this->counter), 8);
    bytes += this->authenticators.at(this->currentKeyId).tag({ datagramPurpose, bytes, payload });
    bytes += payload;
    return bytes;
}

Core::Result<std::string> DatagramCodec::open(Core::WallTime now, std::string_view bytes)
{
    if (bytes.size() > headBytes + maximumDatagramBytes)
        return Core::Error(CodecError::TooLarge, "datagram");
    if (bytes.size() < headBytes || bytes.substr(0, 2) != datagramMagic)
        return Core::Error(CodecError::Malformed, "datagram");
    if (static_cast<std::uint8_t>(bytes[2]) != protocolVersion)
        return Core::Error(CodecError::UnknownVersion, "datagram");
    const auto authenticator = this->authenticators.find(static_cast<std::uint8_t>(bytes[3]));
    const std::string_view fields = bytes.substr(0, fieldBytes);
    const std::string_view payload = bytes.substr(headBytes);
    if (authenticator == this->authenticators.end()
        || !authenticator->second.isValid(bytes.substr(fieldBytes, tagBytes), { datagramPurpose, fields, payload }))
        return Core::Error(CodecError::BadAuthentication, "datagram code");

    std::uint64_t senderNumber = 0;
    std::int64_t time = 0;
    std::uint64_t senderCounter = 0;
    std::memcpy(&senderNumber, fields.data() + 4, 8);
    std::memcpy(&time, fields.data() + 12, 8);
    std::memcpy(&senderCounter, fields.data() + 20, 8);
    const std::int64_t nowMilliseconds = Core::toUnixMilliseconds(now);
    if (std::abs(nowMilliseconds - time) > acceptedAge.count())
        return Core::Error(CodecError::BadAuthentication, "datagram time");
    this->forgetSenders(nowMilliseconds);
    Sender& sender = this->senders[senderNumber];
    if (senderCounter <= sender.counter)
        return Core::Error(CodecError::BadAuthentication, "datagram counter");
    sender = { senderCounter, nowMilliseconds };
    return std::string(payload);
}

void DatagramCodec::forgetSenders(std::int64_t now)
{
    if (now < this->nextForget)
        return;
    // A datagram may carry a time up to acceptedAge ahead, so it can be replayed for twice as long.
    const std::int64_t keep = 3 * acceptedAge.count();
    this->nextForget = now + keep;
    std::erase_if(this->senders, [&](const auto& entry) { return entry.second.receivedAt + keep < now; });
}

}
