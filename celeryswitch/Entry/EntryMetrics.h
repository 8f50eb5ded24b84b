#pragma once

#include "celeryswitch/Entry/EntryCore.h"
#include <string>

namespace celeryswitch::Entry {

/// Formats an entry's state in the Prometheus text exposition format.
std::string metricsText(const EntrySnapshot& snapshot);

}
