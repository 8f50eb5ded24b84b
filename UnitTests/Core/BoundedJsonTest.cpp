#include "celeryswitch/Core/BoundedJson.h"
#include "UnitTests/Core/AllocationCounter.h"
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>
#include <pcg_random.hpp>

using namespace celeryswitch;
using Core::JsonError;
using Core::parseJson;

namespace {

constexpr std::size_t megabyte = 1024 * 1024;

// A list of alike elements, about `bytes` long.
std::string listOf(const std::string& element, std::size_t bytes)
{
    std::string text = "[" + element;
    while (text.size() < bytes)
        text += "," + element;
    return text + "]";
}

// A random value that nests to a depth; short elements cost most for their bytes.
std::string drawValue(pcg64& random, std::size_t depth)
{
    const auto below = [&](std::size_t bound) { return static_cast<std::size_t>(random() % bound); };
    switch (depth == 0 ? below(3) : below(5)) {
    case 0:
        return std::to_string(below(10));
    case 1:
        return "\"" + std::string(below(40), 'x') + "\"";
    case 2:
        return "null";
    case 3: {
        std::string text = "[";
        for (std::size_t count = below(20); count > 0; --count)
            text += drawValue(random, depth - 1) + (count > 1 ? "," : "");
        return text + "]";
    }
    default: {
        std::string text = "{";
        for (std::size_t count = below(20); count > 0; --count)
            text += "\"" + std::to_string(count) + "\":" + drawValue(random, depth - 1) + (count > 1 ? "," : "");
        return text + "}";
    }
    }
}

}

// Guards against bodies of legal size whose values take many times their bytes.
TEST_CASE("a text whose values take too much memory is refused", "[Core]")
{
    for (const char* element : { "[0]", "[]", "{\"\":0}", "0", "[[[[0]]]]", "\"\"" }) {
        INFO(element);
        const std::string text = listOf(element, 4 * megabyte);
        const std::size_t before = allocatedBytes();
        const auto isTooLarge = [&text](std::size_t limit) {
            const auto value = parseJson(text, limit);
            return !value && value.error().is(JsonError::TooLarge);
        };
        const bool isRefused = isTooLarge(8 * megabyte);
        const bool isRefusedFurther = isTooLarge(400 * megabyte);
        const std::size_t after = allocatedBytes();
        REQUIRE(isRefused);
        REQUIRE_FALSE(isRefusedFurther);
        REQUIRE(after == before);
    }
}

// Guards against a limit that ordinary texts meet, and against a text that is read differently near it.
TEST_CASE("a text within the limit is read as without it", "[Core]")
{
    const std::string text = listOf(R"({"name":"r-1","host":"a.example","timeout_ms":1500})", 1 * megabyte);
    const auto value = parseJson(text, 16 * megabyte);
    REQUIRE(value);
    REQUIRE(boost::json::serialize(value.value()) == text);
    REQUIRE(parseJson("{} x", 16 * megabyte).error().is(JsonError::Malformed));
    REQUIRE(parseJson("[1,", 16 * megabyte).error().is(JsonError::Malformed));
    REQUIRE(parseJson("", 16 * megabyte).error().is(JsonError::Malformed));
}

// Guards against shapes whose values take more than the limit although they are not counted. Seed 48.
TEST_CASE("values of random texts take no more memory than the limit", "[Core]")
{
    pcg64 random(48);
    for (int round = 0; round < 300; ++round) {
        const std::string text = listOf(drawValue(random, 4), 1 + random() % 20'000);
        const std::size_t limit = text.size() * (1 + random() % 120);
        const std::size_t before = allocatedBytes();
        const auto value = parseJson(text, limit);
        INFO("round " << round << ", " << text.size() << " bytes, limit " << limit);
        if (value)
            REQUIRE(allocatedBytes() - before <= limit);
        else
            REQUIRE(value.error().is(JsonError::TooLarge));
    }
}
