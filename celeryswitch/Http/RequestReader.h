#pragma once

#include "celeryswitch/Http/RequestParser.h"
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <optional>

namespace celeryswitch::Http {

/// Parses the requests of one connection from pieces of any size. What it holds of a request is bounded: the header,
/// the trailers and the sum of all chunk extensions by the limit of headers each, the body by its own limit.
class RequestReader {
public:
    /// How far a request has come.
    enum class Progress : std::uint8_t { HeaderMissing, BodyMissing, Complete, Failed };

    RequestReader() = default;
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
    boost::beast::flat_buffer buffer;
    std::optional<RequestParser> parser;
    std::size_t headerBytesLimit = 0;
    std::size_t parsedBytes = 0;
};

}
