#pragma once

#include "celeryswitch/Entry/EntryCore.h"
#include <string>

namespace celeryswitch::Entry {

/// Text exposition of an entry's state.
std::string metricsText(const EntrySnapshot& snapshot);

}
