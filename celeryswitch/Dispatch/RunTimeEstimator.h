#pragma once

#include "celeryswitch/Core/Clock.h"
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace celeryswitch::Dispatch {

/// Index of a (service, kind) pair, given by `RunTimeEstimator::indexOf`; small and stable.
using KindIndex = std::uint32_t;

/// What is expected of a task's run time.
struct RunTimeEstimate {
    Core::Duration mean {};
    /// 95 % quantile.
    Core::Duration high {};
    /// False while the values come from the declaration or the default.
    bool isMeasured = false;
};

/// Estimates run times by service and kind from results. Declarations are far off, so they count only until enough
/// results have arrived.
class RunTimeEstimator {
public:
    RunTimeEstimator();
    ~RunTimeEstimator();
    RunTimeEstimator(const RunTimeEstimator&) = delete;
    RunTimeEstimator& operator=(const RunTimeEstimator&) = delete;

    /// Index of a kind; a new one on first use.
    KindIndex indexOf(const std::string& service, const std::string& kind);
    /// Number of kinds seen.
    std::size_t kindCount() const;
    /// Records the measured run time of a finished task.
    void record(KindIndex kind, Core::Duration run);
    /// Estimate for a kind; `declared` is used before enough results are there, zero means not declared.
    RunTimeEstimate estimate(KindIndex kind, Core::Duration declared) const;
    /// Largest 95 % quantile over all measured kinds; zero before any is measured.
    Core::Duration longestHigh() const;

private:
    struct Kind;
    std::unordered_map<std::string, KindIndex> indexes;
    std::vector<std::unique_ptr<Kind>> kinds;
};

}
