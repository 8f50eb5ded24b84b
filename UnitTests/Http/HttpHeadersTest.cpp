#include "UnitTests/Core/AllocationCounter.h"
#include "celeryswitch/Http/RequestReader.h"
#include <catch2/catch.hpp>
#include <cstring>

using namespace celeryswitch;
using Http::HttpHeaders;

// Guards against a field that is found under another name, or of which an earlier value counts.
TEST_CASE("the last value of a header field counts, whatever the case of its name", "[Http]")
{
    HttpHeaders headers { { "Host", "a" }, { "X-Empty", "" }, { "host", "b" } };
    CHECK(headers.value("HOST") == "b");
    CHECK(headers.contains("x-empty"));
    CHECK(headers.value("X-Empty").empty());
    CHECK_FALSE(headers.contains("X"));
    CHECK(headers.value("X").empty());
    headers.set("HOST", "c");
    std::string fields;
    headers.forEach([&](std::string_view name, std::string_view value) {
        fields += std::string(name) + "=" + std::string(value) + ";";
    });
    CHECK(fields == "X-Empty=;HOST=c;");
}

// Guards against fields that cost many times their bytes.
TEST_CASE("a header field takes no more memory than its bytes in the message", "[Http]")
{
    constexpr std::size_t fields = 2700;
    constexpr std::size_t bytesOfField = 6;
    const std::size_t before = allocatedBytes();
    HttpHeaders headers;
    for (std::size_t number = 0; number < fields; ++number)
        headers.add(std::to_string(10 + number % 90), "");
    // A text that grows has up to as much again to spare.
    CHECK(allocatedBytes() - before <= 2 * fields * bytesOfField);
    CHECK(headers.memoryBytes() >= allocatedBytes() - before - bytesOfField);
}

// Guards against trailers that replace what the header said after it was acted on.
TEST_CASE("trailers are no header fields", "[Http]")
{
    const std::string text
        = "POST /q HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbb\r\n0\r\nHost: b\r\n"
          "Extra: c\r\n\r\n";
    Http::RequestReader reader;
    boost::system::error_code error;
    reader.begin(2000, 2000);
    std::memcpy(reader.prepare().data(), text.data(), text.size());
    reader.commit(text.size());
    REQUIRE(reader.parse(error) == Http::RequestReader::Progress::Complete);
    bool isKeptAlive = false;
    const Http::HttpRequest request = reader.release(isKeptAlive);
    CHECK(request.headers.value("Host") == "a");
    CHECK_FALSE(request.headers.contains("Extra"));
    CHECK(request.body == "bb");
}
