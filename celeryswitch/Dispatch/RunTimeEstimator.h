#pragma once

#include "celeryswitch/Core/Clock.h"
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace celeryswitch::Dispatch {

/// Index of a (service, kind) pair, assigned by `RunTimeEstimator::indexOf`; dense and stable.
using KindIndex = std::uint32_t;

/// Expected run time of a task.
struct RunTimeEstimate {
    Core::Duration mean {};
    /// 95th percentile.
    Core::Duration p95 {};
    /// False while the values come from the declaration or the default.
    bool isMeasured = false;
};

/// Estimates run times by service and kind from results. Declarations are inaccurate and used only until enough results
/// have arrived.
class RunTimeEstimator {
public:
    RunTimeEstimator();
    ~RunTimeEstimator();
    RunTimeEstimator(const RunTimeEstimator&) = delete;
    RunTimeEstimator& operator=(const RunTimeEstimator&) = delete;

    /// Index of a kind, assigned on first use.
    KindIndex indexOf(const std::string& service, const std::string& kind);
    std::size_t kindCount() const;
    /// Records the measured run time of a finished task.
    void record(KindIndex kind, Core::Duration run);
    /// Estimate for a kind; `declared` is used until enough samples exist, zero if not declared.
    RunTimeEstimate estimate(KindIndex kind, Core::Duration declared) const;
    /// Largest 95th percentile of all measured kinds; zero if none is measured.
    Core::Duration longestP95() const;

private:
    struct Kind;
    std::unordered_map<std::string, KindIndex> indexes;
    std::vector<std::unique_ptr<Kind>> kinds;
};

}
