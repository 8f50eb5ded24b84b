#include "UnitTests/Core/AllocationCounter.h"
#include "celeryswitch/Http/RequestReader.h"
#include <catch2/catch.hpp>
#include <cstring>
#include <pcg_random.hpp>

using namespace celeryswitch;
using Http::RequestReader;
using Progress = RequestReader::Progress;

namespace {

constexpr std::size_t headerLimit = 16 * 1024;
constexpr std::size_t bodyLimit = 256 * 1024;
// Memory beyond what the reader says that it holds, for a few blocks of constant size.
constexpr std::size_t toleratedBytes = 1024;

// A request with a header of many or few fields, and a body that is framed by its length or by chunks.
std::string drawRequest(pcg64& random)
{
    const auto below = [&](std::size_t bound) { return static_cast<std::size_t>(random() % bound); };
    std::string request = "POST /";
    request.append(below(200), 'p').append(" HTTP/1.1\r\nHost: a\r\n");
    const std::size_t fields = below(3) == 0 ? below(2600) : below(20);
    for (std::size_t number = 0; number < fields && request.size() + 40 < headerLimit; ++number)
        request.append(std::to_string(below(100'000)))
            .append(":")
            .append(below(10) == 0 ? below(30) : 0, 'v')
            .append("\r\n");
    if (below(2) == 0) {
        const std::size_t length = below(4) == 0 ? bodyLimit : below(3000);
        return request.append("Content-Length: " + std::to_string(length) + "\r\n\r\n").append(length, 'b');
    }
    request += "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t chunks = below(40); chunks > 0; --chunks) {
        char size[16];
        const std::size_t length = 1 + below(5000);
        std::snprintf(size, sizeof size, "%zx\r\n", length);
        request.append(size).append(length, 'b').append("\r\n");
    }
    request += "0\r\n";
    for (std::size_t trailers = below(3) == 0 ? below(1500) : 0; trailers > 0; --trailers)
        request += std::to_string(below(100'000)) + ":\r\n";
    return request + "\r\n";
}

}

// Guards against clients that make the process pay for more than its budget counts: fields, and lengths that are
// announced and not sent.
TEST_CASE("a reader holds no more memory than it says", "[Http]")
{
    pcg64 random(20261207);
    for (int round = 0; round < 400; ++round) {
        const std::string request = drawRequest(random);
        const std::size_t sent = random() % 2 == 0 ? request.size() : random() % request.size();
        const std::size_t piece = 1 + random() % 8192;
        const std::size_t before = allocatedBytes();
        RequestReader reader;
        boost::system::error_code error;
        reader.begin(headerLimit, bodyLimit);
        Progress progress = Progress::HeaderMissing;
        for (std::size_t position = 0;
             position < sent && (progress == Progress::HeaderMissing || progress == Progress::BodyMissing);) {
            const boost::asio::mutable_buffer place = reader.prepare();
            const std::size_t count = std::min({ piece, sent - position, place.size() });
            std::memcpy(place.data(), request.data() + position, count);
            reader.commit(count);
            position += count;
            progress = reader.parse(error);
            const std::size_t held = allocatedBytes() - before;
            INFO("round " << round << ", " << position << " of " << request.size() << " bytes");
            REQUIRE(held <= reader.heldBytes() + toleratedBytes);
        }
        if (progress != Progress::Complete)
            continue;
        bool isKeptAlive = false;
        const Http::HttpRequest whole = reader.release(isKeptAlive);
        // What is handed on is held as well, until the request is answered.
        REQUIRE(allocatedBytes() - before <= 2 * request.size() + headerLimit + toleratedBytes);
    }
}
