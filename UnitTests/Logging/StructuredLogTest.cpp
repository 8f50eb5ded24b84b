#include "celeryswitch/Logging/StructuredLog.h"
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>
#include <cctype>
#include <vector>

using namespace celeryswitch;
using Logging::LogFormat;
using Logging::LogLevel;
using Logging::StructuredLog;

namespace {

// A log whose records are kept.
struct KeptLog {
    explicit KeptLog(LogFormat format = LogFormat::Logfmt, std::uint32_t recordsPerSecond = 20)
        : log({ LogLevel::Info, format, "entry", "e1", recordsPerSecond,
                  [this](const std::string& record) { this->records.push_back(record); } },
            this->clock)
    {
    }

    Core::ManualClock clock;
    std::vector<std::string> records;
    StructuredLog log;
};

}

// Guards against records without the fields that an operator filters by, and against debug records by default.
TEST_CASE("a record carries time, level, role, instance and job", "[Logging]")
{
    KeptLog kept;
    kept.log.write(LogLevel::Debug, "ignored");
    kept.log.write(LogLevel::Info, "job accepted", { Logging::LogField(Core::JobId { 1, 2 }), { "tasks", 3 } });
    REQUIRE(kept.records
        == std::vector<std::string> { "time=2023-11-14T22:13:20.000Z level=info role=entry instance=e1 "
                                      "message=\"job accepted\" job=00000000000000010000000000000002 tasks=3" });
}

// Guards against a value from outside that forges a field or a second record.
TEST_CASE("line ends and quotes in a value stay inside the value", "[Logging]")
{
    KeptLog logfmt;
    logfmt.log.write(LogLevel::Error, "refused", { { "peer", "a\" level=info\nb" } });
    REQUIRE(logfmt.records.at(0).find("peer=\"a\\\" level=info\\nb\"") != std::string::npos);
    KeptLog json(LogFormat::Json);
    json.log.write(LogLevel::Error, "refused", { { "peer", "a\"\nb" }, { "count", 2 } });
    const boost::json::value record = boost::json::parse(json.records.at(0));
    REQUIRE(record.at("peer").as_string() == "a\"\nb");
    REQUIRE(record.at("count").as_int64() == 2);
}

// Guards against a flood of one message filling the disk, and against floods that leave no count behind.
TEST_CASE("a flood of one message is cut to its rate and its count is reported", "[Logging]")
{
    KeptLog kept(LogFormat::Logfmt, 5);
    for (int index = 0; index < 1000; ++index)
        kept.log.write(LogLevel::Warning, "queue full");
    kept.log.write(LogLevel::Info, "another message");
    REQUIRE(kept.records.size() == 6);
    SECTION("by the next record of the message")
    {
        kept.clock.advance(std::chrono::milliseconds(1100));
        kept.log.write(LogLevel::Warning, "queue full");
        REQUIRE(kept.records.back().find("suppressed=995") != std::string::npos);
    }
    SECTION("by any later record when the flood is over")
    {
        kept.clock.advance(std::chrono::seconds(3));
        kept.log.write(LogLevel::Info, "another message");
        REQUIRE(kept.records.at(6).find("message=\"queue full\" suppressed=995") != std::string::npos);
        REQUIRE(kept.records.size() == 8);
    }
    SECTION("by a flush")
    {
        kept.log.flush();
        REQUIRE(kept.records.back().find("suppressed=995") != std::string::npos);
    }
}

// Guards against records of one log in the output of another, since Boost.Log's core is shared by the process.
TEST_CASE("two logs keep their records apart", "[Logging]")
{
    KeptLog first;
    KeptLog second;
    first.log.write(LogLevel::Info, "one");
    REQUIRE(first.records.size() == 1);
    REQUIRE(second.records.empty());
}

// Guards against records that carry the time of an earlier one.
TEST_CASE("each record carries its own time to the millisecond", "[Logging]")
{
    KeptLog kept(LogFormat::Logfmt, 0);
    for (const int step : { 7, 50, 900, 43, 59'000 }) {
        kept.clock.advance(std::chrono::milliseconds(step));
        kept.log.write(LogLevel::Info, "tick");
    }
    std::vector<std::string> times;
    for (const std::string& record : kept.records)
        times.push_back(record.substr(0, record.find(' ')));
    CHECK(times
        == std::vector<std::string> { "time=2023-11-14T22:13:20.007Z", "time=2023-11-14T22:13:20.057Z",
            "time=2023-11-14T22:13:20.957Z", "time=2023-11-14T22:13:21.000Z", "time=2023-11-14T22:14:20.000Z" });
}

// Guards against a value that is written without quotes although a reader of logfmt would split it.
TEST_CASE("only plain characters stand without quotes", "[Logging]")
{
    KeptLog kept(LogFormat::Logfmt, 0);
    for (int character = 1; character < 128; ++character) {
        INFO(character);
        const std::string value(1, static_cast<char>(character));
        kept.log.write(LogLevel::Info, "value", { { "key", value }, { "next", "x" } });
        const bool isPlain = std::isalnum(character) != 0 || std::string("-_.:/+@").find(value) != std::string::npos;
        const std::string expected = isPlain ? value : boost::json::serialize(boost::json::string(value));
        CHECK(kept.records.back().ends_with("message=value key=" + expected + " next=x"));
    }
    kept.log.write(LogLevel::Info, "value", { { "key", "" } });
    CHECK(kept.records.back().ends_with(" key=\"\""));
}
