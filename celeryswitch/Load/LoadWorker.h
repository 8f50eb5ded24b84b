#pragma once

#include "celeryswitch/Load/LoadTally.h"
#include <atomic>
#include <cstdint>
#include <memory>

namespace celeryswitch::Load {

/// One thread's part of the load: submits jobs at their planned times whatever the answers do, and checks each answer.
class LoadWorker {
public:
    /// `settings` and `stop` outlive the worker. `index` counts the threads from 0; a true `stop` ends the submissions.
    LoadWorker(const LoadSettings& settings, std::uint32_t index, const std::atomic<bool>& stop);
    ~LoadWorker();

    /// Runs until every job has ended or is given up.
    LoadTally run();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

}
