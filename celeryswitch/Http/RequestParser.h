#pragma once

#include "celeryswitch/Http/HttpMessage.h"
#include <boost/beast/http/basic_parser.hpp>

namespace celeryswitch::Http {

/// Parses one request. What it keeps takes about as much memory as the bytes that it was given: fields share one text,
/// the body grows with what arrives whatever its length is announced to be, and trailers are checked and dropped.
class RequestParser final : public boost::beast::http::basic_parser<true> {
public:
    /// Accepts at most `extensionBytesLimit` bytes of chunk extensions.
    explicit RequestParser(std::size_t extensionBytesLimit);

    /// The request as far as it was parsed.
    HttpRequest& request() { return this->parsed; }
    const HttpRequest& request() const { return this->parsed; }
    /// Memory that the request takes, in bytes.
    std::size_t memoryBytes() const;

private:
    using ErrorCode = boost::system::error_code;
    using Text = boost::beast::string_view;

    void on_request_impl(
        boost::beast::http::verb method, Text methodText, Text target, int version, ErrorCode& error) override;
    void on_response_impl(int code, Text reason, int version, ErrorCode& error) override;
    void on_field_impl(boost::beast::http::field field, Text name, Text value, ErrorCode& error) override;
    void on_header_impl(ErrorCode& error) override;
    void on_body_init_impl(const boost::optional<std::uint64_t>& contentLength, ErrorCode& error) override;
    std::size_t on_body_impl(Text body, ErrorCode& error) override;
    void on_chunk_header_impl(std::uint64_t size, Text extensions, ErrorCode& error) override;
    std::size_t on_chunk_body_impl(std::uint64_t remaining, Text body, ErrorCode& error) override;
    void on_finish_impl(ErrorCode& error) override;

    HttpRequest parsed;
    std::size_t extensionBytesLimit;
    std::size_t extensionBytes = 0;
    // Length of the body if it is announced, otherwise the largest length.
    std::size_t bodyBytesExpected = 0;
    bool isHeaderDone = false;
};

}
