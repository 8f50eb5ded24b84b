#include "celeryswitch/Http/RequestReader.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

namespace celeryswitch::Http {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// Bytes that are read at once, of a new request and of the rest of a longer one.
constexpr std::size_t firstReadBytes = 4096;
constexpr std::size_t nextReadBytes = 16 * 1024;
// "0", two ends of line.
constexpr std::size_t lastChunkBytes = 5;

}

void RequestReader::begin(std::size_t headerBytesLimit, std::size_t bodyBytesLimit)
{
    this->headerBytesLimit = headerBytesLimit;
    this->parsedBytes = 0;
    this->parser.emplace(headerBytesLimit);
    this->parser->body_limit(bodyBytesLimit);
    this->parser->header_limit(static_cast<std::uint32_t>(headerBytesLimit));
    // Takes the body as well when it has arrived with the header.
    this->parser->eager(true);
}

boost::asio::mutable_buffer RequestReader::prepare()
{
    if (!this->parser || this->parsedBytes + this->buffer.size() < firstReadBytes)
        return this->buffer.prepare(firstReadBytes);
    return this->buffer.prepare(nextReadBytes);
}

RequestReader::Progress RequestReader::parse(error_code& error)
{
    // The parser aborts the process when it is called with less than a last chunk after it has seen its first line.
    const bool isAmongChunks = this->parser->is_header_done() && this->parser->chunked();
    if (this->buffer.size() >= (isAmongChunks ? lastChunkBytes : 1)) {
        const std::size_t count = this->parser->put(this->buffer.data(), error);
        this->buffer.consume(count);
        this->parsedBytes += count;
    }
    if (error == http::error::need_more)
        error = {};
    if (!error && this->parser->is_done())
        return Progress::Complete;
    // The parser takes trailers and the line before a chunk as a whole only, and does not bound them.
    if (!error && this->buffer.size() > this->headerBytesLimit)
        error = http::error::header_limit;
    if (error)
        return Progress::Failed;
    return this->parser->is_header_done() ? Progress::BodyMissing : Progress::HeaderMissing;
}

bool RequestReader::expectsContinue() const
{
    return boost::beast::iequals(this->parser->request().headers.value("Expect"), "100-continue");
}

std::size_t RequestReader::bodyBytes() const { return this->parser ? this->parser->request().body.size() : 0; }

std::size_t RequestReader::heldBytes() const
{
    return Core::blockBytes(this->buffer.capacity()) + (this->parser ? this->parser->memoryBytes() : 0);
}

HttpRequest RequestReader::release(bool& isKeptAlive)
{
    isKeptAlive = this->parser->keep_alive();
    HttpRequest request = std::move(this->parser->request());
    this->parser.reset();
    if (this->buffer.size() == 0 && this->buffer.capacity() > firstReadBytes)
        this->discard();
    return request;
}

void RequestReader::discard()
{
    this->parser.reset();
    this->buffer.clear();
    this->buffer.shrink_to_fit();
}

}
