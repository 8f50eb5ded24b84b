#pragma once

#include "celeryswitch/Load/LoadTally.h"
#include "celeryswitch/Report/Table.h"
#include <atomic>
#include <string>
#include <vector>

namespace celeryswitch::Load {

/// A property that every answer has to have.
struct LoadCheck {
    std::string name;
    bool isPassed = false;
    /// Figures, or the first faults.
    std::string detail;
};

/// What a run measured and whether its checks passed.
struct LoadOutcome {
    LoadTally tally;
    /// Time of the run in seconds.
    double seconds = 0;
    /// Messages between the system's processes and wasted ones, from the entries' metrics; below 0 when no entry
    /// answered.
    double messages = -1;
    double wastedMessages = -1;
    std::vector<LoadCheck> checks;

    /// Whether every check passed.
    bool isPassed() const;
};

/// Runs the load and the checks. A true `stop` ends the submissions early.
LoadOutcome runLoad(const LoadSettings& settings, const std::atomic<bool>& stop);
/// Results by kind.
Report::Table kindTable(const LoadSettings& settings, const LoadOutcome& outcome);
/// The whole outcome for a terminal.
std::string outcomeText(const LoadSettings& settings, const LoadOutcome& outcome);
/// The whole outcome as one JSON object.
std::string outcomeJson(const LoadSettings& settings, const LoadOutcome& outcome);

}
