#include "celeryswitch/Experiment/LeasedFleet.h"
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <sstream>

using namespace celeryswitch;
using namespace celeryswitch::Experiment;

namespace {

constexpr double entryShare = 0.12;
constexpr double wholeCore = 1;
constexpr int durationSeconds = 10;

// Jobs of three lengths and 2.4 tasks on average, at a rate a second and a share of the room of all workers.
LeasedOptions fleet(std::uint64_t seed, std::size_t workers, double jobsPerSecond, double load)
{
    LeasedOptions options;
    options.seed = seed;
    options.duration = std::chrono::seconds(durationSeconds);
    options.workers = workers;
    options.kinds = { { "preview", 0.5 * jobsPerSecond, 0.08, 0.4, 2.9, 0, 3 },
        { "quote", 0.4 * jobsPerSecond, 0.25, 0.4, 2.7, 0, 3 }, { "check", 0.1 * jobsPerSecond, 0.6, 0.4, 2.7, 0, 3 } };
    double coreSeconds = 0;
    for (const LeasedJobKind& kind : options.kinds)
        coreSeconds += kind.jobsPerSecond * kind.meanSeconds * 2.2;
    // Jobs of each kind are worth the same in sum.
    for (LeasedJobKind& kind : options.kinds) {
        kind.milliCores
            = load * static_cast<double>(workers) * static_cast<double>(options.workerMilliCores) / coreSeconds;
        kind.value = 1 / kind.jobsPerSecond;
    }
    // Callers of an entry stay with it.
    options.faults.sameEntryRepeats = 1;
    return options;
}

// Eight entries of which one gets a quarter of the jobs, 150 a second, and the others a tenth each.
LeasedResult playUnevenCallers(double processorShare)
{
    LeasedOptions options = fleet(1, 53, 570, 0.85);
    options.entries = 8;
    options.entryWeights = { 2.5, 1, 1, 1, 1, 1, 1, 1 };
    options.processor.share = processorShare;
    LeasedResult result = LeasedFleet(options).run();
    REQUIRE(result.violations.empty());
    return result;
}

// Difference between the entries with the largest and the smallest share of the value owed to their callers.
double spreadOfValue(const LeasedResult& result)
{
    const auto [least, most] = std::minmax_element(result.entries.begin(), result.entries.end(),
        [](const LeasedEntryResult& left, const LeasedEntryResult& right) {
            return left.value.share() < right.value.share();
        });
    return most->value.share() - least->value.share();
}

// Share of a core that an entry used while jobs arrived.
double usedShare(const LeasedEntryResult& entry) { return entry.processorSeconds / durationSeconds; }

// Single entry at a rate of jobs; its workers are loaded to 70 % at 185 jobs a second.
LeasedEntryResult playSingleEntry(double processorShare, double jobsPerSecond)
{
    LeasedOptions options = fleet(1, 23, jobsPerSecond, 0.7 * jobsPerSecond / 185);
    options.entries = 1;
    options.processor.share = processorShare;
    const LeasedResult result = LeasedFleet(options).run();
    REQUIRE(result.violations.empty());
    return result.entries.front();
}

}

// Guards against the collapse of the entry with most callers while the others and the workers have time and room to
// spare.
TEST_CASE("an entry with a quarter of the load serves its callers like the others", "[Scheduling][fleet]")
{
    const LeasedResult unlimited = playUnevenCallers(wholeCore);
    REQUIRE(spreadOfValue(unlimited) <= 0.05);
    REQUIRE(usedShare(unlimited.entries.front()) <= 0.9 * entryShare);
    const LeasedResult result = playUnevenCallers(entryShare);
    std::ostringstream text;
    for (const LeasedEntryResult& entry : result.entries)
        text << entry.submitted << " jobs, " << entry.inTime << " in time, " << entry.value.share()
             << " of the value owed, " << usedShare(entry) << " of a core\n";
    INFO(text.str());
    CHECK(spreadOfValue(result) <= 0.05);
}

// Guards against an entry that serves fewer jobs the more it is offered.
TEST_CASE("goodput stays flat up to three times an entry's saturation", "[Scheduling][fleet]")
{
    const LeasedEntryResult moderate = playSingleEntry(wholeCore, 100);
    const double saturation = entryShare * static_cast<double>(moderate.submitted) / moderate.processorSeconds;
    std::map<double, double> goodputs;
    double peak = 0;
    std::ostringstream text;
    for (const double factor : { 0.75, 1.0, 1.5, 2.0, 3.0 }) {
        const LeasedEntryResult result = playSingleEntry(entryShare, factor * saturation);
        goodputs[factor] = static_cast<double>(result.inTime) / durationSeconds;
        peak = std::max(peak, goodputs[factor]);
        text << factor << " times saturation: " << static_cast<double>(result.submitted) / durationSeconds
             << " jobs/s, " << goodputs[factor] << " in time, " << usedShare(result) << " of a core\n";
    }
    INFO(text.str());
    CHECK(goodputs[1.5] >= 0.9 * peak);
    CHECK(goodputs[2] >= 0.9 * peak);
    CHECK(goodputs[3] >= 0.9 * peak);
}
