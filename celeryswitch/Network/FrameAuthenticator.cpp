#include "celeryswitch/Network/FrameAuthenticator.h"

#include "celeryswitch/Core/Assert.h"
#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <openssl/rand.h>

namespace celeryswitch::Network {

namespace {

struct MacDeleter {
    void operator()(EVP_MAC* mac) const { EVP_MAC_free(mac); }
    void operator()(EVP_MAC_CTX* context) const { EVP_MAC_CTX_free(context); }
};

}

/// Keyed context of libcrypto; keying it once saves half of the cost of a short frame.
class FrameAuthenticator::Implementation {
public:
    std::unique_ptr<EVP_MAC, MacDeleter> mac { EVP_MAC_fetch(nullptr, "HMAC", nullptr) };
    std::unique_ptr<EVP_MAC_CTX, MacDeleter> context { EVP_MAC_CTX_new(this->mac.get()) };
};

FrameAuthenticator::FrameAuthenticator(std::string_view secret)
    : implementation(std::make_unique<Implementation>())
{
    char digest[] = "SHA256";
    const OSSL_PARAM parameters[]
        = { OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest, 0), OSSL_PARAM_construct_end() };
    CELERY_ASSERT(EVP_MAC_init(this->implementation->context.get(),
                      reinterpret_cast<const unsigned char*>(secret.data()), secret.size(), parameters)
        == 1);
}

FrameAuthenticator::~FrameAuthenticator() = default;
FrameAuthenticator::FrameAuthenticator(FrameAuthenticator&&) noexcept = default;
FrameAuthenticator& FrameAuthenticator::operator=(FrameAuthenticator&&) noexcept = default;

FrameAuthenticator::FullTag FrameAuthenticator::compute(std::initializer_list<std::string_view> parts)
{
    EVP_MAC_CTX* context = this->implementation->context.get();
    // Without a key this starts anew with the key that the context has.
    bool isDone = EVP_MAC_init(context, nullptr, 0, nullptr) == 1;
    for (std::string_view part : parts)
        isDone
            = isDone && EVP_MAC_update(context, reinterpret_cast<const unsigned char*>(part.data()), part.size()) == 1;
    FullTag code {};
    std::size_t written = 0;
    isDone
        = isDone && EVP_MAC_final(context, reinterpret_cast<unsigned char*>(code.data()), &written, code.size()) == 1;
    CELERY_ASSERT(isDone && written == code.size());
    return code;
}

std::string FrameAuthenticator::fullTag(std::initializer_list<std::string_view> parts)
{
    const FullTag code = this->compute(parts);
    return std::string(code.data(), code.size());
}

std::string FrameAuthenticator::tag(std::initializer_list<std::string_view> parts)
{
    return std::string(this->compute(parts).data(), tagBytes);
}

void FrameAuthenticator::appendTag(std::string& head, std::string_view payload)
{
    const FullTag code = this->compute({ head, payload });
    head.append(code.data(), tagBytes);
}

bool FrameAuthenticator::isValid(std::string_view candidate, std::initializer_list<std::string_view> parts)
{
    return candidate.size() == tagBytes && CRYPTO_memcmp(candidate.data(), this->compute(parts).data(), tagBytes) == 0;
}

std::string randomBytes(std::size_t count)
{
    std::string bytes(count, '\0');
    CELERY_ASSERT(RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(count)) == 1);
    return bytes;
}

}
