#pragma once

namespace celeryswitch::Core {

/// Prints the broken invariant to standard error and stops the process.
[[noreturn]] void invariantFailed(const char* expression, const char* file, int line);

}

/// Stops the process when an invariant is broken; compiled into every build type.
#define CELERY_ASSERT(expression)                                                                                      \
    (static_cast<bool>(expression) ? void(0) : ::celeryswitch::Core::invariantFailed(#expression, __FILE__, __LINE__))
