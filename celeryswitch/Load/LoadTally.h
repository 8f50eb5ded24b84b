#pragma once

#include "celeryswitch/Load/LoadSettings.h"
#include "celeryswitch/Report/ReportSums.h"
#include <map>
#include <string>
#include <vector>

namespace celeryswitch::Load {

/// What became of one submitted task.
struct TaskRecord {
    /// "job id/task index", as in the journals of the fake endpoints.
    std::string task;
    Messages::TaskOutcome outcome = Messages::TaskOutcome::Unconfirmed;
};

/// Measurements of one kind of work.
struct KindTally {
    std::uint64_t jobs = 0;
    std::uint64_t submittedTasks = 0;
    Report::OutcomeCounts outcomes;
    /// Response time divided by the ideal one, a value a complete job.
    std::vector<double> ratios;
    /// Response times in milliseconds, a value a complete job.
    std::vector<double> responses;
};

/// Everything that a thread of the load tool counts.
struct LoadTally {
    /// One entry a kind of the workload.
    std::vector<KindTally> kinds;
    /// Tasks that did not succeed, by reason.
    std::map<std::string, std::uint64_t> reasons;
    std::vector<TaskRecord> tasks;
    /// Submissions sent again with the same key after a lost connection.
    std::uint64_t resubmissions = 0;
    /// Jobs that got no final answer in time.
    std::uint64_t unanswered = 0;
    /// Answers that belong to another request, by description.
    std::vector<std::string> wrongAnswers;
    /// Answers that are partial or malformed, by description.
    std::vector<std::string> brokenAnswers;

    /// Adds another thread's counts.
    void add(LoadTally other);
};

/// Value at a quantile, 0 to 1, of unordered values; 0 when there are none.
double quantileOf(std::vector<double> values, double quantile);

}
