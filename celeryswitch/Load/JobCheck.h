#pragma once

#include "celeryswitch/Load/JobApiClient.h"
#include "celeryswitch/Load/LoadGenerator.h"
#include "celeryswitch/Load/LoadTally.h"

namespace celeryswitch::Load {

/// A job on its way, with what is needed to check its answer.
struct LoadJob {
    std::size_t kind = 0;
    Core::JobId jobId;
    Messages::Submission submission;
    /// Text that each task's result has to give back, in task order.
    std::vector<std::string> echoes;
    /// Time of the job on a fleet of that many slots that has nothing else to do.
    Core::Duration ideal {};
    /// When the job should have been submitted.
    Core::SteadyTime plannedAt;
    std::uint32_t attempts = 0;
    /// Entry that the next request goes to.
    std::size_t entry = 0;
    /// Whether a submission may have reached an entry.
    bool isSubmitted = false;
};

/// Builds the submission of a planned job. `name` is unique in all runs; its tasks' payloads are
/// {"serviceMs":N,"echo":"NAME-INDEX"}.
LoadJob makeJob(const LoadSettings& settings, const PlannedJob& planned, std::uint32_t caller, const std::string& name,
    std::int64_t createdAt);
/// Counts the answer of a job that has ended and notes what is wrong with it.
void countEnded(const LoadJob& job, const Messages::JobAnswer& answer, Core::Duration response, LoadTally& tally);
/// Counts a job whose tasks all have the same outcome for one reason.
void countAll(const LoadJob& job, Messages::TaskOutcome outcome, const std::string& reason, LoadTally& tally);

}
