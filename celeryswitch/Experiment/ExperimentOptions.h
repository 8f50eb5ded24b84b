#pragma once

#include "celeryswitch/Core/EnumNames.h"
#include "celeryswitch/Dispatch/FairQueue.h"
#include "celeryswitch/Load/Workload.h"
#include <optional>
#include <string>
#include <vector>

namespace celeryswitch::Experiment {

/// Strategy that assigns tasks to workers.
enum class StrategyKind : std::uint8_t {
    /// Entries hold credits for free slots, as the product's dispatcher does.
    SlotCredits,
    /// Two random workers are asked for their load, and the task goes to the less loaded one.
    Probes,
    /// The task goes to the worker with the shortest expected wait by the last reported load.
    ExpectedWait,
    /// Reservations are queued at two random workers; the first one with a free slot fetches the task.
    LateBinding,
};

/// Job sizes of the run.
enum class JobMix : std::uint8_t {
    /// Every job has one task.
    Single,
    /// Every job has 200 tasks.
    Batched,
    /// Job sizes as in the workload file.
    Mixed,
};

/// Fault of some workers from the end of the warm-up on.
enum class WorkerFault : std::uint8_t {
    None,
    /// Every task fails within a millisecond.
    FailsEverything,
    /// The process has crashed, which is detected after 3 s.
    Dies,
    /// Tasks take five times as long.
    Straggles,
    /// Tasks never end.
    Stalls,
};

/// Options of one run.
struct ExperimentOptions {
    Load::Workload workload;
    StrategyKind strategy = StrategyKind::SlotCredits;
    JobMix mix = JobMix::Single;
    /// Offered load as a percentage of all slots, without the flood.
    double loadPercent = 70;
    /// Duration of the measurement, which follows `warmUp`.
    Core::Duration duration = std::chrono::seconds(300);
    Core::Duration warmUp = std::chrono::seconds(30);
    std::uint64_t seed = 1;
    /// Number of entry instances, 1 to 16, distributed over the data centres.
    std::uint32_t entries = 2;
    /// Kind whose arrival rate is multiplied by `floodFactor` from the end of the warm-up on.
    std::optional<std::string> floodKind;
    double floodFactor = 10;
    WorkerFault fault = WorkerFault::None;
    std::uint32_t faultyWorkers = 0;
    /// Ordering of waiting tasks in the dispatchers.
    Dispatch::FairQueueSettings queue;
};

/// Results of one kind of tasks.
struct KindResult {
    std::string name;
    std::uint64_t arrived = 0;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    /// Response time / ideal response time of completed tasks; in a mixed run only of jobs with fewer than 200 tasks.
    double p50 = 0;
    double p99 = 0;
    /// 99th percentile of the response time, in milliseconds.
    double responseP99 = 0;
};

/// Results of one run; quantiles are exact.
struct ExperimentResult {
    std::vector<KindResult> kinds;
    std::uint64_t arrived = 0;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    /// Response time / ideal response time, as in KindResult.
    double p50 = 0;
    double p99 = 0;
    /// Messages per finished task: those caused by tasks, and all including heartbeats.
    double messagesPerTask = 0;
    double messagesWithHeartbeats = 0;
    /// Percentage of messages without effect: duplicate, rejected, redirected, late, or sent to a crashed process.
    double wastedPercent = 0;
};

/// Runs one experiment; equal options give equal results.
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
