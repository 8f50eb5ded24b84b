#include "celeryswitch/Scenario/ScenarioFile.h"
#include <catch2/catch.hpp>
#include <random>

using namespace celeryswitch;

namespace {

const std::string validText = R"(name = "a"
guardsAgainst = "b"
step = [
    { do = "submit", job = "order", entry = "entry-1", tasks = 4 },
    { do = "expectJob", job = "order", state = "complete", withinMs = 500 },
]
[fleet]
sidecars = 2
)";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

}

// Guards against a scenario that passes because a step or an argument of it was ignored.
TEST_CASE("unknown actions and arguments of a scenario are refused with their line", "[Scenario]")
{
    const Core::Result<Scenario::ScenarioFile> valid = Scenario::parseScenario(validText, "a.toml");
    REQUIRE(valid);
    REQUIRE(valid.value().fleet.sidecars == 2);
    REQUIRE(valid.value().steps.at(0).integer("tasks") == 4);
    REQUIRE(valid.value().steps.at(1).within() == std::chrono::milliseconds(500));
    for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>> { { "submit", "sumbit" },
             { "tasks = 4", "task = 4" }, { "tasks = 4", "tasks = 0" }, { "job = \"order\", entry", "entry" },
             { "sidecars = 2", "sidecars = 65" }, { "guardsAgainst", "guards" } }) {
        INFO(to);
        const Core::Result<Scenario::ScenarioFile> result
            = Scenario::parseScenario(replaced(validText, from, to), "a.toml");
        REQUIRE_FALSE(result);
        REQUIRE(result.error().detail().find("a.toml:") != std::string::npos);
    }
}

// Guards against a parser that throws or crashes on damaged files. Seeds 1 to 2000.
TEST_CASE("damaged scenario files never crash the parser", "[Scenario]")
{
    for (std::uint32_t seed = 1; seed <= 2000; ++seed) {
        INFO("seed " << seed);
        std::mt19937 generator(seed);
        std::string text = validText;
        for (std::uint32_t edits = generator() % 8 + 1; edits > 0; --edits) {
            text[generator() % text.size()] = static_cast<char>(generator() % 256);
            text.erase(generator() % text.size(), generator() % 9);
        }
        REQUIRE_NOTHROW(Scenario::parseScenario(text, "a.toml"));
    }
}
