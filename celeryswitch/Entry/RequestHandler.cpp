#include "celeryswitch/Entry/RequestHandler.h"

#include "celeryswitch/Entry/JobCodec.h"
#include <algorithm>

namespace celeryswitch::Entry {

using Messages::JobOperation;
using Messages::TaskReason;
using Ownership::PartitionLeases;
using Ownership::SubmissionVerdict;

namespace {

// Maximum wait for a partition's owner and its recovered records; then the request is refused.
constexpr Core::Duration ownerWaitTimeout = std::chrono::seconds(3);
constexpr std::uint32_t defaultRetrySeconds = 1;
// HTTP 421, used between entries only: the receiver does not own the partition, or its lease has expired.
constexpr std::uint16_t statusMisdirected = 421;
constexpr std::uint16_t statusUnavailable = 503;
// After this time, a new submission is created after the takeover and therefore accepted.
constexpr std::uint32_t takeoverRetrySeconds = 10;

Problem makeProblem(std::uint16_t status, std::string type, std::string title, std::string detail, Execution execution)
{
    return { status, std::move(type), std::move(title), std::move(detail), "", execution };
}

}

RequestHandler::RequestHandler(EntryContext& context, Ownership::JobTable& jobTable, PartitionLeases& leases,
    OwnershipClient& ownership, JobRunner& jobRunner, EntryLinks& entryLinks)
    : context(context)
    , jobTable(jobTable)
    , leases(leases)
    , ownership(ownership)
    , jobRunner(jobRunner)
    , entryLinks(entryLinks)
{
}

void RequestHandler::handle(const RequestOrigin& origin, CallerRequest request)
{
    if (request.operation == JobOperation::Submit)
        ++this->context.counters.submissions;
    const Core::PartitionId partition = Core::partitionOf(request.submission.team, request.submission.caller);
    const PartitionLeases::Standing standing = this->context.settings.isLeaseCheckEnabled
        ? this->leases.standing(partition, this->context.now)
        : (this->leases.owner(partition) ? PartitionLeases::Standing::Valid : PartitionLeases::Standing::NotHeld);
    switch (standing) {
    case PartitionLeases::Standing::Valid:
        if (this->ownership.isReady(partition))
            this->handleOwned(origin, std::move(request), partition);
        else
            this->waitForOwner(origin, std::move(request), partition);
        break;
    case PartitionLeases::Standing::Expired:
        this->refuseAsNotOwner(
            origin, request.operation, "The entry's lease of the partition is over until the state replicas renew it");
        break;
    case PartitionLeases::Standing::NotHeld:
        this->handleNotOwned(origin, std::move(request), partition);
        break;
    }
}

void RequestHandler::handleNotOwned(const RequestOrigin& origin, CallerRequest request, Core::PartitionId partition)
{
    if (origin.connectionId != 0) {
        this->refuseAsNotOwner(
            origin, request.operation, "The entry that received the forwarded request does not own its partition");
        return;
    }
    if (this->tryForward(origin, request, partition))
        return;
    if (this->isStopping) {
        this->refuse(origin, request.operation, TaskReason::ShuttingDown, "The entry is stopping", defaultRetrySeconds);
        return;
    }
    this->waitForOwner(origin, std::move(request), partition);
    this->ownership.acquire({ partition });
}

bool RequestHandler::tryForward(const RequestOrigin& origin, const CallerRequest& request, Core::PartitionId partition)
{
    const auto& owners = this->ownership.view().partitions;
    const auto owner = owners.find(partition);
    if (origin.connectionId != 0 || owner == owners.end() || !this->entryLinks.forward(owner->second.owner, request))
        return false;
    this->forwardedRequests[request.requestId]
        = { jobPath(request.submission.team, request.submission.caller, request.submission.idempotencyKey), partition };
    return true;
}

void RequestHandler::refuseAsNotOwner(const RequestOrigin& origin, JobOperation operation, const std::string& detail)
{
    if (origin.connectionId == 0) {
        this->refuse(origin, operation, TaskReason::LeaseLost, detail, defaultRetrySeconds);
        return;
    }
    Problem problem = makeRefusal(TaskReason::LeaseLost, std::chrono::seconds(defaultRetrySeconds), detail);
    problem.status = statusMisdirected;
    if (operation != JobOperation::Submit)
        problem.execution = Execution::MayHaveRun;
    this->answer(origin, problem);
}

void RequestHandler::waitForOwner(const RequestOrigin& origin, CallerRequest request, Core::PartitionId partition)
{
    if (this->awaitingOwner.size() >= this->context.settings.waitingRequestsLimit) {
        this->refuse(origin, request.operation, TaskReason::QueueFull, "Too many requests wait for their partition",
            defaultRetrySeconds);
        return;
    }
    const Core::SteadyTime deadline = addDuration(this->context.now, ownerWaitTimeout);
    this->awaitingOwner.add(partition, { origin, std::move(request), partition, deadline });
}

void RequestHandler::handleOwned(const RequestOrigin& origin, CallerRequest request, Core::PartitionId partition)
{
    if (request.operation == JobOperation::Submit) {
        this->handleSubmission(origin, std::move(request), partition);
        return;
    }
    const Messages::Submission& jobReference = request.submission;
    const Core::JobId jobId = Core::makeJobId(jobReference.team, jobReference.caller, jobReference.idempotencyKey);
    if (this->jobTable.find(jobId) && request.operation == JobOperation::Cancel)
        this->jobRunner.cancel(jobId);
    if (this->jobTable.find(jobId)) {
        this->answerOrWait(origin, request, jobId);
        return;
    }
    const Ownership::PartitionRecovery* recovery = this->ownership.recovery(partition);
    if (recovery && !recovery->isWhole()) {
        this->refuse(origin, request.operation, TaskReason::OwnerLost,
            "The partition's records are not complete after its earlier owner was lost", defaultRetrySeconds);
        return;
    }
    this->answer(origin,
        makeProblem(404, "unknown-job", "No such job", "No job is known under this key", Execution::UnknownJob));
}

void RequestHandler::handleSubmission(const RequestOrigin& origin, CallerRequest request, Core::PartitionId partition)
{
    const Messages::Submission& submission = request.submission;
    const Core::JobId jobId = Core::makeJobId(submission.team, submission.caller, submission.idempotencyKey);
    const Ownership::Fingerprint fingerprint = Ownership::fingerprintOf(submission);
    switch (this->jobTable.judge(submission, jobId, fingerprint, this->context.wallMilliseconds)) {
    case SubmissionVerdict::Known:
        this->jobTable.identify(jobId, submission, fingerprint);
        this->answerOrWait(origin, request, jobId);
        return;
    case SubmissionVerdict::KeyReuse:
        this->answer(origin,
            makeProblem(422, "key-reuse", "The idempotency key belongs to another submission",
                "A different submission is known under this key", Execution::NotRun));
        return;
    case SubmissionVerdict::KeyExpired:
        this->answer(origin,
            makeProblem(410, "key-expired", "The submission is too old",
                "Keys are remembered for 600 s after createdAt; an earlier submission with this key may have run",
                Execution::MayHaveRun));
        return;
    case SubmissionVerdict::CreatedInFuture: {
        Problem problem = makeProblem(400, "created-in-future", "The submission is not valid",
            "createdAt is more than 10 s ahead of the entry's clock", Execution::NotRun);
        problem.field = "createdAt";
        this->answer(origin, problem);
        return;
    }
    case SubmissionVerdict::New:
        this->startJob(origin, std::move(request), partition, jobId, fingerprint);
        return;
    }
}

void RequestHandler::startJob(const RequestOrigin& origin, CallerRequest request, Core::PartitionId partition,
    const Core::JobId& jobId, const Ownership::Fingerprint& fingerprint)
{
    const Ownership::PartitionRecovery* recovery = this->ownership.recovery(partition);
    if (recovery && recovery->isRefused(request.submission.createdAt)) {
        Problem problem = makeProblem(409, "may-have-run", "The submission may have run",
            "An earlier owner of the partition was lost together with sidecar records; a new submission may run",
            Execution::MayHaveRun);
        problem.reason = Core::enumName(TaskReason::OwnerLost);
        problem.retryAfterSeconds = recovery->isWhole() ? 0 : takeoverRetrySeconds;
        this->answer(origin, problem);
        return;
    }
    if (this->isStopping) {
        this->refuse(
            origin, JobOperation::Submit, TaskReason::ShuttingDown, "The entry is stopping", defaultRetrySeconds);
        return;
    }
    if (!this->ownership.isConfigurationFresh()) {
        this->refuse(origin, JobOperation::Submit, TaskReason::ConfigurationStale,
            "The state replicas have not confirmed the configuration lately", defaultRetrySeconds);
        return;
    }
    if (this->jobTable.storedBytes() > this->context.settings.storedBytesLimit
        || this->jobWaiters.size() >= this->context.settings.waitingRequestsLimit) {
        this->refuse(origin, JobOperation::Submit, TaskReason::QueueFull, "The entry remembers too many jobs",
            takeoverRetrySeconds);
        return;
    }
    CallerRequest jobReference { request.requestId, request.operation, request.waitMilliseconds };
    jobReference.submission.team = request.submission.team;
    jobReference.submission.caller = request.submission.caller;
    jobReference.submission.idempotencyKey = request.submission.idempotencyKey;
    const Dispatch::AdmissionResult verdict
        = this->jobRunner.submit(jobId, partition, fingerprint, std::move(request.submission));
    if (verdict.isAccepted) {
        this->answerOrWait(origin, jobReference, jobId);
        return;
    }
    ++this->context.counters.submissionsRefused;
    this->answer(origin, makeRefusal(verdict.reason, verdict.retryAfter, "The job was not admitted"));
}

void RequestHandler::answerOrWait(const RequestOrigin& origin, const CallerRequest& request, const Core::JobId& jobId)
{
    const Messages::Submission& jobReference = request.submission;
    const std::string path = jobPath(jobReference.team, jobReference.caller, jobReference.idempotencyKey);
    const Ownership::JobEntry* job = this->jobTable.find(jobId);
    const bool isWaiting = job->state == Messages::JobState::Running && request.waitMilliseconds > 0
        && this->jobWaiters.size() < this->context.settings.waitingRequestsLimit;
    if (!isWaiting) {
        this->answerJob(origin, *job, path);
        return;
    }
    const Core::Duration wait = std::min<Core::Duration>(
        std::chrono::milliseconds(request.waitMilliseconds), this->context.settings.maximumWait);
    this->jobWaiters.add(jobId, { origin, jobId, path, addDuration(this->context.now, wait) });
}

void RequestHandler::jobFinished(const Core::JobId& jobId)
{
    const std::vector<JobWaiter> waiting = this->jobWaiters.take(jobId);
    if (waiting.empty())
        return;
    const Messages::ForwardedAnswer answer = makeJobAnswer(*this->jobTable.find(jobId));
    for (const JobWaiter& jobWaiter : waiting)
        this->answer(jobWaiter.origin, answer);
}

void RequestHandler::jobsDropped(const std::vector<Core::JobId>& jobIds)
{
    Problem problem = makeProblem(503, "owner-changed", "The job moved to another entry",
        "The entry lost the job's partition; ask for the job under its path", Execution::MayHaveRun);
    problem.reason = Core::enumName(TaskReason::LeaseLost);
    problem.retryAfterSeconds = defaultRetrySeconds;
    for (const Core::JobId& jobId : jobIds) {
        for (const JobWaiter& jobWaiter : this->jobWaiters.take(jobId))
            this->answer(jobWaiter.origin, problem);
    }
}

void RequestHandler::partitionReady(Core::PartitionId partition)
{
    if (!this->leases.owner(partition) || !this->ownership.isReady(partition))
        return;
    for (RequestAwaitingOwner& request : this->awaitingOwner.take(partition)) {
        if (this->leases.standing(partition, this->context.now) == PartitionLeases::Standing::Valid)
            this->handleOwned(request.origin, std::move(request.request), partition);
        else
            this->refuseOwnerUnavailable(request);
    }
}

void RequestHandler::acquisitionEnded(const std::vector<Core::PartitionId>& partitions)
{
    for (const Core::PartitionId partition : partitions) {
        if (this->leases.owner(partition)) {
            this->partitionReady(partition);
            continue;
        }
        this->forwardAwaitingOwner(partition);
    }
}

void RequestHandler::forwardAwaitingOwner(Core::PartitionId partition)
{
    // Adding a request again leaves a stale deadline in WaitingRequests, so requests are taken only if the owner is
    // connected.
    const auto& owners = this->ownership.view().partitions;
    const auto owner = owners.find(partition);
    if (owner == owners.end() || !this->entryLinks.isConnected(owner->second.owner))
        return;
    for (RequestAwaitingOwner& request : this->awaitingOwner.take(partition)) {
        if (!this->tryForward(request.origin, request.request, partition))
            this->awaitingOwner.add(partition, std::move(request));
    }
}

void RequestHandler::refuseOwnerUnavailable(const RequestAwaitingOwner& request)
{
    this->refuse(request.origin, request.request.operation, TaskReason::OwnerLost,
        "The partition's owner can't be reached, or its records are awaited", defaultRetrySeconds);
}

void RequestHandler::forwardAnswered(RequestId requestId, Messages::ForwardedAnswer answer)
{
    const auto found = this->forwardedRequests.find(requestId);
    if (found == this->forwardedRequests.end())
        return;
    const ForwardedRequest request = std::move(found->second);
    this->forwardedRequests.erase(found);
    // An owner with an expired lease stays the owner until another entry acquires its partitions.
    if (answer.statusCode == statusMisdirected) {
        answer.statusCode = statusUnavailable;
        if (!this->isStopping)
            this->ownership.acquire({ request.partition });
    }
    const bool isRunning = answer.statusCode == 202;
    this->answer({ 0, requestId }, std::move(answer), isRunning ? request.path : std::string());
}

void RequestHandler::forwardLost(RequestId requestId, JobOperation operation)
{
    this->forwardedRequests.erase(requestId);
    Problem problem = makeProblem(503, "owner-lost", "The partition's owner did not answer",
        operation == JobOperation::Submit
            ? "The submission was forwarded and may have run; resubmit it unchanged or ask for the job"
            : "The request was forwarded and its answer was lost",
        Execution::MayHaveRun);
    problem.reason = Core::enumName(TaskReason::OwnerLost);
    problem.retryAfterSeconds = defaultRetrySeconds;
    this->answer({ 0, requestId }, problem);
}

void RequestHandler::tick()
{
    for (const JobWaiter& jobWaiter : this->jobWaiters.takeExpired(this->context.now)) {
        const Ownership::JobEntry* job = this->jobTable.find(jobWaiter.jobId);
        if (job)
            this->answerJob(jobWaiter.origin, *job, jobWaiter.path);
        else
            this->forwardLost(jobWaiter.origin.requestId, JobOperation::Fetch);
    }
    for (const RequestAwaitingOwner& request : this->awaitingOwner.takeExpired(this->context.now))
        this->refuseOwnerUnavailable(request);
    for (const Core::PartitionId partition : this->awaitingOwner.keys()) {
        if (this->leases.owner(partition))
            this->partitionReady(partition);
        else
            this->forwardAwaitingOwner(partition);
    }
}

void RequestHandler::refuse(const RequestOrigin& origin, JobOperation operation, TaskReason reason,
    const std::string& detail, std::uint32_t retryAfterSeconds)
{
    Problem problem = makeRefusal(reason, std::chrono::seconds(retryAfterSeconds), detail);
    if (operation == JobOperation::Submit) {
        ++this->context.counters.submissionsRefused;
    } else {
        problem.title = "The job's state is not available here now";
        problem.execution = Execution::MayHaveRun;
    }
    this->answer(origin, problem);
}

void RequestHandler::answerJob(const RequestOrigin& origin, const Ownership::JobEntry& job, const std::string& path)
{
    this->answer(origin, makeJobAnswer(job), job.state == Messages::JobState::Running ? path : std::string());
}

void RequestHandler::answer(const RequestOrigin& origin, const Problem& problem)
{
    this->answer(origin, makeAnswer(problem));
}

void RequestHandler::answer(const RequestOrigin& origin, Messages::ForwardedAnswer answer, std::string location)
{
    answer.requestId = origin.requestId;
    if (origin.connectionId == 0)
        this->context.addAction(AnswerCaller { std::move(answer), std::move(location) });
    else
        this->context.send(origin.connectionId, std::move(answer));
}

}
