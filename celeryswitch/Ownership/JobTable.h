#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Messages/Submission.h"
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

namespace celeryswitch::Ownership {

/// 128-bit hash of a canonical submission.
struct Fingerprint {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend bool operator==(const Fingerprint&, const Fingerprint&) = default;
};

/// Hash of every field of a submission, the creation time included.
Fingerprint fingerprintOf(const Messages::Submission& submission);

/// A job as its owner remembers it until its key retention ends.
struct JobEntry {
    Core::JobId jobId;
    Core::PartitionId partition = 0;
    /// Missing for a job that was rebuilt from sidecar records.
    std::optional<Fingerprint> fingerprint;
    /// Milliseconds since 1970 by the caller's clock.
    std::int64_t createdAt = 0;
    std::uint32_t taskCount = 0;
    Messages::JobState state = Messages::JobState::Running;
    /// The caller's names of the tasks; empty for a rebuilt job that was not resubmitted.
    std::vector<std::string> taskIds;
    /// Results in task order; set once, when the job ends.
    std::vector<Messages::TaskResult> results;
};

/// How a submission relates to the jobs that are known.
enum class SubmissionVerdict : std::uint8_t {
    /// The key is unknown and young enough to run.
    New,
    /// The same submission is known.
    Known,
    /// Another submission is known under this key.
    KeyReuse,
    /// The key is unknown, and old enough to have been forgotten.
    KeyExpired,
    /// The creation time is ahead of this entry's clock by more than the skew allowance.
    CreatedInFuture,
};

/// Settings of a job table.
struct JobTableSettings {
    /// Tests only: false ignores known keys, so that a resubmission runs again.
    bool isLookupEnabled = true;
};

/// Jobs of the partitions that this entry owns, by job id. Pure.
class JobTable {
public:
    explicit JobTable(JobTableSettings settings = {});

    /// Judges a submission; `wallMilliseconds` is the entry's wall clock.
    SubmissionVerdict judge(const Messages::Submission& submission, const Core::JobId& jobId,
        const Fingerprint& fingerprint, std::int64_t wallMilliseconds) const;
    /// Adds a running job.
    void add(JobEntry entry);
    /// A known job, or null. The pointer is valid until the job is removed.
    const JobEntry* find(const Core::JobId& jobId) const;
    /// Attaches the caller's task names and the fingerprint to a rebuilt job.
    void identify(const Core::JobId& jobId, const Messages::Submission& submission, const Fingerprint& fingerprint);
    /// Ends a running job with one result a task; it is complete when every task has a result from its endpoint. An
    /// ended job never changes.
    void finish(const Core::JobId& jobId, std::vector<Messages::TaskResult> results);
    /// Forgets ended jobs whose retention is over; running ones stay.
    void expire(std::int64_t wallMilliseconds);
    /// Forgets every job of a partition that moved to another owner; returns the ids of those that were running.
    std::vector<Core::JobId> dropPartition(Core::PartitionId partition);
    /// Jobs that have not ended.
    std::size_t runningCount() const { return this->running; }
    /// Jobs that are remembered.
    std::size_t size() const { return this->jobs.size(); }
    /// Bytes of the stored results and task names.
    std::size_t storedBytes() const { return this->bytes; }
    /// Whether a submission created at this time is too old to be run.
    static bool isExpired(std::int64_t createdAt, std::int64_t wallMilliseconds);

private:
    static std::size_t sizeOf(const JobEntry& entry);
    void remove(const Core::JobId& jobId);

    JobTableSettings settings;
    std::unordered_map<Core::JobId, JobEntry> jobs;
    std::multimap<std::int64_t, Core::JobId> byExpiry;
    std::size_t running = 0;
    std::size_t bytes = 0;
};

}
