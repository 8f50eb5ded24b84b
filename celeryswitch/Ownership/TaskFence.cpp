#include "celeryswitch/Ownership/TaskFence.h"

#include "celeryswitch/Core/Assert.h"
#include <algorithm>

namespace celeryswitch::Ownership {

using Messages::FenceState;
using Messages::TaskReason;

TaskFence::TaskFence(TaskFenceSettings settings)
    : settings(settings)
{
}

TaskReason TaskFence::check(Core::SteadyTime now, const Messages::StartTasks& start)
{
    if (!this->raise(start.partition, start.epoch) && this->settings.isEpochChecked)
        return TaskReason::StaleEpoch;
    const std::int64_t age = Core::toClockSample(now) - start.clockEcho;
    const auto validity = std::chrono::duration_cast<std::chrono::microseconds>(this->settings.startValidity).count();
    // A sample from the future was not given by this incarnation.
    const bool isEchoValid = start.sidecarIncarnation == this->settings.incarnation && age >= 0 && age <= validity;
    if (!isEchoValid && this->settings.isClockEchoChecked)
        return TaskReason::StaleClockEcho;
    return TaskReason::None;
}

bool TaskFence::accept(Core::WallTime now, const Messages::StartTasks& start, std::uint32_t taskIndex)
{
    CELERY_ASSERT(start.partition < Core::partitionCount);
    const auto [position, isNewJob] = this->jobs.try_emplace(start.jobId);
    JobRecord& job = position->second;
    if (isNewJob) {
        job.partition = start.partition;
        job.taskCount = start.jobTaskCount;
        job.createdAt = start.createdAt;
        job.team = start.team;
        job.kind = start.kind;
        this->jobsOfPartition[start.partition].insert(start.jobId);
        this->expiries.emplace(Core::toUnixMilliseconds(now) + this->settings.keyRetention.count(), start.jobId);
    }
    if (!job.tasks.try_emplace(taskIndex).second)
        return false;
    job.changedAt = Core::toUnixMilliseconds(now);
    ++job.unfinished;
    ++this->tasks;
    return true;
}

void TaskFence::markStarted(const Core::TaskKey& task)
{
    TaskRecord* record = this->find(task);
    CELERY_ASSERT(record && record->state == FenceState::Queued);
    record->state = FenceState::Started;
}

void TaskFence::markFinished(Core::WallTime now, const Core::JobId& jobId, const Messages::TaskResult& result)
{
    TaskRecord* record = this->find({ jobId, result.taskIndex });
    CELERY_ASSERT(record && record->state == FenceState::Started);
    record->state = FenceState::Finished;
    record->result = result;
    JobRecord& job = this->jobs.at(jobId);
    job.changedAt = Core::toUnixMilliseconds(now);
    --job.unfinished;
    if (!result.body.empty()) {
        this->bytes += result.body.size();
        this->bodies.push_back({ jobId, result.taskIndex });
        this->dropBodies();
    }
}

void TaskFence::forget(const Core::TaskKey& task)
{
    const auto job = this->jobs.find(task.jobId);
    if (job == this->jobs.end())
        return;
    const auto record = job->second.tasks.find(task.taskIndex);
    if (record == job->second.tasks.end())
        return;
    CELERY_ASSERT(record->second.state != FenceState::Finished);
    job->second.tasks.erase(record);
    --job->second.unfinished;
    --this->tasks;
}

bool TaskFence::raise(Core::PartitionId partition, Core::Epoch epoch)
{
    if (partition >= Core::partitionCount || epoch < this->epochs[partition])
        return false;
    this->epochs[partition] = epoch;
    return true;
}

Core::Epoch TaskFence::epoch(Core::PartitionId partition) const
{
    return partition < Core::partitionCount ? this->epochs[partition] : 0;
}

std::optional<Messages::FenceRecord> TaskFence::record(const Core::TaskKey& task) const
{
    const auto job = this->jobs.find(task.jobId);
    if (job == this->jobs.end() || !job->second.tasks.contains(task.taskIndex))
        return std::nullopt;
    return this->toMessage(task.jobId, job->second, task.taskIndex);
}

std::vector<Messages::FenceRecord> TaskFence::records(Core::PartitionId partition) const
{
    std::vector<Messages::FenceRecord> found;
    if (partition >= Core::partitionCount)
        return found;
    for (const Core::JobId& jobId : this->jobsOfPartition[partition]) {
        const JobRecord& job = this->jobs.at(jobId);
        for (const auto& entry : job.tasks)
            found.push_back(this->toMessage(jobId, job, entry.first));
    }
    return found;
}

void TaskFence::removeExpired(Core::WallTime now)
{
    const std::int64_t time = Core::toUnixMilliseconds(now);
    const std::int64_t retention = this->settings.keyRetention.count();
    while (!this->expiries.empty() && this->expiries.begin()->first <= time) {
        const Core::JobId jobId = this->expiries.begin()->second;
        this->expiries.erase(this->expiries.begin());
        const auto position = this->jobs.find(jobId);
        JobRecord& job = position->second;
        const std::int64_t expiry = std::max(job.createdAt, job.changedAt) + retention;
        if (job.unfinished != 0 || expiry > time) {
            // An unfinished job is looked at again after one more retention.
            this->expiries.emplace(expiry > time ? expiry : time + retention, jobId);
            continue;
        }
        for (const auto& entry : job.tasks)
            this->bytes -= entry.second.result.body.size();
        this->tasks -= job.tasks.size();
        this->jobsOfPartition[job.partition].erase(jobId);
        this->jobs.erase(position);
    }
    // Bodies of forgotten jobs leave the front of the list here; the others are found missing by dropBodies.
    while (!this->bodies.empty() && !this->find(this->bodies.front()))
        this->bodies.pop_front();
}

TaskFence::TaskRecord* TaskFence::find(const Core::TaskKey& task)
{
    const auto job = this->jobs.find(task.jobId);
    if (job == this->jobs.end())
        return nullptr;
    const auto record = job->second.tasks.find(task.taskIndex);
    return record != job->second.tasks.end() ? &record->second : nullptr;
}

void TaskFence::dropBodies()
{
    while (this->bytes > this->settings.resultBytes) {
        TaskRecord* record = this->find(this->bodies.front());
        if (record && !record->result.body.empty()) {
            this->bytes -= record->result.body.size();
            record->result.body = std::string();
            record->result.outcome = Messages::TaskOutcome::Unconfirmed;
            record->result.reason = TaskReason::AlreadyRecorded;
        }
        this->bodies.pop_front();
    }
}

Messages::FenceRecord TaskFence::toMessage(
    const Core::JobId& jobId, const JobRecord& job, std::uint32_t taskIndex) const
{
    const TaskRecord& record = job.tasks.at(taskIndex);
    return { { jobId, taskIndex }, record.state, job.taskCount, job.createdAt, job.team, job.kind, record.result };
}

}
