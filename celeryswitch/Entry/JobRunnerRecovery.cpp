#include "celeryswitch/Entry/JobRunner.h"

#include <algorithm>
#include <set>

namespace celeryswitch::Entry {

using Messages::TaskOutcome;
using Messages::TaskReason;

void JobRunner::rebuild(Core::PartitionId partition, const std::vector<Ownership::RecoveredTask>& records)
{
    std::set<Core::JobId> touched;
    for (const Ownership::RecoveredTask& found : records) {
        const Messages::FenceRecord& record = found.record;
        const Core::JobId& jobId = record.task.jobId;
        if (!this->table.find(jobId)) {
            this->table.add({ jobId, partition, std::nullopt, record.createdAt, record.jobTaskCount });
            Job job { partition, record.createdAt, this->links.serviceOf(found.sidecarId), record.kind, record.team };
            job.isRebuilt = true;
            job.isReported = false;
            job.unsettled = record.jobTaskCount;
            job.tasks.resize(record.jobTaskCount, { Place::Missing });
            job.results.resize(record.jobTaskCount);
            this->jobs.emplace(jobId, std::move(job));
        }
        const auto position = this->jobs.find(jobId);
        if (position == this->jobs.end() || !position->second.isRebuilt
            || record.task.taskIndex >= position->second.tasks.size())
            continue;
        this->placeRecord(position->second, found);
        touched.insert(jobId);
    }
    for (const Core::JobId& jobId : touched)
        this->finishIfSettled(jobId);
}

void JobRunner::placeRecord(Job& job, const Ownership::RecoveredTask& found)
{
    const Messages::FenceRecord& record = found.record;
    Task& task = job.tasks[record.task.taskIndex];
    // A task that one sidecar gave back may have started at another; it stays missing until all have answered.
    const bool isGivenBack
        = record.state == Messages::FenceState::Finished && record.result.outcome == TaskOutcome::NeverStarted;
    if (task.place != Place::Missing || isGivenBack)
        return;
    if (record.state == Messages::FenceState::Finished) {
        this->settle(record.task, job, record.result);
        return;
    }
    // The earlier owner can't have reported a job that has not ended.
    job.isReported = true;
    const std::uint32_t sidecar = this->sidecarNumber(found.sidecarId);
    task = { Place::AtSidecar, sidecar, this->links.connectionOf(found.sidecarId) };
    this->tasksAt[sidecar].emplace(record.task, job.partition);
}

void JobRunner::settleMissing(const Ownership::PartitionRecovery& recovery, bool isOver)
{
    std::vector<Core::JobId> touched;
    for (auto& [jobId, job] : this->jobs) {
        if (!job.isRebuilt || job.partition != recovery.partition())
            continue;
        const bool isProof = recovery.isAbsenceProof(job.createdAt);
        if (!isProof && !isOver)
            continue;
        for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
            if (job.tasks[index].place != Place::Missing)
                continue;
            job.isReported = true;
            this->settle({ jobId, index }, job,
                { index, isProof ? TaskOutcome::NeverStarted : TaskOutcome::Unconfirmed, TaskReason::OwnerLost });
        }
        touched.push_back(jobId);
    }
    std::sort(touched.begin(), touched.end());
    for (const Core::JobId& jobId : touched)
        this->finishIfSettled(jobId);
}

std::vector<Core::JobId> JobRunner::dropPartition(Core::PartitionId partition)
{
    const std::vector<Core::JobId> dropped = this->table.dropPartition(partition);
    for (const Core::JobId& jobId : dropped) {
        const auto found = this->jobs.find(jobId);
        if (found == this->jobs.end())
            continue;
        Job& job = found->second;
        const bool wasSent
            = std::any_of(job.tasks.begin(), job.tasks.end(), [](const Task& task) { return task.sentOn != 0; });
        if (!job.isRebuilt)
            this->dispatcher.cancelJob(this->context.now, jobId);
        for (const auto& [sidecarId, sidecar] : this->sidecarNumbers) {
            for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
                const Task& task = job.tasks[index];
                if (task.place != Place::AtSidecar || task.sidecar != sidecar)
                    continue;
                this->leaveSidecar({ jobId, index }, job);
                if (!job.isRebuilt)
                    this->dispatcher.taskFinished(this->context.now, sidecarId, jobId,
                        { index, TaskOutcome::Unconfirmed, TaskReason::LeaseLost });
            }
        }
        // The new owner finds jobs with sent tasks at the sidecars and reports them.
        if (!wasSent) {
            for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
                if (job.tasks[index].place != Place::Settled)
                    job.results[index] = { index, TaskOutcome::NeverStarted, TaskReason::LeaseLost };
            }
            this->report.add(job.service, job.kind, job.team, job.results);
        }
        this->jobs.erase(found);
    }
    return dropped;
}

}
