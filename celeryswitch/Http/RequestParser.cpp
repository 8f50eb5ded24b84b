#include "celeryswitch/Http/RequestParser.h"

#include "celeryswitch/Core/BlockBytes.h"
#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <limits>

namespace celeryswitch::Http {

namespace http = boost::beast::http;

RequestParser::RequestParser(std::size_t extensionBytesLimit)
    : extensionBytesLimit(extensionBytesLimit)
{
}

std::size_t RequestParser::memoryBytes() const
{
    return Core::blockBytes(this->parsed.method.capacity()) + Core::blockBytes(this->parsed.path.capacity())
        + this->parsed.headers.memoryBytes() + Core::blockBytes(this->parsed.body.capacity());
}

void RequestParser::on_request_impl(http::verb, Text methodText, Text target, int, ErrorCode&)
{
    this->parsed.method = std::string(methodText);
    this->parsed.path = std::string(target);
}

void RequestParser::on_response_impl(int, Text, int, ErrorCode&) { }

void RequestParser::on_field_impl(http::field, Text name, Text value, ErrorCode& error)
{
    if (value.find('\0') != Text::npos)
        error = http::error::bad_value;
    else if (!this->isHeaderDone)
        this->parsed.headers.add(name, value);
}

void RequestParser::on_header_impl(ErrorCode&) { this->isHeaderDone = true; }

void RequestParser::on_body_init_impl(const boost::optional<std::uint64_t>& contentLength, ErrorCode&)
{
    this->bodyBytesExpected = static_cast<std::size_t>(
        contentLength.value_or(static_cast<std::uint64_t>(std::numeric_limits<std::size_t>::max())));
}

std::size_t RequestParser::on_body_impl(Text body, ErrorCode&)
{
    std::string& whole = this->parsed.body;
    const std::size_t needed = whole.size() + body.size();
    if (needed > whole.capacity())
        whole.reserve(std::min(std::max(needed, 2 * whole.size()), std::max(needed, this->bodyBytesExpected)));
    whole.append(body.data(), body.size());
    return body.size();
}

void RequestParser::on_chunk_header_impl(std::uint64_t, Text extensions, ErrorCode& error)
{
    this->extensionBytes += extensions.size();
    if (this->extensionBytes > this->extensionBytesLimit)
        error = http::error::header_limit;
}

std::size_t RequestParser::on_chunk_body_impl(std::uint64_t, Text body, ErrorCode& error)
{
    return this->on_body_impl(body, error);
}

void RequestParser::on_finish_impl(ErrorCode&) { }

}
