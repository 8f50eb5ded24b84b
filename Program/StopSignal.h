#pragma once

#include <chrono>

namespace celeryswitch::Program {

/// Turns SIGINT and SIGTERM into a value that the main thread waits for. Created before any other thread, so that every
/// thread inherits the blocked signals.
class StopSignal {
public:
    StopSignal();

    /// Waits for a signal; false when none came within `span`.
    bool waitFor(std::chrono::milliseconds span) const;
};

}
