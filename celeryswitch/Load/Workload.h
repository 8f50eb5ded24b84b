#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Core/Result.h"
#include "celeryswitch/Messages/Submission.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace celeryswitch::Load {

/// Why a workload file can't be used.
enum class WorkloadError : std::uint8_t {
    /// The file can't be opened or read.
    Unreadable,
    /// The file is not TOML.
    Syntax,
    /// At least one key is missing, unknown or out of its range; the detail has one line a problem.
    Invalid,
};

/// How the run times of a kind are spread.
struct RunTimeDistribution {
    /// Bounds of a log-uniform distribution, 0.001 ms to 600 s.
    Core::Duration minimum {};
    Core::Duration maximum {};

    /// Value at a quantile in [0, 1]; `quantile` drawn uniformly gives a sample.
    Core::Duration at(double quantile) const;
    /// Mean of the distribution.
    Core::Duration mean() const;
};

/// A job size and how many jobs have it, relative to the kind's other sizes.
struct JobSize {
    /// 1 to `Messages::maximumTasksPerJob`.
    std::uint32_t tasks = 1;
    double weight = 1;
};

/// One kind of work.
struct KindDescription {
    std::string name;
    /// Relative number of tasks of this kind.
    double weight = 1;
    RunTimeDistribution distribution;
    Messages::Urgency urgency = Messages::Urgency::Normal;
    bool isIdempotent = false;
    /// Value of the configuration key shareWeight, 1 to 1000.
    std::uint32_t shareWeight = 10;
    std::vector<JobSize> jobSizes;

    /// Mean number of tasks in a job.
    double meanJobSize() const;
};

/// A span of time with one load.
struct PhaseDescription {
    std::string name;
    Core::Duration duration {};
    /// Offered work as a percentage of all slots, before a flood is added.
    double loadPercent = 0;
    /// Kind whose arrivals are multiplied by `floodFactor`.
    std::optional<std::string> floodKind;
    double floodFactor = 1;
};

/// The service that the workload runs on.
struct ServiceDescription {
    std::string name;
    std::uint32_t workers = 1;
    std::uint32_t slotsPerWorker = 1;
    std::vector<std::string> dataCentres;
    /// One-way delays.
    Core::Duration crossDataCentreDelay {};
    Core::Duration insideDataCentreDelay {};
    Core::Duration clientDelay {};
};

/// A workload as the experiment and the load tool run it.
struct Workload {
    ServiceDescription service;
    std::vector<KindDescription> kinds;
    std::vector<PhaseDescription> phases;

    /// Mean run time of a task over the mix.
    Core::Duration meanRunTime() const;
    /// Tasks of a kind that arrive in a second at a load, without a flood.
    double tasksPerSecond(const KindDescription& kind, double loadPercent) const;
};

/// Parses a workload; `fileName` is used in errors. An Invalid error names every problem with file, line, key, value
/// and allowed range.
Core::Result<Workload> parseWorkload(std::string_view text, const std::string& fileName);
/// Reads and parses a workload file.
Core::Result<Workload> readWorkload(const std::string& path);

}

namespace celeryswitch::Core {

template <> struct EnumTable<Load::WorkloadError> {
    static constexpr std::string_view type = "WorkloadError";
    static constexpr std::array<std::pair<Load::WorkloadError, std::string_view>, 3> names { {
        { Load::WorkloadError::Unreadable, "Unreadable" },
        { Load::WorkloadError::Syntax, "Syntax" },
        { Load::WorkloadError::Invalid, "Invalid" },
    } };
};

}
