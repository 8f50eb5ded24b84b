#pragma once

#include "celeryswitch/Logging/StructuredLog.h"
#include <chrono>

namespace celeryswitch::Program {

/// Logs the times for which a process did not run: it was frozen or starved, or its machine was suspended.
class StallWatch {
public:
    /// `log` must outlive the watch.
    explicit StallWatch(Logging::StructuredLog& log);

    /// Called at short intervals; logs a stall if the last call is longer ago than `stallThreshold`.
    void check();

private:
    /// Clocks that count, and that don't count, the time for which the machine was suspended.
    struct Reading {
        std::chrono::nanoseconds withSuspension {};
        std::chrono::nanoseconds withoutSuspension {};
    };
    static Reading read();

    static constexpr std::chrono::milliseconds stallThreshold { 500 };

    Logging::StructuredLog& log;
    Reading last;
};

}
