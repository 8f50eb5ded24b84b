#pragma once

#include "celeryswitch/Core/Clock.h"

namespace celeryswitch::Core {

/// Processor time that this process has used.
Duration processorTime();

}
