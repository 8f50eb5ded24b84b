#include "celeryswitch/Entry/JobRunner.h"

#include "celeryswitch/Core/Assert.h"
#include <algorithm>
#include <set>

namespace celeryswitch::Entry {

using Messages::TaskOutcome;
using Messages::TaskReason;
using Messages::TaskResult;

JobRunner::JobRunner(EntryContext& context, Dispatch::Dispatcher& dispatcher, Ownership::JobTable& jobTable,
    Ownership::PartitionLeases& leases, SidecarLinks& sidecarLinks, ReportSender& reportSender,
    FinishHandler onFinished)
    : context(context)
    , dispatcher(dispatcher)
    , jobTable(jobTable)
    , leases(leases)
    , sidecarLinks(sidecarLinks)
    , reportSender(reportSender)
    , onFinished(std::move(onFinished))
{
}

Dispatch::AdmissionResult JobRunner::submit(const Core::JobId& jobId, Core::PartitionId partition,
    const Ownership::Fingerprint& fingerprint, Messages::Submission submission)
{
    const auto taskCount = static_cast<std::uint32_t>(submission.tasks.size());
    Job job { partition, submission.createdAt, submission.service, submission.kind, submission.team };
    if (submission.deadlineMilliseconds > 0)
        job.deadline = addDuration(this->context.now, std::chrono::milliseconds(submission.deadlineMilliseconds));
    job.isIdempotent = submission.isIdempotent;
    const Dispatch::AdmissionResult verdict = this->dispatcher.submit(this->context.now,
        { jobId, job.service, job.kind, job.team, submission.urgency, taskCount, job.deadline,
            std::chrono::milliseconds(submission.declaredRunMilliseconds), submission.declaredMemoryBytes,
            job.isIdempotent });
    if (!verdict.isAccepted)
        return verdict;
    Ownership::JobEntry entry { jobId, partition, fingerprint, submission.createdAt, taskCount };
    job.unsettledCount = taskCount;
    job.tasks.resize(taskCount);
    job.results.resize(taskCount);
    for (Messages::TaskRequest& task : submission.tasks) {
        entry.taskIds.push_back(std::move(task.taskId));
        job.payloads.push_back(std::move(task.payload));
    }
    this->jobTable.add(std::move(entry));
    this->jobs.insert_or_assign(jobId, std::move(job));
    return verdict;
}

void JobRunner::cancel(const Core::JobId& jobId)
{
    const auto found = this->jobs.find(jobId);
    if (found == this->jobs.end() || found->second.isCancelled)
        return;
    Job& job = found->second;
    job.isCancelled = true;
    if (!job.isRebuilt) {
        for (const std::uint32_t index : this->dispatcher.cancelJob(this->context.now, jobId))
            this->settle({ jobId, index }, job, { index, TaskOutcome::NeverStarted, TaskReason::Cancelled });
    }
    std::set<std::uint32_t> sidecarsWithTasks;
    for (const Task& task : job.tasks) {
        if (task.state == TaskState::Sent)
            sidecarsWithTasks.insert(task.sidecarIndex);
    }
    for (const auto& [sidecarId, sidecarIndex] : this->sidecarIndexes) {
        const ConnectionId connectionId
            = sidecarsWithTasks.contains(sidecarIndex) ? this->sidecarLinks.connectionOf(sidecarId) : 0;
        if (connectionId != 0)
            this->context.send(connectionId, Messages::RevokeTasks { jobId, {} });
    }
    this->finishIfSettled(jobId);
}

void JobRunner::resultsReceived(const Core::InstanceId& sidecarId, const Messages::TaskResults& message)
{
    this->sidecarLinks.clockSampleReceived(sidecarId, message.clockSample);
    if (message.creditsReturned > 0)
        this->dispatcher.creditsGranted(this->context.now, sidecarId, message.creditsReturned);
    const auto found = this->jobs.find(message.jobId);
    if (found == this->jobs.end()) {
        this->context.counters.lateResults += message.results.size();
        return;
    }
    const std::uint32_t sidecarIndex = this->indexOfSidecar(sidecarId);
    for (const TaskResult& result : message.results)
        this->handleTaskResult(sidecarId, sidecarIndex, message.jobId, found->second, result);
    this->finishIfSettled(message.jobId);
}

void JobRunner::handleTaskResult(const Core::InstanceId& sidecarId, std::uint32_t sidecarIndex,
    const Core::JobId& jobId, Job& job, const TaskResult& result)
{
    const bool isAwaited = result.taskIndex < job.tasks.size() && job.tasks[result.taskIndex].state == TaskState::Sent
        && job.tasks[result.taskIndex].sidecarIndex == sidecarIndex;
    if (!isAwaited) {
        ++this->context.counters.lateResults;
        return;
    }
    const Core::TaskKey key { jobId, result.taskIndex };
    if (result.outcome == TaskOutcome::NeverStarted && result.reason == TaskReason::AlreadyRecorded) {
        // The sidecar accepted an earlier start of this task, so it may have run. Request the sidecar's records to find
        // its outcome.
        const Messages::PartitionOwner* owner = this->leases.owner(job.partition);
        if (owner)
            this->context.send(
                this->sidecarLinks.connectionOf(sidecarId), Messages::RecoverPartition { job.partition, owner->epoch });
        return;
    }
    if (result.outcome == TaskOutcome::NeverStarted) {
        ++this->context.counters.startsRejected;
        this->handleTaskNotRun(sidecarId, key, job, result.reason);
        return;
    }
    this->removeFromSidecar(key, job);
    if (!job.isRebuilt)
        this->dispatcher.taskFinished(this->context.now, sidecarId, jobId, result);
    this->settle(key, job, result);
}

void JobRunner::handleTaskNotRun(
    const Core::InstanceId& sidecarId, const Core::TaskKey& key, Job& job, TaskReason reason)
{
    this->removeFromSidecar(key, job);
    const TaskReason cause = job.isCancelled ? TaskReason::Cancelled : reason;
    if (!job.isRebuilt && this->dispatcher.taskNotRun(this->context.now, sidecarId, key, cause)) {
        job.tasks[key.taskIndex].state = TaskState::Queued;
        return;
    }
    this->settle(key, job, { key.taskIndex, TaskOutcome::NeverStarted, cause });
}

void JobRunner::markUnconfirmed(
    const Core::InstanceId& sidecarId, const Core::TaskKey& key, Job& job, TaskReason reason)
{
    const TaskResult result { key.taskIndex, TaskOutcome::Unconfirmed, reason };
    this->removeFromSidecar(key, job);
    if (!job.isRebuilt)
        this->dispatcher.taskFinished(this->context.now, sidecarId, key.jobId, result);
    this->settle(key, job, result);
}

void JobRunner::reconcile(const Core::InstanceId& sidecarId, ConnectionId connectionId, Core::PartitionId partition,
    const std::vector<Messages::FenceRecord>& records)
{
    const std::uint32_t sidecarIndex = this->indexOfSidecar(sidecarId);
    std::unordered_map<Core::TaskKey, const Messages::FenceRecord*> known;
    for (const Messages::FenceRecord& record : records)
        known[record.task] = &record;
    std::vector<Core::TaskKey> sent;
    for (const auto& [key, taskPartition] : this->tasksBySidecar[sidecarIndex]) {
        if (taskPartition == partition)
            sent.push_back(key);
    }
    std::sort(sent.begin(), sent.end());
    for (const Core::TaskKey& key : sent) {
        Job& job = this->jobs.at(key.jobId);
        const auto record = known.find(key);
        if (record != known.end() && record->second->state == Messages::FenceState::Finished)
            this->handleTaskResult(sidecarId, sidecarIndex, key.jobId, job, record->second->result);
        else if (record != known.end())
            job.tasks[key.taskIndex].sentOnConnection = connectionId;
        else if (job.tasks[key.taskIndex].sentOnConnection == connectionId)
            continue;
        else if (Ownership::JobTable::isExpired(job.createdAt, this->context.wallMilliseconds))
            // The sidecar may have dropped its record of the task at the end of the key retention.
            this->markUnconfirmed(sidecarId, key, job, TaskReason::SidecarLost);
        else
            this->handleTaskNotRun(sidecarId, key, job, TaskReason::SidecarLost);
        this->finishIfSettled(key.jobId);
    }
}

void JobRunner::sidecarLost(const Core::InstanceId& sidecarId)
{
    const std::uint32_t sidecarIndex = this->indexOfSidecar(sidecarId);
    std::vector<Core::TaskKey> sent;
    for (const auto& [key, partition] : this->tasksBySidecar[sidecarIndex])
        sent.push_back(key);
    std::sort(sent.begin(), sent.end());
    for (const Core::TaskKey& key : sent) {
        this->markUnconfirmed(sidecarId, key, this->jobs.at(key.jobId), TaskReason::SidecarLost);
        this->finishIfSettled(key.jobId);
    }
}

void JobRunner::executeDecisions()
{
    for (const Dispatch::Decision& decision : this->dispatcher.poll(this->context.now)) {
        if (const auto* startDecision = std::get_if<Dispatch::StartDecision>(&decision)) {
            this->sendStart(*startDecision);
        } else if (const auto* creditReturn = std::get_if<Dispatch::CreditReturnDecision>(&decision)) {
            const ConnectionId connectionId = this->sidecarLinks.connectionOf(creditReturn->sidecarId);
            if (connectionId != 0)
                this->context.send(
                    connectionId, Messages::CreditReturn { creditReturn->credits, creditReturn->backlog });
        } else {
            const auto& refusal = std::get<Dispatch::RefuseDecision>(decision);
            const auto found = this->jobs.find(refusal.task.jobId);
            if (found == this->jobs.end())
                continue;
            this->settle(
                refusal.task, found->second, { refusal.task.taskIndex, TaskOutcome::NeverStarted, refusal.reason });
            this->finishIfSettled(refusal.task.jobId);
        }
    }
}

void JobRunner::sendStart(const Dispatch::StartDecision& decision)
{
    const auto found = this->jobs.find(decision.jobId);
    CELERY_ASSERT(found != this->jobs.end());
    Job& job = found->second;
    const std::optional<SidecarLinks::StartTarget> target = this->sidecarLinks.startTarget(decision.sidecarId);
    const bool isLeaseValid = !this->context.settings.isLeaseCheckEnabled
        || this->leases.standing(job.partition, this->context.now) == Ownership::PartitionLeases::Standing::Valid;
    const Messages::PartitionOwner* owner = this->leases.owner(job.partition);
    // Sidecars drop their records at the end of the key retention, so a later start could run a task twice.
    const bool isExpired = Ownership::JobTable::isExpired(job.createdAt, this->context.wallMilliseconds);
    if (!target || !isLeaseValid || !owner || isExpired) {
        this->handleUnsentStart(decision, job,
            isExpired           ? TaskReason::DeadlinePassed
                : !isLeaseValid ? TaskReason::LeaseLost
                                : TaskReason::NoCredit);
        return;
    }
    Messages::StartTasks message { job.partition, owner->epoch, target->clockEcho, target->incarnation, decision.jobId,
        job.team, job.kind, static_cast<std::uint32_t>(job.tasks.size()), job.createdAt, job.isIdempotent,
        decision.credits, decision.backlog };
    std::int64_t deadlineMicroseconds = 0;
    if (job.deadline)
        deadlineMicroseconds = std::max<std::int64_t>(
            1, std::chrono::duration_cast<std::chrono::microseconds>(*job.deadline - this->context.now).count());
    const std::uint32_t sidecarIndex = this->indexOfSidecar(decision.sidecarId);
    message.tasks.reserve(decision.taskIndexes.size());
    for (const std::uint32_t index : decision.taskIndexes) {
        CELERY_ASSERT(job.tasks[index].state == TaskState::Queued);
        message.tasks.push_back({ index, job.payloads[index], deadlineMicroseconds });
        job.tasks[index] = { TaskState::Sent, sidecarIndex, target->connectionId };
        this->tasksBySidecar[sidecarIndex].emplace(Core::TaskKey { decision.jobId, index }, job.partition);
    }
    this->context.counters.tasksStarted += message.tasks.size();
    this->context.send(target->connectionId, std::move(message));
}

void JobRunner::handleUnsentStart(const Dispatch::StartDecision& decision, Job& job, TaskReason reason)
{
    this->dispatcher.creditsGranted(this->context.now, decision.sidecarId, decision.credits);
    const bool isFinal = reason == TaskReason::DeadlinePassed;
    for (const std::uint32_t index : decision.taskIndexes) {
        const Core::TaskKey key { decision.jobId, index };
        if (!this->dispatcher.taskNotRun(
                this->context.now, decision.sidecarId, key, isFinal ? TaskReason::Cancelled : reason))
            this->settle(key, job, { index, TaskOutcome::NeverStarted, reason });
    }
    this->finishIfSettled(decision.jobId);
}

std::uint32_t JobRunner::indexOfSidecar(const Core::InstanceId& sidecarId)
{
    const auto [position, isNew]
        = this->sidecarIndexes.try_emplace(sidecarId, static_cast<std::uint32_t>(this->tasksBySidecar.size()));
    if (isNew)
        this->tasksBySidecar.emplace_back();
    return position->second;
}

void JobRunner::removeFromSidecar(const Core::TaskKey& key, Job& job)
{
    this->tasksBySidecar[job.tasks[key.taskIndex].sidecarIndex].erase(key);
}

void JobRunner::settle(const Core::TaskKey& key, Job& job, TaskResult result)
{
    Task& task = job.tasks[key.taskIndex];
    CELERY_ASSERT(task.state != TaskState::Settled);
    task.state = TaskState::Settled;
    this->countOutcome(result.outcome);
    job.results[key.taskIndex] = std::move(result);
    --job.unsettledCount;
}

void JobRunner::countOutcome(TaskOutcome outcome)
{
    EntryCounters& counters = this->context.counters;
    switch (outcome) {
    case TaskOutcome::Succeeded:
        ++counters.tasksSucceeded;
        break;
    case TaskOutcome::Failed:
        ++counters.tasksFailed;
        break;
    case TaskOutcome::Unconfirmed:
        ++counters.tasksUnconfirmed;
        break;
    case TaskOutcome::NeverStarted:
        ++counters.tasksNeverStarted;
        break;
    }
}

void JobRunner::finishIfSettled(const Core::JobId& jobId)
{
    const auto found = this->jobs.find(jobId);
    if (found == this->jobs.end() || found->second.unsettledCount != 0)
        return;
    Job job = std::move(found->second);
    this->jobs.erase(found);
    if (job.isReportedHere)
        this->reportSender.add(job.service, job.kind, job.team, job.results);
    this->jobTable.finish(jobId, std::move(job.results));
    const bool isComplete = this->jobTable.find(jobId)->state == Messages::JobState::Complete;
    ++(isComplete ? this->context.counters.jobsComplete : this->context.counters.jobsFailed);
    this->onFinished(jobId);
}

}
