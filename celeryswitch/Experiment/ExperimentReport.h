#pragma once

#include "celeryswitch/Experiment/ExperimentOptions.h"
#include <string>
#include <vector>

namespace celeryswitch::Experiment {

/// A run with its options, for printing.
struct ReportedRun {
    ExperimentOptions options;
    ExperimentResult result;
};

/// Table for people: one line a run, with `showKinds` also one line a kind.
std::string toTable(const std::vector<ReportedRun>& runs, bool showKinds);
/// JSON array with one object a run and its kinds.
std::string toJson(const std::vector<ReportedRun>& runs);

}
