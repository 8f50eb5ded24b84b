#pragma once

#include "celeryswitch/Experiment/LeasedFleet.h"

namespace celeryswitch::Experiment {

/// Time after which a process that was killed is started again.
constexpr Core::Duration restartDelay = std::chrono::milliseconds(500);

inline Core::Duration seconds(double value)
{
    return std::chrono::duration_cast<Core::Duration>(std::chrono::duration<double>(value));
}

/// A process that may be down or frozen.
struct LeasedFleetProcess {
    std::uint64_t life = 0;
    bool isUp = false;
    Core::SteadyTime frozenUntil;
    /// When its next step is planned.
    Core::SteadyTime plannedAt = Core::SteadyTime::max();
};

struct LeasedFleet::Entry : LeasedFleetProcess {
    std::unique_ptr<Scheduling::JobScheduler> scheduler;
    /// Job of each request without an answer.
    std::map<Scheduling::RequestNumber, std::uint64_t> requests;
};

struct LeasedFleet::Sidecar : LeasedFleetProcess {
    std::unique_ptr<Workers::RunSupervisor> supervisor;
    std::unique_ptr<LeasedWorkerModel> worker;
    std::uint64_t workerLife = 0;
    std::set<std::uint64_t> calls;
    Core::SteadyTime workerPlannedAt = Core::SteadyTime::max();
    /// How the worker behaves until then: fails, stands still, or is slow.
    enum class Grey { None, Fails, Stalls, Slow } grey = Grey::None;
    Core::SteadyTime greyUntil;
};

struct LeasedFleet::Link {
    std::uint64_t number = 0;
    bool isOpen = false;
    Core::SteadyTime cutUntil;
    Core::SteadyTime heardAt;
};

struct LeasedFleet::Job {
    std::size_t kind = 0;
    Scheduling::JobSpecification specification;
    std::vector<double> taskSeconds;
    bool isFailing = false;
    Core::SteadyTime sentAt;
    Core::Duration patience {};
    std::size_t submissions = 0;
    std::size_t refusals = 0;
    bool isAnswered = false;
    bool isCompleted = false;
    Core::SteadyTime answeredAt;
};

// Runs an action of a process, when it thaws if it is frozen; nothing happens in another life of it.
template <typename Process, typename Action> void LeasedFleet::whenAwake(Process& process, Action action)
{
    if (!process.isUp)
        return;
    if (this->events.now() >= process.frozenUntil) {
        action();
        return;
    }
    this->events.at(process.frozenUntil, [this, &process, life = process.life, action = std::move(action)] {
        if (process.life == life)
            this->whenAwake(process, action);
    });
}

}
