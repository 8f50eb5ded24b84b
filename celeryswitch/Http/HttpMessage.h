#pragma once

#include "celeryswitch/Http/HttpHeaders.h"
#include <cstdint>
#include <memory>

namespace celeryswitch::Http {

/// Statuses of requests whose body, or whose header, exceeds its limit.
constexpr std::uint16_t contentTooLargeStatus = 413;
constexpr std::uint16_t headerTooLargeStatus = 431;

/// A request over HTTP.
struct HttpRequest {
    std::string method = "GET";
    /// Path with query.
    std::string path = "/";
    HttpHeaders headers;
    std::string body;
};

/// A response over HTTP.
struct HttpResponse {
    std::uint16_t statusCode = 0;
    HttpHeaders headers;
    std::string body;
    /// Body that several responses have in common, in place of `body`; who made it accounts for its memory.
    std::shared_ptr<const std::string> sharedBody;

    const std::string& bodyText() const { return this->sharedBody ? *this->sharedBody : this->body; }
};

/// Seconds of the Retry-After header; 0 when there is none.
std::uint32_t retryAfterSeconds(const HttpResponse& response);

}
