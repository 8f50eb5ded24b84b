#include "celeryswitch/Http/RequestReader.h"
#include <catch2/catch.hpp>
#include <cstring>
#include <pcg_random.hpp>
#include <random>

using namespace celeryswitch;
using Http::RequestReader;
using Progress = RequestReader::Progress;

namespace {

constexpr std::size_t headerLimit = 2000;
constexpr std::size_t bodyLimit = 30'000;
// Above both limits: the header, the trailers, the extensions, and the spare capacity of growing buffers.
constexpr std::size_t heldLimit = 2 * bodyLimit + 4 * headerLimit + 32 * 1024;

// Feeds bytes in pieces of up to `piece` bytes until the request ends or fails; checks what is held after each.
Progress feed(RequestReader& reader, std::string_view bytes, std::size_t piece, boost::system::error_code& error)
{
    reader.begin(headerLimit, bodyLimit);
    Progress progress = Progress::HeaderMissing;
    while (!bytes.empty() && progress != Progress::Complete && progress != Progress::Failed) {
        const boost::asio::mutable_buffer place = reader.prepare();
        const std::size_t count = std::min({ piece, bytes.size(), place.size() });
        std::memcpy(place.data(), bytes.data(), count);
        bytes.remove_prefix(count);
        reader.commit(count);
        progress = reader.parse(error);
        REQUIRE(reader.heldBytes() <= heldLimit);
    }
    return progress;
}

std::string repeated(const std::string& text, std::size_t count)
{
    std::string result;
    for (std::size_t number = 0; number < count; ++number)
        result += text;
    return result;
}

const std::string head = "POST /q HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

}

// Guards against a client that takes memory without end behind a legal header.
TEST_CASE("trailers and chunk extensions are bounded by the header limit", "[Http]")
{
    const std::vector<std::string> endless { head + "0\r\n" + repeated("T: 0123456789\r\n", 10'000),
        head + "0\r\nT: " + std::string(100'000, 'x'), head + "1;e=" + std::string(100'000, 'x'),
        head + repeated("1;e=0123456789\r\nx\r\n", 10'000), head + std::string(100'000, '1'),
        "POST /q HTTP/1.1\r\n" + repeated("H: 0123456789\r\n", 10'000) };
    for (const std::string& bytes : endless) {
        for (const std::size_t piece : { 1UL, 100UL, 100'000UL }) {
            INFO(bytes.substr(head.size(), 20) << " in pieces of " << piece);
            RequestReader reader;
            boost::system::error_code error;
            CHECK(feed(reader, bytes, piece, error) == Progress::Failed);
        }
    }
}

// Guards against a limit that refuses what is inside the limits, and against requests that depend on the cut between
// pieces.
TEST_CASE("requests at the limits are read whole and in pieces", "[Http]")
{
    const std::string body(bodyLimit, 'b');
    const std::string tail = "0;e=f\r\nT: " + std::string(headerLimit - 100, 't') + "\r\n\r\n";
    const std::vector<std::string> requests { "POST /q HTTP/1.1\r\nContent-Length: 30000\r\n\r\n" + body,
        "POST /q HTTP/1.1\r\nH: " + std::string(headerLimit - 100, 'h') + "\r\nContent-Length: 30000\r\n\r\n" + body,
        head + "7530;e=f\r\n" + body + "\r\n" + tail, head + repeated("1\r\nb\r\n", bodyLimit) + tail };
    for (const std::string& bytes : requests) {
        for (const std::size_t piece : { 1UL, 7UL, 1000UL, 1'000'000UL }) {
            RequestReader reader;
            boost::system::error_code error;
            // The reader is used again, as on a connection that is kept.
            for (int round = 0; round < 2; ++round) {
                REQUIRE(feed(reader, bytes, piece, error) == Progress::Complete);
                bool isKeptAlive = false;
                const Http::HttpRequest request = reader.release(isKeptAlive);
                CHECK(isKeptAlive);
                CHECK(request.body == body);
                CHECK_FALSE(reader.hasBytes());
            }
        }
    }
}

// Guards against a process that an assertion of the parser ends when an empty chunked body arrives in pieces.
TEST_CASE("an empty chunked body may arrive byte by byte", "[Http]")
{
    RequestReader reader;
    boost::system::error_code error;
    REQUIRE(feed(reader, head + "0\r\n\r\n", 1, error) == Progress::Complete);
    bool isKeptAlive = false;
    CHECK(reader.release(isKeptAlive).body.empty());
}

// Guards against bytes that make the reader hold more than its limits, read past its buffer or give back another body.
TEST_CASE("chunked bodies with changed bytes stay within the limits", "[Http]")
{
    pcg64 random(20261206);
    const auto below = [&](std::size_t bound) { return static_cast<std::size_t>(random() % bound); };
    int whole = 0;
    int failed = 0;
    for (int round = 0; round < 3000; ++round) {
        std::string body;
        std::string bytes = head;
        for (std::size_t chunks = below(12); chunks > 0; --chunks) {
            const std::string chunk(1 + below(3000), static_cast<char>('a' + below(26)));
            char size[16];
            std::snprintf(size, sizeof size, "%zx", chunk.size());
            bytes += size + std::string(below(4) == 0 ? ";e=" + std::string(1 + below(300), 'v') : "") + "\r\n" + chunk
                + "\r\n";
            body += chunk;
        }
        bytes += "0\r\n" + repeated("T: 0123456789\r\n", below(3) == 0 ? below(300) : 0) + "\r\n";
        const std::size_t changes = below(2) * below(6);
        for (std::size_t change = 0; change < changes; ++change)
            bytes[head.size() + below(bytes.size() - head.size())] = "\r\n0f;=\"x\x80"[below(9)];
        RequestReader reader;
        boost::system::error_code error;
        const Progress progress = feed(reader, bytes, 1 + below(5000), error);
        failed += progress == Progress::Failed ? 1 : 0;
        if (progress != Progress::Complete || changes > 0)
            continue;
        bool isKeptAlive = false;
        REQUIRE(reader.release(isKeptAlive).body == body);
        ++whole;
    }
    CHECK(whole > 100);
    CHECK(failed > 100);
}
