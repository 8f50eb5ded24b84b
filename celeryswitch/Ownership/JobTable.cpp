#include "celeryswitch/Ownership/JobTable.h"

#include "celeryswitch/Core/Assert.h"
#include "celeryswitch/Ownership/OwnershipTiming.h"
#include <algorithm>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace celeryswitch::Ownership {

namespace {

constexpr std::int64_t milliseconds(Core::Duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

constexpr std::int64_t retentionMilliseconds = milliseconds(keyRetention);
constexpr std::int64_t skewMilliseconds = milliseconds(clockSkewAllowance);

// Hashes fields with a length prefix, so that different submissions never give the same bytes.
class FieldHasher {
public:
    FieldHasher() { XXH3_128bits_reset(&this->state); }
    void add(std::int64_t value) { XXH3_128bits_update(&this->state, &value, sizeof(value)); }
    void add(const std::string& text)
    {
        this->add(static_cast<std::int64_t>(text.size()));
        XXH3_128bits_update(&this->state, text.data(), text.size());
    }
    Fingerprint digest() const
    {
        const XXH128_hash_t hash = XXH3_128bits_digest(&this->state);
        return { hash.high64, hash.low64 };
    }

private:
    XXH3_state_t state;
};

bool hasEndpointResult(const Messages::TaskResult& result)
{
    return (result.outcome == Messages::TaskOutcome::Succeeded || result.outcome == Messages::TaskOutcome::Failed)
        && result.statusCode != 0;
}

}

Fingerprint fingerprintOf(const Messages::Submission& submission)
{
    FieldHasher hasher;
    for (const std::string* text :
        { &submission.team, &submission.caller, &submission.idempotencyKey, &submission.service, &submission.kind })
        hasher.add(*text);
    for (const std::int64_t value : { submission.createdAt, static_cast<std::int64_t>(submission.urgency),
             submission.deadlineMilliseconds, submission.declaredRunMilliseconds, submission.declaredMemoryBytes,
             static_cast<std::int64_t>(submission.isIdempotent), static_cast<std::int64_t>(submission.tasks.size()) })
        hasher.add(value);
    for (const Messages::TaskRequest& task : submission.tasks) {
        hasher.add(task.taskId);
        hasher.add(task.payload);
    }
    return hasher.digest();
}

JobTable::JobTable(JobTableSettings settings)
    : settings(settings)
{
}

bool JobTable::isExpired(std::int64_t createdAt, std::int64_t wallMilliseconds)
{
    return createdAt < wallMilliseconds - retentionMilliseconds + skewMilliseconds;
}

SubmissionVerdict JobTable::judge(const Messages::Submission& submission, const Core::JobId& jobId,
    const Fingerprint& fingerprint, std::int64_t wallMilliseconds) const
{
    const JobEntry* entry = this->settings.isLookupEnabled ? this->find(jobId) : nullptr;
    if (entry) {
        // Sidecar records carry no fingerprint; creation time and task count stand in for it.
        const bool isSame = entry->fingerprint
            ? *entry->fingerprint == fingerprint
            : entry->createdAt == submission.createdAt && entry->taskCount == submission.tasks.size();
        return isSame ? SubmissionVerdict::Known : SubmissionVerdict::KeyReuse;
    }
    if (submission.createdAt > wallMilliseconds + skewMilliseconds)
        return SubmissionVerdict::CreatedInFuture;
    return isExpired(submission.createdAt, wallMilliseconds) ? SubmissionVerdict::KeyExpired : SubmissionVerdict::New;
}

void JobTable::add(JobEntry entry)
{
    if (this->jobs.contains(entry.jobId)) {
        CELERY_ASSERT(!this->settings.isLookupEnabled);
        this->remove(entry.jobId);
    }
    this->bytes += sizeOf(entry);
    ++this->running;
    this->byExpiry.emplace(entry.createdAt + retentionMilliseconds, entry.jobId);
    const Core::JobId jobId = entry.jobId;
    this->jobs.emplace(jobId, std::move(entry));
}

const JobEntry* JobTable::find(const Core::JobId& jobId) const
{
    const auto found = this->jobs.find(jobId);
    return found == this->jobs.end() ? nullptr : &found->second;
}

void JobTable::identify(
    const Core::JobId& jobId, const Messages::Submission& submission, const Fingerprint& fingerprint)
{
    const auto found = this->jobs.find(jobId);
    if (found == this->jobs.end() || found->second.fingerprint)
        return;
    this->bytes -= sizeOf(found->second);
    found->second.fingerprint = fingerprint;
    for (const Messages::TaskRequest& task : submission.tasks)
        found->second.taskIds.push_back(task.taskId);
    this->bytes += sizeOf(found->second);
}

void JobTable::finish(const Core::JobId& jobId, std::vector<Messages::TaskResult> results)
{
    const auto found = this->jobs.find(jobId);
    CELERY_ASSERT(found != this->jobs.end());
    JobEntry& entry = found->second;
    CELERY_ASSERT(entry.state == Messages::JobState::Running && results.size() == entry.taskCount);
    const bool isComplete = std::all_of(results.begin(), results.end(), hasEndpointResult);
    this->bytes -= sizeOf(entry);
    entry.state = isComplete ? Messages::JobState::Complete : Messages::JobState::Failed;
    entry.results = std::move(results);
    this->bytes += sizeOf(entry);
    --this->running;
}

void JobTable::expire(std::int64_t wallMilliseconds)
{
    for (auto position = this->byExpiry.begin();
         position != this->byExpiry.end() && position->first < wallMilliseconds;) {
        const auto found = this->jobs.find(position->second);
        if (found != this->jobs.end() && found->second.state == Messages::JobState::Running) {
            ++position;
            continue;
        }
        if (found != this->jobs.end()) {
            this->bytes -= sizeOf(found->second);
            this->jobs.erase(found);
        }
        position = this->byExpiry.erase(position);
    }
}

std::vector<Core::JobId> JobTable::dropPartition(Core::PartitionId partition)
{
    std::vector<Core::JobId> dropped;
    std::vector<Core::JobId> stopped;
    for (const auto& [jobId, entry] : this->jobs) {
        if (entry.partition != partition)
            continue;
        dropped.push_back(jobId);
        if (entry.state == Messages::JobState::Running)
            stopped.push_back(jobId);
    }
    for (const Core::JobId& jobId : dropped)
        this->remove(jobId);
    std::sort(stopped.begin(), stopped.end());
    return stopped;
}

std::size_t JobTable::sizeOf(const JobEntry& entry)
{
    std::size_t size = sizeof(JobEntry) + entry.results.size() * sizeof(Messages::TaskResult);
    for (const std::string& taskId : entry.taskIds)
        size += sizeof(std::string) + taskId.size();
    for (const Messages::TaskResult& result : entry.results)
        size += result.body.size();
    return size;
}

void JobTable::remove(const Core::JobId& jobId)
{
    const auto found = this->jobs.find(jobId);
    if (found == this->jobs.end())
        return;
    const auto range = this->byExpiry.equal_range(found->second.createdAt + retentionMilliseconds);
    for (auto position = range.first; position != range.second; ++position) {
        if (position->second == jobId) {
            this->byExpiry.erase(position);
            break;
        }
    }
    this->running -= found->second.state == Messages::JobState::Running ? 1 : 0;
    this->bytes -= sizeOf(found->second);
    this->jobs.erase(found);
}

}
