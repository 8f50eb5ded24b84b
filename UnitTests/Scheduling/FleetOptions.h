#pragma once

#include "celeryswitch/Experiment/LeasedFleet.h"
#include <cstdlib>
#include <string>
#include <vector>

namespace celeryswitch::Experiment {

/// Three kinds of jobs with arrival rates in proportion to `load`.
inline LeasedOptions threeKinds(std::uint64_t seed, double load)
{
    LeasedOptions options;
    options.seed = seed;
    options.duration = std::chrono::seconds(12);
    options.kinds = { { "preview", 34 * load, 0.06, 0.4, 8, 3100, 3, 0.002 },
        { "quote", 6.25 * load, 0.9, 0.4, 4, 3100, 3, 0.002 }, { "check", 100 * load, 0.2, 0.4, 2, 3100, 2, 0.002 } };
    options.workerMilliCores = 36'000;
    return options;
}

inline std::string joinLines(const std::vector<std::string>& lines)
{
    std::string text;
    for (const std::string& line : lines)
        text += line + "\n";
    return text;
}

/// Seeds that a case plays: CELERYSWITCH_FLEETS, 12 by default.
inline std::uint64_t seedCount()
{
    const char* value = std::getenv("CELERYSWITCH_FLEETS");
    return value ? std::strtoull(value, nullptr, 10) : 12;
}

}
