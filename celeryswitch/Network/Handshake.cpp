#include "celeryswitch/Network/Handshake.h"

#include "celeryswitch/Core/Assert.h"
#include "celeryswitch/Network/FrameCodec.h"
#include <openssl/crypto.h>

namespace celeryswitch::Network {

namespace {

constexpr std::string_view offerMagic = "ch";

}

Handshake::Handshake(const AuthenticationKeys& keys, std::string nonce)
    : keys(keys)
{
    CELERY_ASSERT(this->keys.keys.contains(this->keys.currentKeyId) && nonce.size() == nonceBytes);
    this->ownHead = std::string(offerMagic) + static_cast<char>(protocolVersion)
        + static_cast<char>(this->keys.currentKeyId) + std::move(nonce);
}

std::string Handshake::offer() const { return this->ownHead; }

Core::Result<void> Handshake::readHead(std::string_view bytes)
{
    if (bytes.substr(0, 2) != offerMagic)
        return Core::Error(CodecError::Malformed, "handshake");
    if (static_cast<std::uint8_t>(bytes[2]) != protocolVersion)
        return Core::Error(CodecError::UnknownVersion, std::to_string(static_cast<std::uint8_t>(bytes[2])));
    this->peerKeyId = static_cast<std::uint8_t>(bytes[3]);
    if (!this->keys.keys.contains(this->peerKeyId))
        return Core::Error(CodecError::BadAuthentication, "unknown key id " + std::to_string(this->peerKeyId));
    return Core::success();
}

Core::Result<std::string> Handshake::takeOffer(std::string_view bytes)
{
    if (bytes.size() != offerBytes)
        return Core::Error(CodecError::Malformed, "handshake offer");
    BOOST_OUTCOME_TRY(this->readHead(bytes));
    this->offerHead = bytes;
    this->answerHead = this->ownHead;
    this->derive(false);
    return this->ownHead + this->code(this->keys.currentKeyId, "listener proof").substr(0, tagBytes);
}

Core::Result<std::string> Handshake::takeAnswer(std::string_view bytes)
{
    if (bytes.size() != answerBytes)
        return Core::Error(CodecError::Malformed, "handshake answer");
    BOOST_OUTCOME_TRY(this->readHead(bytes));
    this->offerHead = this->ownHead;
    this->answerHead = bytes.substr(0, offerBytes);
    if (CRYPTO_memcmp(bytes.data() + offerBytes, this->code(this->peerKeyId, "listener proof").data(), tagBytes) != 0)
        return Core::Error(CodecError::BadAuthentication, "listener proof");
    this->derive(true);
    return this->code(this->keys.currentKeyId, "connector proof").substr(0, tagBytes);
}

Core::Result<void> Handshake::takeProof(std::string_view bytes)
{
    if (bytes.size() != proofBytes
        || CRYPTO_memcmp(bytes.data(), this->code(this->peerKeyId, "connector proof").data(), tagBytes) != 0)
        return Core::Error(CodecError::BadAuthentication, "connector proof");
    return Core::success();
}

std::string Handshake::code(std::uint8_t keyId, std::string_view purpose) const
{
    return FrameAuthenticator(this->keys.keys.at(keyId)).fullTag({ purpose, this->offerHead, this->answerHead });
}

void Handshake::derive(bool isConnecting)
{
    this->derived.sendKeyId = this->keys.currentKeyId;
    this->derived.receiveKeyId = this->peerKeyId;
    this->derived.sendKey = this->code(this->derived.sendKeyId, isConnecting ? "from connector" : "from listener");
    this->derived.receiveKey
        = this->code(this->derived.receiveKeyId, isConnecting ? "from listener" : "from connector");
}

}
