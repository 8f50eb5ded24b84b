#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Dispatch/RunTimeEstimator.h"
#include "celeryswitch/Messages/Submission.h"
#include <optional>
#include <vector>

namespace celeryswitch::Dispatch {

/// Answer of admission: accepted, or refused as not run with the reason and an estimate of when to retry.
struct AdmissionVerdict {
    bool isAccepted = true;
    Messages::TaskReason reason = Messages::TaskReason::None;
    /// Zero when a retry can never succeed.
    Core::Duration retryAfter {};
};

/// What a job asks for and what stands in its way.
struct AdmissionRequest {
    KindIndex kind = 0;
    std::uint32_t taskCount = 0;
    std::optional<Core::SteadyTime> deadline;
    /// Memory of one task as declared, and of the largest worker; zero means unknown.
    std::int64_t declaredMemoryBytes = 0;
    std::int64_t largestMemoryBytes = 0;
    /// Whether any sidecar offers the service.
    bool isServed = false;
    /// Tasks waiting for the service, and those of the kind.
    std::uint32_t waiting = 0;
    std::uint32_t waitingOfKind = 0;
    /// Bound of `waiting`.
    std::uint32_t waitingLimit = 0;
    /// Guaranteed part of slots and queue of the kind, 0 to 1.
    double share = 1;
    /// Slots of the service that this entry can count on.
    double slots = 0;
    Core::Duration expectedRun {};
};

/// Judges new jobs: bounded queues, deadlines that can't be met, jobs that can never run.
class AdmissionControl {
public:
    /// Counts started tasks of a kind, for forecasts of waiting.
    void startsMade(Core::SteadyTime now, KindIndex kind, std::uint32_t tasks);
    /// Judges a job.
    AdmissionVerdict judge(Core::SteadyTime now, const AdmissionRequest& request) const;
    /// Expected time until `tasks` tasks of a kind have started.
    Core::Duration expectedWait(Core::SteadyTime now, const AdmissionRequest& request, std::uint32_t tasks) const;

private:
    struct Rate {
        double tasksPerSecond = 0;
        Core::SteadyTime updatedAt {};
    };
    double rateOf(Core::SteadyTime now, KindIndex kind) const;

    std::vector<Rate> rates;
};

}
