#include "celeryswitch/Entry/RequestHandler.h"

#include "celeryswitch/Entry/JobCodec.h"
#include <algorithm>

namespace celeryswitch::Entry {

using Messages::JobOperation;
using Messages::TaskReason;
using Ownership::PartitionLeases;
using Ownership::SubmissionVerdict;

namespace {

// Longest wait for a partition's owner and records before a request is refused.
constexpr Core::Duration ownerWait = std::chrono::seconds(3);
constexpr std::uint32_t shortRetrySeconds = 1;
// Status between entries only: the receiver does not own the partition, or its lease is over.
constexpr std::uint16_t statusMisdirected = 421;
constexpr std::uint16_t statusUnavailable = 503;
// Retry time after which a new submission is newer than the takeover and so accepted.
constexpr std::uint32_t takeoverRetrySeconds = 10;

Problem keyProblem(std::uint16_t status, std::string type, std::string title, std::string detail, Execution execution)
{
    return { status, std::move(type), std::move(title), std::move(detail), "", execution };
}

}

RequestHandler::RequestHandler(EntryContext& context, Ownership::JobTable& table, PartitionLeases& leases,
    OwnershipDriver& driver, JobRunner& runner, Forwarding& forwarding)
    : context(context)
    , table(table)
    , leases(leases)
    , driver(driver)
    , runner(runner)
    , forwarding(forwarding)
{
}

void RequestHandler::handle(const RequestOrigin& origin, CallerRequest request)
{
    if (request.operation == JobOperation::Submit)
        ++this->context.counters.submissions;
    const Core::PartitionId partition = Core::partitionOf(request.submission.team, request.submission.caller);
    const PartitionLeases::Standing standing = this->context.settings.isLeaseChecked
        ? this->leases.standing(partition, this->context.now)
        : (this->leases.owner(partition) ? PartitionLeases::Standing::Valid : PartitionLeases::Standing::NotHeld);
    switch (standing) {
    case PartitionLeases::Standing::Valid:
        if (this->driver.isReady(partition))
            this->handleOwned(origin, std::move(request), partition);
        else
            this->park(origin, std::move(request), partition);
        break;
    case PartitionLeases::Standing::Expired:
        this->refuseAsNotOwner(
            origin, request.operation, "The entry's lease of the partition is over until the state replicas renew it");
        break;
    case PartitionLeases::Standing::NotHeld:
        this->handleElsewhere(origin, std::move(request), partition);
        break;
    }
}

void RequestHandler::handleElsewhere(const RequestOrigin& origin, CallerRequest request, Core::PartitionId partition)
{
    if (origin.connectionId != 0) {
        this->refuseAsNotOwner(
            origin, request.operation, "The entry that received the forwarded request does not own its partition");
        return;
    }
    if (this->tryForward(origin, request, partition))
        return;
    if (this->isStopping) {
        this->refuse(origin, request.operation, TaskReason::ShuttingDown, "The entry is stopping", shortRetrySeconds);
        return;
    }
    this->park(origin, std::move(request), partition);
    this->driver.acquire({ partition });
}

bool RequestHandler::tryForward(const RequestOrigin& origin, const CallerRequest& request, Core::PartitionId partition)
{
    const auto& owners = this->driver.view().partitions;
    const auto owner = owners.find(partition);
    if (origin.connectionId != 0 || owner == owners.end() || !this->forwarding.forward(owner->second.owner, request))
        return false;
    this->forwarded[request.requestId]
        = { jobPath(request.submission.team, request.submission.caller, request.submission.idempotencyKey), partition };
    return true;
}

void RequestHandler::refuseAsNotOwner(const RequestOrigin& origin, JobOperation operation, const std::string& detail)
{
    if (origin.connectionId == 0) {
        this->refuse(origin, operation, TaskReason::LeaseLost, detail, shortRetrySeconds);
        return;
    }
    Problem problem = refusalOf(TaskReason::LeaseLost, std::chrono::seconds(shortRetrySeconds), detail);
    problem.status = statusMisdirected;
    if (operation != JobOperation::Submit)
        problem.execution = Execution::MayHaveRun;
    this->answer(origin, problem);
}

void RequestHandler::park(const RequestOrigin& origin, CallerRequest request, Core::PartitionId partition)
{
    if (this->parked.size() >= this->context.settings.waitingRequestsLimit) {
        this->refuse(origin, request.operation, TaskReason::QueueFull, "Too many requests wait for their partition",
            shortRetrySeconds);
        return;
    }
    const Core::SteadyTime deadline = after(this->context.now, ownerWait);
    this->parked.add(partition, { origin, std::move(request), partition, deadline });
}

void RequestHandler::handleOwned(const RequestOrigin& origin, CallerRequest request, Core::PartitionId partition)
{
    if (request.operation == JobOperation::Submit) {
        this->handleSubmission(origin, std::move(request), partition);
        return;
    }
    const Messages::Submission& names = request.submission;
    const Core::JobId jobId = Core::makeJobId(names.team, names.caller, names.idempotencyKey);
    if (this->table.find(jobId) && request.operation == JobOperation::Cancel)
        this->runner.cancel(jobId);
    if (this->table.find(jobId)) {
        this->answerOrWait(origin, request, jobId);
        return;
    }
    const Ownership::PartitionRecovery* recovery = this->driver.recovery(partition);
    if (recovery && !recovery->isWhole()) {
        this->refuse(origin, request.operation, TaskReason::OwnerLost,
            "The partition's records are not complete after its earlier owner was lost", shortRetrySeconds);
        return;
    }
    this->answer(
        origin, keyProblem(404, "unknown-job", "No such job", "No job is known under this key", Execution::UnknownJob));
}

void RequestHandler::handleSubmission(const RequestOrigin& origin, CallerRequest request, Core::PartitionId partition)
{
    const Messages::Submission& submission = request.submission;
    const Core::JobId jobId = Core::makeJobId(submission.team, submission.caller, submission.idempotencyKey);
    const Ownership::Fingerprint fingerprint = Ownership::fingerprintOf(submission);
    switch (this->table.judge(submission, jobId, fingerprint, this->context.wallMilliseconds)) {
    case SubmissionVerdict::Known:
        this->table.identify(jobId, submission, fingerprint);
        this->answerOrWait(origin, request, jobId);
        return;
    case SubmissionVerdict::KeyReuse:
        this->answer(origin,
            keyProblem(422, "key-reuse", "The idempotency key belongs to another submission",
                "A different submission is known under this key", Execution::NotRun));
        return;
    case SubmissionVerdict::KeyExpired:
        this->answer(origin,
            keyProblem(410, "key-expired", "The submission is too old",
                "Keys are remembered for 600 s after createdAt; an earlier submission with this key may have run",
                Execution::MayHaveRun));
        return;
    case SubmissionVerdict::CreatedInFuture: {
        Problem problem = keyProblem(400, "created-in-future", "The submission is not valid",
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
    const Ownership::PartitionRecovery* recovery = this->driver.recovery(partition);
    if (recovery && recovery->isRefused(request.submission.createdAt)) {
        Problem problem = keyProblem(409, "may-have-run", "The submission may have run",
            "An earlier owner of the partition was lost together with sidecar records; a new submission may run",
            Execution::MayHaveRun);
        problem.reason = Core::enumName(TaskReason::OwnerLost);
        problem.retryAfterSeconds = recovery->isWhole() ? 0 : takeoverRetrySeconds;
        this->answer(origin, problem);
        return;
    }
    if (this->isStopping) {
        this->refuse(
            origin, JobOperation::Submit, TaskReason::ShuttingDown, "The entry is stopping", shortRetrySeconds);
        return;
    }
    if (!this->driver.isFresh()) {
        this->refuse(origin, JobOperation::Submit, TaskReason::ConfigurationStale,
            "The state replicas have not confirmed the configuration lately", shortRetrySeconds);
        return;
    }
    if (this->table.storedBytes() > this->context.settings.storedBytesLimit
        || this->waiters.size() >= this->context.settings.waitingRequestsLimit) {
        this->refuse(origin, JobOperation::Submit, TaskReason::QueueFull, "The entry remembers too many jobs",
            takeoverRetrySeconds);
        return;
    }
    CallerRequest names { request.requestId, request.operation, request.waitMilliseconds };
    names.submission.team = request.submission.team;
    names.submission.caller = request.submission.caller;
    names.submission.idempotencyKey = request.submission.idempotencyKey;
    const Dispatch::AdmissionResult verdict
        = this->runner.submit(jobId, partition, fingerprint, std::move(request.submission));
    if (verdict.isAccepted) {
        this->answerOrWait(origin, names, jobId);
        return;
    }
    ++this->context.counters.submissionsRefused;
    this->answer(origin, refusalOf(verdict.reason, verdict.retryAfter, "The job was not admitted"));
}

void RequestHandler::answerOrWait(const RequestOrigin& origin, const CallerRequest& request, const Core::JobId& jobId)
{
    const Messages::Submission& names = request.submission;
    const std::string path = jobPath(names.team, names.caller, names.idempotencyKey);
    const Ownership::JobEntry* job = this->table.find(jobId);
    const bool isWaiting = job->state == Messages::JobState::Running && request.waitMilliseconds > 0
        && this->waiters.size() < this->context.settings.waitingRequestsLimit;
    if (!isWaiting) {
        this->answerJob(origin, *job, path);
        return;
    }
    const Core::Duration wait = std::min<Core::Duration>(
        std::chrono::milliseconds(request.waitMilliseconds), this->context.settings.longestWait);
    this->waiters.add(jobId, { origin, jobId, path, after(this->context.now, wait) });
}

void RequestHandler::jobFinished(const Core::JobId& jobId)
{
    const std::vector<Waiter> waiting = this->waiters.take(jobId);
    if (waiting.empty())
        return;
    const Messages::ForwardedAnswer answer = makeJobAnswer(*this->table.find(jobId));
    for (const Waiter& waiter : waiting)
        this->answer(waiter.origin, answer);
}

void RequestHandler::jobsDropped(const std::vector<Core::JobId>& jobIds)
{
    Problem problem = keyProblem(503, "owner-changed", "The job moved to another entry",
        "The entry lost the job's partition; ask for the job under its path", Execution::MayHaveRun);
    problem.reason = Core::enumName(TaskReason::LeaseLost);
    problem.retryAfterSeconds = shortRetrySeconds;
    for (const Core::JobId& jobId : jobIds) {
        for (const Waiter& waiter : this->waiters.take(jobId))
            this->answer(waiter.origin, problem);
    }
}

void RequestHandler::partitionReady(Core::PartitionId partition)
{
    if (!this->leases.owner(partition) || !this->driver.isReady(partition))
        return;
    for (ParkedRequest& request : this->parked.take(partition)) {
        if (this->leases.standing(partition, this->context.now) == PartitionLeases::Standing::Valid)
            this->handleOwned(request.origin, std::move(request.request), partition);
        else
            this->refuseParked(request);
    }
}

void RequestHandler::acquireEnded(const std::vector<Core::PartitionId>& partitions)
{
    for (const Core::PartitionId partition : partitions) {
        if (this->leases.owner(partition)) {
            this->partitionReady(partition);
            continue;
        }
        this->forwardParked(partition);
    }
}

void RequestHandler::forwardParked(Core::PartitionId partition)
{
    // Parking a request again costs an entry in the list of deadlines, so it is not tried on each tick.
    const auto& owners = this->driver.view().partitions;
    const auto owner = owners.find(partition);
    if (owner == owners.end() || !this->forwarding.isOpen(owner->second.owner))
        return;
    for (ParkedRequest& request : this->parked.take(partition)) {
        if (!this->tryForward(request.origin, request.request, partition))
            this->parked.add(partition, std::move(request));
    }
}

void RequestHandler::refuseParked(const ParkedRequest& parked)
{
    this->refuse(parked.origin, parked.request.operation, TaskReason::OwnerLost,
        "The partition's owner can't be reached, or its records are awaited", shortRetrySeconds);
}

void RequestHandler::forwardAnswered(RequestId requestId, Messages::ForwardedAnswer answer)
{
    const auto found = this->forwarded.find(requestId);
    if (found == this->forwarded.end())
        return;
    const Forwarded request = std::move(found->second);
    this->forwarded.erase(found);
    // An owner that can't renew its lease keeps its partitions until another entry asks for them.
    if (answer.statusCode == statusMisdirected) {
        answer.statusCode = statusUnavailable;
        if (!this->isStopping)
            this->driver.acquire({ request.partition });
    }
    const bool isRunning = answer.statusCode == 202;
    this->answer({ 0, requestId }, std::move(answer), isRunning ? request.path : std::string());
}

void RequestHandler::forwardLost(RequestId requestId, JobOperation operation)
{
    this->forwarded.erase(requestId);
    Problem problem = keyProblem(503, "owner-lost", "The partition's owner did not answer",
        operation == JobOperation::Submit
            ? "The submission was forwarded and may have run; resubmit it unchanged or ask for the job"
            : "The request was forwarded and its answer was lost",
        Execution::MayHaveRun);
    problem.reason = Core::enumName(TaskReason::OwnerLost);
    problem.retryAfterSeconds = shortRetrySeconds;
    this->answer({ 0, requestId }, problem);
}

void RequestHandler::tick()
{
    for (const Waiter& waiter : this->waiters.takeOverdue(this->context.now)) {
        const Ownership::JobEntry* job = this->table.find(waiter.jobId);
        if (job)
            this->answerJob(waiter.origin, *job, waiter.path);
        else
            this->forwardLost(waiter.origin.requestId, JobOperation::Fetch);
    }
    for (const ParkedRequest& request : this->parked.takeOverdue(this->context.now))
        this->refuseParked(request);
    for (const Core::PartitionId partition : this->parked.keys()) {
        if (this->leases.owner(partition))
            this->partitionReady(partition);
        else
            this->forwardParked(partition);
    }
}

void RequestHandler::refuse(const RequestOrigin& origin, JobOperation operation, TaskReason reason,
    const std::string& detail, std::uint32_t retryAfterSeconds)
{
    Problem problem = refusalOf(reason, std::chrono::seconds(retryAfterSeconds), detail);
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
        this->context.act(AnswerCaller { std::move(answer), std::move(location) });
    else
        this->context.send(origin.connectionId, std::move(answer));
}

}
