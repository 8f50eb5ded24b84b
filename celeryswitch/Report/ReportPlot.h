#pragma once

#include "celeryswitch/Report/ReportSums.h"
#include <map>
#include <string>

namespace celeryswitch::Report {

/// Inline SVG with the colours of the outcomes.
std::string legend();
/// Inline SVG with one stacked column a span of time; at most 60 columns.
std::string minutePlot(const std::map<std::int64_t, OutcomeCounts>& counts);
/// Inline SVG with one stacked bar a name, each as parts of its own total; at most 30 bars, the largest first.
std::string barPlot(const std::map<std::string, OutcomeCounts>& counts);

}
