#pragma once

#include "celeryswitch/Http/HttpMessage.h"
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>
#include <functional>
#include <optional>

namespace celeryswitch::Http {

/// Parses the requests of one connection from pieces of any size. What it holds of a request is bounded: the header,
/// the trailers and the sum of all chunk extensions by the limit of headers each, the body by its own limit.
class RequestReader {
public:
    /// How far a request has come.
    enum class Progress : std::uint8_t { HeaderMissing, BodyMissing, Complete, Failed };

    RequestReader();
    RequestReader(const RequestReader&) = delete;
    RequestReader& operator=(const RequestReader&) = delete;

    /// Begins the next request. Bytes that followed the one before are kept.
    void begin(std::size_t headerBytesLimit, std::size_t bodyBytesLimit);
    /// Place for the next bytes.
    boost::asio::mutable_buffer prepare();
    /// Takes `count` bytes that were written to `prepare`'s place.
    void commit(std::size_t count) { this->buffer.commit(count); }
    /// Whether there are bytes that are not parsed.
    bool hasBytes() const { return this->buffer.size() > 0; }
    /// Parses what was committed. `error` is set where the request failed.
    Progress parse(boost::system::error_code& error);
    /// Whether the client waits for an interim response before it sends the body.
    bool expectsContinue() const;
    /// Memory that the request takes.
    std::size_t heldBytes() const;
    /// Bytes of the body so far.
    std::size_t bodyBytes() const;
    /// Takes a complete request out; `isKeptAlive` tells whether another one may follow.
    HttpRequest release(bool& isKeptAlive);
    /// Reads and discards: forgets all bytes and the request.
    void discard();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    // Counts the extensions of a chunk; called by the parser.
    std::function<void(std::uint64_t, boost::beast::string_view, boost::system::error_code&)> onChunk;
    boost::beast::flat_buffer buffer;
    std::optional<Parser> parser;
    std::size_t headerBytesLimit = 0;
    std::size_t extensionBytes = 0;
    std::size_t parsedBytes = 0;
};

}
