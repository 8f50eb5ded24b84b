#pragma once

#include "celeryswitch/Load/Workload.h"
#include <memory>
#include <optional>
#include <vector>

namespace celeryswitch::Load {

/// A job that the load tool will submit.
struct PlannedJob {
    /// Time from the start of the run.
    Core::Duration at {};
    /// Index into the workload's kinds.
    std::size_t kind = 0;
    /// Run time of each task, in whole milliseconds.
    std::vector<std::uint32_t> serviceMilliseconds;
};

/// Draws Poisson arrivals of a workload's phases; the same seed gives the same jobs.
class LoadGenerator {
public:
    /// `slots` are those of the fleet, in place of the workload's own; `part` is the part of all arrivals, 0 to 1, that
    /// this generator draws. The workload outlives the generator.
    LoadGenerator(
        const Workload& workload, std::vector<PhaseDescription> phases, double slots, double part, std::uint64_t seed);
    ~LoadGenerator();

    /// The next job, or nothing after the last phase.
    std::optional<PlannedJob> next();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

}
