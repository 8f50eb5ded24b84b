#include "celeryswitch/Explain/Story.h"
#include <catch2/catch.hpp>

using namespace celeryswitch::Explain;

namespace {

const std::string job = "00000000000000ab";

// Messages of the lines that are about the subject.
std::vector<std::string> messages(const Story& story)
{
    std::vector<std::string> result;
    for (const StoryLine& line : story.lines) {
        if (!line.isContext)
            result.push_back(line.record.message);
    }
    return result;
}

std::string line(const std::string& time, const std::string& role, const std::string& instance, const std::string& rest)
{
    return "time=2026-04-20T10:00:" + time + "Z level=info role=" + role + " instance=" + instance + " message=" + rest;
}

// A job that a worker refused once; `skew` is the second of the sidecar's clock.
StoryBuilder refusedOnce(const std::string& sidecarSecond)
{
    StoryBuilder builder({ job, 0 });
    builder.addLine(line("05.100", "entry", "entry-1", "\"job ended\" job=" + job + " answer=state state=completed"));
    builder.addLine(line("05.100", "entry", "entry-1", "\"job admitted\" job=" + job + " age_ms=300"));
    builder.addLine(
        line("05.100", "entry", "entry-1", "\"tasks placed\" job=" + job + " sidecar=side-1 run=1 age_ms=298"));
    builder.addLine(line("05.100", "entry", "entry-1",
        "\"run ended without success\" job=" + job + " task=0 run=1 sidecar=side-1 end=not-started age_ms=250"));
    builder.addLine(
        line("05.100", "entry", "entry-1", "\"tasks placed\" job=" + job + " sidecar=side-2 run=2 age_ms=249"));
    builder.addLine(
        line(sidecarSecond + ".820", "sidecar", "side-1", "\"start not accepted\" job=" + job + " task=0 run=1"));
    builder.addLine(line("05.000", "entry", "entry-2", "\"job admitted\" job=00000000000000ac"));
    builder.addLine("no record at all");
    return builder;
}

const std::vector<std::string> order { "job admitted", "tasks placed", "start not accepted",
    "run ended without success", "tasks placed", "job ended" };

}

// Guards against fields that are cut at spaces, quotes or equals signs, and lines of collectors that hide a record.
TEST_CASE("a log record is read in both formats and behind other text", "[Explain]")
{
    const auto record
        = parseRecord("   5.12 side-1 time=2026-04-20T10:00:05.100Z level=info role=sidecar instance=side-1 "
                      "message=\"a \\\"quoted\\\" = text\" job=00ab reason=\"\" age_ms=40\n");
    REQUIRE(record);
    REQUIRE(record->message == "a \"quoted\" = text");
    REQUIRE(record->field("job") == "00ab");
    REQUIRE(record->field("reason").empty());
    REQUIRE(record->time % 100'000 == 5'060);
    const auto json = parseRecord(R"({"time":"2026-04-20T10:00:05.100Z","instance":"e","message":"m","count":3})");
    REQUIRE(json);
    REQUIRE(json->number("count") == 3);
    for (const char* text : { "", "time=", "time=yesterday instance=a message=b", "{\"time\":3}", "a=b c" })
        REQUIRE_FALSE(parseRecord(text));
}

// Guards against a story in the order of writing, which tells the end before the beginning.
TEST_CASE("a request's story comes in causal order", "[Explain]")
{
    const StoryBuilder builder = refusedOnce("04");
    const Story story = builder.build();
    REQUIRE(messages(story) == order);
    REQUIRE(story.lines.front().offset == 0);
    REQUIRE(story.lines.back().offset == 300);
    REQUIRE(story.corrections.empty());
    REQUIRE(builder.unreadableLines() == 1);
}

// Guards against clocks that differ by seconds.
TEST_CASE("clocks that contradict cause and effect are corrected", "[Explain]")
{
    for (const char* second : { "02", "09" }) {
        const Story story = refusedOnce(second).build();
        REQUIRE(messages(story) == order);
        REQUIRE(story.corrections.count("side-1") == 1);
    }
}

// Guards against gaps that look like silence.
TEST_CASE("what is missing is named", "[Explain]")
{
    StoryBuilder builder = refusedOnce("04");
    builder.addLine(line("05.000", "sidecar", "side-1", "\"run stopped\" suppressed=12"));
    builder.addLine(line("05.000", "sidecar", "side-7", "\"run stopped\" suppressed=99"));
    const Story story = builder.build();
    REQUIRE(story.gaps
        == std::vector<std::string> {
            "side-2: no log given, though it took part", "side-1: 12 records \"run stopped\" suppressed" });
    REQUIRE(toText(story).find("gap: side-2") != std::string::npos);
    REQUIRE(StoryBuilder({ "00000000000000ff", 0 }).build().lines.empty());
}

// Guards against a story without the beliefs that explain it.
TEST_CASE("what the instances believed meanwhile is told", "[Explain]")
{
    StoryBuilder builder = refusedOnce("04");
    builder.addLine(line("04.500", "sidecar", "side-1", "\"worker out of contact\" worker=w-1"));
    builder.addLine(line("01.000", "sidecar", "side-1", "starting"));
    builder.addLine(line("04.500", "sidecar", "side-9", "starting"));
    const Story story = builder.build();
    REQUIRE(std::count_if(story.lines.begin(), story.lines.end(), [](const StoryLine& each) { return each.isContext; })
        == 1);
    REQUIRE(toJson(story).find("worker out of contact") != std::string::npos);
}
