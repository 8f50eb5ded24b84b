#pragma once

#include "celeryswitch/Scenario/ChildProcess.h"
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace celeryswitch::Scenario {

/// One step of a scenario: an action with its arguments.
struct Step {
    std::string action;
    std::uint32_t line = 0;
    std::map<std::string, std::string, std::less<>> texts;
    std::map<std::string, std::int64_t, std::less<>> integers;

    /// Value of a text argument; empty when it was left out.
    std::string text(std::string_view name) const;
    /// Value of a number argument, or the one given here.
    std::int64_t integer(std::string_view name, std::int64_t builtIn = 0) const;
    /// Time in which the step has to be done: its withinMs, or 20 s.
    Core::Duration within() const { return std::chrono::milliseconds(this->integer("withinMs", 20'000)); }
};

/// Processes of a scenario's fleet.
struct FleetDescription {
    std::uint32_t states = 3;
    std::uint32_t entries = 2;
    std::uint32_t sidecars = 4;
    std::uint32_t slots = 8;
    /// Replicas with settings of their own that a step starts later, to join the group.
    std::uint32_t spareStates = 0;
};

/// A scenario as its file describes it.
struct ScenarioFile {
    std::string name;
    /// Failure that the scenario guards against.
    std::string guardsAgainst;
    FleetDescription fleet;
    std::vector<Step> steps;
};

/// Parses a scenario. The error has one line a problem, each with file, line and key.
Core::Result<ScenarioFile> parseScenario(std::string_view text, const std::string& fileName);
/// Reads and parses a scenario file.
Core::Result<ScenarioFile> readScenario(const std::string& path);

}
