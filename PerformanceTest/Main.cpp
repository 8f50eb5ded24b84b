#include "PerformanceTest/CapacityPerformance.h"
#include "PerformanceTest/DispatchPerformance.h"
#include "PerformanceTest/EntryPerformance.h"
#include "PerformanceTest/NetworkPerformance.h"
#include "PerformanceTest/SidecarPerformance.h"
#include "PerformanceTest/StatePerformance.h"
#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>
#include <docopt/docopt.h>
#include <functional>
#include <iostream>

namespace {

using celeryswitch::PerformanceTest::PerformanceCase;

constexpr const char* usage = R"(celeryswitch-performance: measures and compares with the stated bounds

Usage:
  celeryswitch-performance [--json] [--group=NAME]...
  celeryswitch-performance --list
  celeryswitch-performance --help

Options:
  --group=NAME  Run only this group; may be given several times.
  --list        Print the names of the groups.
  --json        Print one JSON object a case instead of a table.

A figure that misses its bound is reported and does not change the exit code: wall-clock figures depend on the machine.
)";

// A set of cases measured together.
struct Group {
    std::string name;
    std::function<std::vector<PerformanceCase>()> measure;
};

const std::vector<Group>& groups()
{
    static const std::vector<Group> all {
        { "capacity", celeryswitch::PerformanceTest::capacityCases },
        { "network", celeryswitch::PerformanceTest::networkCases },
        { "fence", celeryswitch::PerformanceTest::fenceCases },
        { "sidecar", celeryswitch::PerformanceTest::sidecarCases },
        { "state", celeryswitch::PerformanceTest::stateCases },
        { "entry", celeryswitch::PerformanceTest::measureEntryDecisions },
        { "added-time", celeryswitch::PerformanceTest::measureAddedTime },
        { "dispatch", celeryswitch::PerformanceTest::dispatchCases },
    };
    return all;
}

bool isWithinBound(const PerformanceCase& measured)
{
    return !measured.bound
        || (measured.isUpperBound ? measured.value <= *measured.bound : measured.value >= *measured.bound);
}

void printRow(const std::string& group, const PerformanceCase& measured)
{
    std::printf("%-10s %-52s %12.3f %-8s", group.c_str(), measured.name.c_str(), measured.value, measured.unit.c_str());
    if (measured.bound)
        std::printf(" %s %g: %s", measured.isUpperBound ? "<=" : ">=", *measured.bound,
            isWithinBound(measured) ? "pass" : "falls short");
    std::printf("\n");
    std::fflush(stdout);
}

void printJson(const std::string& group, const PerformanceCase& measured)
{
    boost::json::object row { { "group", group }, { "case", measured.name }, { "value", measured.value },
        { "unit", measured.unit }, { "passes", isWithinBound(measured) } };
    if (measured.bound)
        row["bound"] = *measured.bound;
    std::cout << boost::json::serialize(row) << std::endl;
}

}

int main(int argumentCount, char** arguments)
{
    const auto options = docopt::docopt(usage, { arguments + 1, arguments + argumentCount }, true);
    const std::vector<std::string> chosen = options.at("--group").asStringList();
    for (const Group& group : groups()) {
        if (options.at("--list").asBool()) {
            std::cout << group.name << "\n";
            continue;
        }
        if (!chosen.empty() && std::find(chosen.begin(), chosen.end(), group.name) == chosen.end())
            continue;
        for (const PerformanceCase& measured : group.measure()) {
            if (options.at("--json").asBool())
                printJson(group.name, measured);
            else
                printRow(group.name, measured);
        }
    }
    return 0;
}
