#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace celeryswitch::Http {

/// Statuses of requests whose body, or whose header, exceeds its limit.
constexpr std::uint16_t contentTooLargeStatus = 413;
constexpr std::uint16_t headerTooLargeStatus = 431;

/// Orders header names without regard to the case of ASCII letters.
struct HeaderNameLess {
    using is_transparent = void;

    bool operator()(std::string_view left, std::string_view right) const
    {
        return std::lexicographical_compare(
            left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) { return lower(a) < lower(b); });
    }

private:
    static char lower(char character)
    {
        return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
    }
};

/// Header fields by name; of a repeated field the last value.
using HttpHeaders = std::map<std::string, std::string, HeaderNameLess>;

/// Value of a header; empty when there is none.
inline std::string_view headerValue(const HttpHeaders& headers, std::string_view name)
{
    const auto found = headers.find(name);
    return found != headers.end() ? std::string_view(found->second) : std::string_view();
}

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
};

/// Seconds of the Retry-After header; 0 when there is none.
std::uint32_t retryAfterSeconds(const HttpResponse& response);

}
