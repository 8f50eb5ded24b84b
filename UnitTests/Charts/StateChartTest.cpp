#include "celeryswitch/Charts/StateChart.h"
#include "celeryswitch/Consensus/ReplicaRole.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using Charts::ChartError;
using Charts::StateChart;

namespace {

const Charts::ChartNames names { { "idle", "busy" }, { "begin", "end" }, { "isFree" }, { "count" } };

const std::string good = R"(
initial = "idle"
[idle]
ignored = ["end"]
[[idle.begin]]
guard = "isFree"
target = "busy"
actions = ["count"]
[[idle.begin]]
[busy]
ignored = ["begin"]
[[busy.end]]
target = "idle"
)";

// The good chart with one part replaced.
Core::Result<StateChart> loadWith(const std::string& part, const std::string& replacement)
{
    std::string text = good;
    text.replace(text.find(part), part.size(), replacement);
    return StateChart::load(text, names);
}

}

// Guards against transitions that differ from the chart.
TEST_CASE("a chart gives the first alternative whose guard holds", "[Charts]")
{
    const StateChart chart = StateChart::load(good, names).value();
    REQUIRE(chart.initialState() == 0);
    const auto* taken = chart.find(0, 0, [](std::size_t) { return true; });
    REQUIRE(taken->target == 1);
    REQUIRE(taken->actions == std::vector<std::size_t> { 0 });
    REQUIRE(chart.find(0, 0, [](std::size_t) { return false; })->target == 0);
    REQUIRE(chart.find(0, 1, [](std::size_t) { return true; }) == nullptr);
}

// Guards against charts that name what the code does not have, or leave an event or state out.
TEST_CASE("an incomplete or mistyped chart is refused", "[Charts]")
{
    REQUIRE(loadWith("\"isFree\"", "\"isFre\"").error().is(ChartError::UnknownName));
    REQUIRE(loadWith("\"count\"", "\"cnt\"").error().is(ChartError::UnknownName));
    REQUIRE(loadWith("target = \"busy\"", "target = \"bsy\"").error().is(ChartError::UnknownName));
    REQUIRE(loadWith("ignored = [\"begin\"]", "ignored = []").error().is(ChartError::UnhandledEvent));
    REQUIRE(loadWith("[[idle.begin]]\n[busy]", "[busy]").error().is(ChartError::UnhandledEvent));
    REQUIRE(loadWith("target = \"busy\"", "target = \"idle\"").error().is(ChartError::UnreachableState));
    REQUIRE(loadWith("guard =", "gard =").error().is(ChartError::Malformed));
    REQUIRE(StateChart::load("initial = \"idle\"\n", names).error().is(ChartError::MissingState));
    REQUIRE(StateChart::load("initial = ", names).error().is(ChartError::Malformed));
}

// Guards against an embedded chart that the code can't use.
TEST_CASE("the replica's chart loads", "[Charts][Consensus]")
{
    REQUIRE(Consensus::replicaChart().initialState() == static_cast<std::size_t>(Consensus::ReplicaRole::Learner));
}
