#include "celeryswitch/Entry/JobRunner.h"

#include <algorithm>
#include <set>

namespace celeryswitch::Entry {

using Messages::TaskOutcome;
using Messages::TaskReason;

void JobRunner::rebuildJobs(Core::PartitionId partition, const std::vector<Ownership::RecoveredTask>& records)
{
    std::set<Core::JobId> affectedJobs;
    for (const Ownership::RecoveredTask& found : records) {
        const Messages::FenceRecord& record = found.record;
        const Core::JobId& jobId = record.task.jobId;
        if (!this->jobTable.find(jobId)) {
            this->jobTable.add({ jobId, partition, std::nullopt, record.createdAt, record.jobTaskCount });
            Job job { partition, record.createdAt, this->sidecarLinks.serviceOf(found.sidecarId), record.kind,
                record.team };
            job.isRebuilt = true;
            job.isReportedHere = false;
            job.unsettledCount = record.jobTaskCount;
            job.tasks.resize(record.jobTaskCount, { TaskState::Missing });
            job.results.resize(record.jobTaskCount);
            this->jobs.emplace(jobId, std::move(job));
        }
        const auto position = this->jobs.find(jobId);
        if (position == this->jobs.end() || !position->second.isRebuilt
            || record.task.taskIndex >= position->second.tasks.size())
            continue;
        this->applyRecord(position->second, found);
        affectedJobs.insert(jobId);
    }
    for (const Core::JobId& jobId : affectedJobs)
        this->finishIfSettled(jobId);
}

void JobRunner::applyRecord(Job& job, const Ownership::RecoveredTask& found)
{
    const Messages::FenceRecord& record = found.record;
    Task& task = job.tasks[record.task.taskIndex];
    // A task returned by one sidecar may have started at another, so it stays missing until all have replied.
    const bool isReturned
        = record.state == Messages::FenceState::Finished && record.result.outcome == TaskOutcome::NeverStarted;
    if (task.state != TaskState::Missing || isReturned)
        return;
    if (record.state == Messages::FenceState::Finished) {
        this->settle(record.task, job, record.result);
        return;
    }
    // The job had not ended, so the previous owner has not reported it.
    job.isReportedHere = true;
    const std::uint32_t sidecarIndex = this->indexOfSidecar(found.sidecarId);
    task = { TaskState::Sent, sidecarIndex, this->sidecarLinks.connectionOf(found.sidecarId) };
    this->tasksBySidecar[sidecarIndex].emplace(record.task, job.partition);
}

void JobRunner::settleMissing(const Ownership::PartitionRecovery& recovery, bool isRecoveryWaitOver)
{
    std::vector<Core::JobId> affectedJobs;
    for (auto& [jobId, job] : this->jobs) {
        if (!job.isRebuilt || job.partition != recovery.partition())
            continue;
        const bool isAbsenceProven = recovery.isAbsenceProof(job.createdAt);
        if (!isAbsenceProven && !isRecoveryWaitOver)
            continue;
        for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
            if (job.tasks[index].state != TaskState::Missing)
                continue;
            job.isReportedHere = true;
            this->settle({ jobId, index }, job,
                { index, isAbsenceProven ? TaskOutcome::NeverStarted : TaskOutcome::Unconfirmed,
                    TaskReason::OwnerLost });
        }
        affectedJobs.push_back(jobId);
    }
    std::sort(affectedJobs.begin(), affectedJobs.end());
    for (const Core::JobId& jobId : affectedJobs)
        this->finishIfSettled(jobId);
}

std::vector<Core::JobId> JobRunner::dropPartition(Core::PartitionId partition)
{
    const std::vector<Core::JobId> dropped = this->jobTable.dropPartition(partition);
    for (const Core::JobId& jobId : dropped) {
        const auto found = this->jobs.find(jobId);
        if (found == this->jobs.end())
            continue;
        Job& job = found->second;
        const bool hasSentTasks = std::any_of(
            job.tasks.begin(), job.tasks.end(), [](const Task& task) { return task.sentOnConnection != 0; });
        if (!job.isRebuilt)
            this->dispatcher.cancelJob(this->context.now, jobId);
        for (const auto& [sidecarId, sidecarIndex] : this->sidecarIndexes) {
            for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
                const Task& task = job.tasks[index];
                if (task.state != TaskState::Sent || task.sidecarIndex != sidecarIndex)
                    continue;
                this->removeFromSidecar({ jobId, index }, job);
                if (!job.isRebuilt)
                    this->dispatcher.taskFinished(this->context.now, sidecarId, jobId,
                        { index, TaskOutcome::Unconfirmed, TaskReason::LeaseLost });
            }
        }
        // If any task was sent, the new owner recovers the job from the sidecars and reports it.
        if (!hasSentTasks) {
            for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
                if (job.tasks[index].state != TaskState::Settled)
                    job.results[index] = { index, TaskOutcome::NeverStarted, TaskReason::LeaseLost };
            }
            this->reportSender.add(job.service, job.kind, job.team, job.results);
        }
        this->jobs.erase(found);
    }
    return dropped;
}

}
