#pragma once

#include "celeryswitch/Load/Workload.h"
#include <string>
#include <vector>

namespace celeryswitch::Load {

/// Settings of a run of the load tool.
struct LoadSettings {
    Workload workload;
    /// Phases to run, in order.
    std::vector<PhaseDescription> phases;
    /// HTTP addresses of the entries.
    std::vector<std::string> entries;
    /// Journals of the fake endpoints, whose starts are compared with the answers; may be empty.
    std::vector<std::string> journals;
    /// Bearer token; empty sends none.
    std::string token;
    /// Slots of the fleet; scales the arrivals.
    std::uint32_t slots = 8;
    std::uint32_t threads = 2;
    /// Callers, spread over the teams and the entries.
    std::uint32_t callers = 32;
    std::uint32_t teams = 4;
    /// Deadline that every submission names; zero means none.
    Core::Duration deadline {};
    /// Time after which a job without an answer is given up and counted as unconfirmed.
    Core::Duration patience = std::chrono::seconds(60);
    std::uint64_t seed = 1;
};

}
