#pragma once

#include "celeryswitch/Experiment/ExperimentOptions.h"
#include <string>
#include <vector>

namespace celeryswitch::Experiment {

/// A run's options and result.
struct ReportedRun {
    ExperimentOptions options;
    ExperimentResult result;
};

/// Plain-text table with one line per run and, if `showKinds` is set, one line per kind.
std::string toTable(const std::vector<ReportedRun>& runs, bool showKinds);
/// JSON array with one object per run, which includes its kinds.
std::string toJson(const std::vector<ReportedRun>& runs);

}
