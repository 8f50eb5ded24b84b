#pragma once

#include "celeryswitch/Http/ReceiveBudget.h"
#include "celeryswitch/Logging/StructuredLog.h"
#include "celeryswitch/Metrics/MetricRegistry.h"
#include <memory>

namespace celeryswitch::Http {

/// The budget of a process, which logs the connections that were closed, in at most one record a second. `log` outlives
/// the budget.
std::shared_ptr<ReceiveBudget> makeBudget(std::size_t limitBytes, Logging::StructuredLog& log);

/// Updates the gauges of a budget.
void collectBudget(const ReceiveBudget& budget, Metrics::MetricRegistry& registry);

}
