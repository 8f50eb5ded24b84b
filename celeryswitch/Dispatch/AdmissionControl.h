#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Dispatch/RunTimeEstimator.h"
#include "celeryswitch/Messages/Submission.h"
#include <optional>
#include <vector>

namespace celeryswitch::Dispatch {

/// Result of admission: accepted, or refused as not run, with the reason and the time to wait before a retry.
struct AdmissionResult {
    bool isAccepted = true;
    Messages::TaskReason reason = Messages::TaskReason::None;
    /// Zero if a retry can never succeed.
    Core::Duration retryAfter {};
};

/// Requirements of a job and the current load of its service.
struct AdmissionRequest {
    KindIndex kind = 0;
    std::uint32_t taskCount = 0;
    std::optional<Core::SteadyTime> deadline;
    /// Declared memory of one task and memory of the largest worker; zero if unknown.
    std::int64_t declaredMemoryBytes = 0;
    std::int64_t largestWorkerMemoryBytes = 0;
    /// Whether any connected sidecar offers the service.
    bool hasSidecar = false;
    /// Waiting tasks of the service, and of the kind.
    std::uint32_t waiting = 0;
    std::uint32_t waitingOfKind = 0;
    /// Upper limit of `waiting`.
    std::uint32_t waitingTasksLimit = 0;
    /// Guaranteed fraction of the kind in slots and queue, 0 to 1.
    double share = 1;
    /// Idle and busy slots of the service that this entry holds.
    double slots = 0;
    Core::Duration expectedRun {};
};

/// Accepts or refuses new jobs by queue length, deadline and resource requirements.
class AdmissionControl {
public:
    /// Adds started tasks of a kind to its start rate, from which waiting times are estimated.
    void tasksStarted(Core::SteadyTime now, KindIndex kind, std::uint32_t tasks);
    AdmissionResult evaluate(Core::SteadyTime now, const AdmissionRequest& request) const;
    /// Expected time until `tasks` tasks of a kind have started.
    Core::Duration expectedWait(Core::SteadyTime now, const AdmissionRequest& request, std::uint32_t tasks) const;

private:
    struct Rate {
        double tasksPerSecond = 0;
        Core::SteadyTime updatedAt {};
    };
    double startRate(Core::SteadyTime now, KindIndex kind) const;

    std::vector<Rate> rates;
};

}
