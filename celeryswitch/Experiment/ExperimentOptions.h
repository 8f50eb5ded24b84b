#pragma once

#include "celeryswitch/Core/EnumNames.h"
#include "celeryswitch/Dispatch/FairQueue.h"
#include "celeryswitch/Load/Workload.h"
#include <optional>
#include <string>
#include <vector>

namespace celeryswitch::Experiment {

/// How tasks find their worker.
enum class StrategyKind : std::uint8_t {
    /// Credits for free slots, held by the entries; the product's way.
    SlotCredits,
    /// Two random workers are asked for their load; the task goes to the less loaded one.
    Probes,
    /// The task goes to the worker with the shortest expected wait by the load last reported.
    ExpectedWait,
    /// Reservations wait at two random workers; the first with a free slot fetches the task.
    LateBinding,
};

/// Which of the workload's jobs arrive.
enum class JobMix : std::uint8_t {
    /// Every job has one task.
    Single,
    /// Every job has 200 tasks.
    Batched,
    /// The sizes of the workload file.
    Mixed,
};

/// What goes wrong with some workers, from the end of the warm-up on.
enum class WorkerFault : std::uint8_t {
    None,
    /// Every task fails within a millisecond.
    FailsEverything,
    /// The process is gone; it is known as dead after 3 s.
    Dies,
    /// Tasks take five times as long.
    Straggles,
    /// Tasks never end.
    Stalls,
};

/// One run of the experiment.
struct ExperimentOptions {
    Load::Workload workload;
    StrategyKind strategy = StrategyKind::SlotCredits;
    JobMix mix = JobMix::Single;
    /// Offered work as a percentage of all slots, before a flood is added.
    double loadPercent = 70;
    /// Measured span, after `warmUp`.
    Core::Duration duration = std::chrono::seconds(300);
    Core::Duration warmUp = std::chrono::seconds(30);
    std::uint64_t seed = 1;
    /// Entry instances, 1 to 16, spread over the data centres.
    std::uint32_t entries = 2;
    /// Kind that floods from the end of the warm-up on.
    std::optional<std::string> floodKind;
    double floodFactor = 10;
    WorkerFault fault = WorkerFault::None;
    std::uint32_t faultyWorkers = 0;
    /// Order of waiting tasks in the dispatchers.
    Dispatch::FairQueueSettings queue;
};

/// Figures of one kind of work.
struct KindResult {
    std::string name;
    std::uint64_t arrived = 0;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    /// Response / ideal of completed tasks; in a mixed run, of jobs with fewer than 200 tasks.
    double p50 = 0;
    double p99 = 0;
    /// Response time in milliseconds.
    double responseP99 = 0;
};

/// Figures of one run; quantiles are exact.
struct ExperimentResult {
    std::vector<KindResult> kinds;
    std::uint64_t arrived = 0;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    /// Response / ideal, as in KindResult.
    double p50 = 0;
    double p99 = 0;
    /// Messages a completed task: those that tasks cause, and all with heartbeats.
    double messagesPerTask = 0;
    double messagesWithHeartbeats = 0;
    /// Messages without effect (duplicate, rejected, redirected, late, to a dead process) as a percentage.
    double wastedPercent = 0;
};

/// Runs one experiment; the same options give the same result.
ExperimentResult runExperiment(const ExperimentOptions& options);

}

namespace celeryswitch::Core {

template <> struct EnumTable<Experiment::StrategyKind> {
    static constexpr std::string_view type = "StrategyKind";
    static constexpr std::array<std::pair<Experiment::StrategyKind, std::string_view>, 4> names { {
        { Experiment::StrategyKind::SlotCredits, "slot-credits" },
        { Experiment::StrategyKind::Probes, "probes" },
        { Experiment::StrategyKind::ExpectedWait, "expected-wait" },
        { Experiment::StrategyKind::LateBinding, "late-binding" },
    } };
};

template <> struct EnumTable<Experiment::JobMix> {
    static constexpr std::string_view type = "JobMix";
    static constexpr std::array<std::pair<Experiment::JobMix, std::string_view>, 3> names { {
        { Experiment::JobMix::Single, "single" },
        { Experiment::JobMix::Batched, "batched" },
        { Experiment::JobMix::Mixed, "mixed" },
    } };
};

template <> struct EnumTable<Experiment::WorkerFault> {
    static constexpr std::string_view type = "WorkerFault";
    static constexpr std::array<std::pair<Experiment::WorkerFault, std::string_view>, 5> names { {
        { Experiment::WorkerFault::None, "none" },
        { Experiment::WorkerFault::FailsEverything, "fails-everything" },
        { Experiment::WorkerFault::Dies, "dies" },
        { Experiment::WorkerFault::Straggles, "straggles" },
        { Experiment::WorkerFault::Stalls, "stalls" },
    } };
};

}
