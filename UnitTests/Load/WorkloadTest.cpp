#include "celeryswitch/Load/Workload.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace celeryswitch::Load;

namespace {

const std::string folder = CELERYSWITCH_SOURCE_FOLDER "/workloads/";

}

// Guards against workload files that drift from the mix that the targets are stated for.
TEST_CASE("the two workloads parse and have the stated mix", "[Load]")
{
    for (const char* name : { "association.toml", "lanterna.toml" }) {
        const auto workload = readWorkload(folder + name);
        INFO((workload ? "" : workload.error().message()));
        REQUIRE(workload.has_value());
        REQUIRE(workload.value().service.workers * workload.value().service.slotsPerWorker == 88);
        double longWeight = 0;
        double weights = 0;
        for (const KindDescription& kind : workload.value().kinds) {
            REQUIRE(kind.distribution.at(0.95) >= 2.5 * kind.distribution.at(0.05));
            weights += kind.weight;
            longWeight += kind.distribution.minimum >= std::chrono::seconds(2) ? kind.weight : 0;
        }
        REQUIRE(longWeight / weights == Approx(0.03).margin(0.002));
    }
}

// Guards against an error report that stops at the first problem or hides where it is.
TEST_CASE("every problem of a workload is reported with line, key, value and range", "[Load]")
{
    const auto workload = parseWorkload("[service]\n"
                                        "name = \"loans\"\n"
                                        "workers = 0\n"
                                        "slotsPerWorker = 8\n"
                                        "dataCentres = [\"a\"]\n"
                                        "crossDataCentreMs = 1\n"
                                        "insideDataCentreMs = 0.1\n"
                                        "clientMs = 3\n"
                                        "colour = 1\n"
                                        "[[kind]]\n"
                                        "name = \"checkout\"\n"
                                        "weight = 1\n"
                                        "distribution = { type = \"normal\", minimumMs = 5, maximumMs = 4 }\n"
                                        "urgency = \"high\"\n"
                                        "idempotent = true\n"
                                        "shareWeight = 10\n"
                                        "jobSizes = [{ tasks = 1, weight = 1 }]\n"
                                        "[[phase]]\n"
                                        "name = \"p\"\n"
                                        "durationSeconds = 1\n"
                                        "loadPercent = 50\n"
                                        "floodKind = \"other\"\n",
        "x.toml");
    REQUIRE_FALSE(workload.has_value());
    const std::string& detail = workload.error().detail();
    for (const char* part : { "x.toml:3: service.workers: 0 (allowed: 1 to 100000", "x.toml:9: service.colour",
             "x.toml:13: kind.distribution.type", "maximumMs: 4", "x.toml:14: kind.urgency",
             "x.toml:22: phase.floodKind" }) {
        INFO(detail);
        REQUIRE(detail.find(part) != std::string::npos);
    }
}
