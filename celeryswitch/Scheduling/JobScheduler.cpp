#include "celeryswitch/Scheduling/JobScheduler.h"

#include <algorithm>

namespace celeryswitch::Scheduling {

using Configuration::Queue;
using Core::SteadyTime;
using Logging::LogLevel;
using Messages::RunEnd;
using Messages::RunState;

namespace {

// What a caller that was refused is told to wait at least.
constexpr Core::Duration retryAfterRefusal = std::chrono::seconds(1);

std::int64_t milliseconds(Core::Duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

}

JobScheduler::JobScheduler(SchedulerSettings settings, Logging::StructuredLog& log)
    : settings(std::move(settings))
    , log(log)
{
}

Core::Duration JobScheduler::responseGoal(const Queue& queue, const JobSpecification& job) const
{
    // The longest chain of steps, each as long as its declared time.
    std::vector<double> chain;
    double longest = 0;
    for (const StepSpecification& step : job.steps) {
        double before = 0;
        for (std::uint32_t earlier : step.after)
            before = std::max(before, chain[earlier]);
        chain.push_back(before + step.declaredMilliseconds);
        longest = std::max(longest, chain.back());
    }
    return std::chrono::microseconds(
        static_cast<std::int64_t>((longest * queue.stretch + queue.targetMilliseconds) * 1000));
}

bool JobScheduler::isSupported(const JobSpecification& job, std::string& reason) const
{
    if (!job.isBestEffort)
        reason = "jobs that must be stored are not served";
    else if (job.repeats > 0)
        reason = "repeated jobs are not served";
    for (const StepSpecification& step : job.steps) {
        if (step.isGang || step.isSpeculative || step.isLongRunning || step.isFiller)
            reason = "gangs, copies, fillers and long-running tasks are not served";
    }
    return reason.empty();
}

void JobScheduler::submit(SteadyTime now, RequestNumber request, const Queue& queue, SubmitJob submission)
{
    const std::uint64_t id = submission.job.id;
    if (const auto known = this->outcomes.find(id); known != this->outcomes.end()) {
        this->answer(request, known->second.answer);
        return;
    }
    if (const auto open = this->jobs.find(id); open != this->jobs.end()) {
        // The caller sent its request again; only the newest one is still waited for.
        this->answer(open->second.request, { AnswerKind::GivenUp, {}, 0, {}, "sent again" });
        open->second.request = request;
        return;
    }
    std::string reason;
    if (!this->isSupported(submission.job, reason)) {
        this->answer(request, { AnswerKind::NotRun, {}, 0, std::chrono::seconds(60), reason });
        return;
    }
    Job job;
    job.queue = queue;
    job.request = request;
    job.arrivedAt = now;
    Core::Duration patience = std::chrono::milliseconds(queue.timeoutMilliseconds);
    if (submission.patience > Core::Duration::zero())
        patience = std::min(patience, submission.patience);
    job.deadline = now + std::chrono::duration_cast<SteadyTime::duration>(patience);
    const Core::Duration goal = this->responseGoal(queue, submission.job);
    job.waitUntil = now
        + std::chrono::duration_cast<SteadyTime::duration>(
            std::chrono::duration<double>(goal) * this->settings.waitShare);
    for (const StepSpecification& step : submission.job.steps) {
        job.steps.emplace_back();
        job.steps.back().tasks.resize(step.count);
        job.steps.back().waiting = step.count;
    }
    job.specification = std::move(submission.job);
    this->log.write(LogLevel::Debug, "job admitted",
        { { "job", id }, { "queue", queue.name }, { "goal_ms", milliseconds(goal) },
            { "patience_ms", milliseconds(patience) } });
    this->jobs.emplace(id, std::move(job));
    this->waitingJobs.push_back(id);
    this->isPlacingDue = true;
}

void JobScheduler::query(RequestNumber request, const QueryJob& query)
{
    if (const auto open = this->jobs.find(query.id); open != this->jobs.end())
        this->answer(request,
            { AnswerKind::State, open->second.hasBegun ? JobState::Running : JobState::Queued, 0, {}, {} });
    else if (const auto known = this->outcomes.find(query.id);
             known != this->outcomes.end() && known->second.answer.kind == AnswerKind::State)
        this->answer(request, known->second.answer);
    else
        this->answer(request, { AnswerKind::UnknownJob, {}, 0, {}, {} });
}

void JobScheduler::cancel(SteadyTime now, RequestNumber request, const CancelJob& cancellation)
{
    const auto open = this->jobs.find(cancellation.id);
    if (open == this->jobs.end()) {
        this->answer(request, { AnswerKind::UnknownJob, {}, 0, {}, {} });
        return;
    }
    this->end(now, open, { AnswerKind::State, JobState::Cancelled, 0, {}, "cancelled" });
    this->answer(request, { AnswerKind::Cancelled, {}, 0, {}, {} });
}

void JobScheduler::queryQueue(RequestNumber request, const Queue& queue)
{
    CallerAnswer result { AnswerKind::Pending, {}, 0, {}, {} };
    for (const auto& [id, job] : this->jobs)
        result.pending += !job.hasBegun && job.queue.name == queue.name ? 1 : 0;
    this->answer(request, result);
}

void JobScheduler::abandoned(SteadyTime now, RequestNumber request)
{
    for (auto found = this->jobs.begin(); found != this->jobs.end(); ++found) {
        if (found->second.request != request)
            continue;
        found->second.request = 0;
        this->end(now, found, { AnswerKind::GivenUp, {}, 0, {}, "caller gone" });
        return;
    }
}

void JobScheduler::sidecarConnected(SteadyTime now, const Core::InstanceId& sidecar, const std::string& dataCentre)
{
    WorkerView& worker = this->board[sidecar];
    worker.sidecar = sidecar;
    worker.dataCentre = dataCentre;
    worker.isConnected = true;
    worker.status.isReady = false;
    worker.lastSequence = 0;
    worker.underway.clear();
    worker.heardAt = std::max(worker.heardAt, now);
    Messages::ClaimRuns claims;
    for (const auto& [id, job] : this->jobs) {
        for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
            for (std::uint32_t index = 0; index < job.steps[step].tasks.size(); ++index) {
                const Task& task = job.steps[step].tasks[index];
                if (task.phase == TaskPhase::Ordered && task.sidecar == sidecar)
                    claims.runs.push_back(
                        { { id, 0, step, index }, task.run, job.specification.steps[step].need });
            }
        }
    }
    this->actions.push_back(SendWork { sidecar, std::move(claims) });
}

void JobScheduler::sidecarDisconnected(const Core::InstanceId& sidecar)
{
    const auto found = this->board.find(sidecar);
    if (found != this->board.end())
        found->second.isConnected = false;
}

void JobScheduler::sidecarRemoved(SteadyTime now, const Core::InstanceId& sidecar)
{
    this->loseRuns(now, sidecar, "sidecar removed");
    this->board.erase(sidecar);
    this->aliveSentAt.erase(sidecar);
}

void JobScheduler::received(SteadyTime now, const Core::InstanceId& sidecar, Messages::WorkerUpdate update)
{
    WorkerView& worker = this->board[sidecar];
    worker.incarnation = update.incarnation;
    worker.clockSample = update.clockSample;
    worker.heardAt = now;
    worker.status = std::move(update.status);
    while (!worker.underway.empty() && worker.underway.front().first <= update.handledSequence)
        worker.underway.pop_front();
    for (const Messages::RunReport& report : update.reports)
        this->takeReport(now, sidecar, report);
    this->isPlacingDue = true;
}

void JobScheduler::takeReport(SteadyTime now, const Core::InstanceId& sidecar, const Messages::RunReport& report)
{
    const auto found = this->jobs.find(report.task.job);
    if (found == this->jobs.end() || report.task.step >= found->second.steps.size()
        || report.task.index >= found->second.steps[report.task.step].tasks.size())
        return;
    Job& job = found->second;
    Step& step = job.steps[report.task.step];
    Task& task = step.tasks[report.task.index];
    if (task.phase != TaskPhase::Ordered || task.sidecar != sidecar || report.run < task.run)
        return;
    task.run = report.run;
    if (report.state == RunState::Running)
        return;
    ++task.run;
    if (report.end != RunEnd::Done)
        this->log.write(LogLevel::Info, "run ended without success",
            { { "job", report.task.job }, { "task", report.task.index }, { "run", report.run },
                { "sidecar", sidecar }, { "end", std::string(Core::enumName(report.end)) },
                { "refusal", std::string(Core::enumName(report.refusal)) } });
    if (report.end == RunEnd::Done) {
        task.phase = TaskPhase::Done;
        ++step.done;
        const bool isComplete = std::all_of(job.steps.begin(), job.steps.end(),
            [](const Step& each) { return each.done == each.tasks.size(); });
        if (isComplete)
            this->end(now, found, { AnswerKind::State, JobState::Completed, 0, {}, {} });
        else if (step.done == step.tasks.size())
            this->waitingJobs.push_back(report.task.job);
        return;
    }
    if (report.end == RunEnd::Failed) {
        task.failedAt.push_back(sidecar);
        if (++task.failures >= job.queue.maximumAttempts) {
            this->end(now, found, { AnswerKind::State, JobState::Failed, 0, {}, "attempts used up" });
            return;
        }
    }
    this->taskBack(job, report.task.step, task);
}

void JobScheduler::taskBack(Job& job, std::uint32_t stepIndex, Task& task)
{
    task.phase = TaskPhase::Waiting;
    task.sidecar.clear();
    ++job.steps[stepIndex].waiting;
    this->waitingJobs.push_front(job.specification.id);
    this->isPlacingDue = true;
}

void JobScheduler::loseRuns(SteadyTime now, const Core::InstanceId& sidecar, std::string_view reason)
{
    static_cast<void>(now);
    for (auto& [id, job] : this->jobs) {
        for (std::uint32_t stepIndex = 0; stepIndex < job.steps.size(); ++stepIndex) {
            for (Task& task : job.steps[stepIndex].tasks) {
                if (task.phase != TaskPhase::Ordered || task.sidecar != sidecar)
                    continue;
                this->log.write(LogLevel::Info, "run lost",
                    { { "job", id }, { "sidecar", sidecar }, { "reason", std::string(reason) } });
                ++task.run;
                this->taskBack(job, stepIndex, task);
            }
        }
    }
}

void JobScheduler::placeWaiting(SteadyTime now)
{
    if (!this->isPlacingDue)
        return;
    this->isPlacingDue = false;
    std::deque<std::uint64_t> again;
    for (const std::uint64_t id : std::exchange(this->waitingJobs, {})) {
        const auto found = this->jobs.find(id);
        if (found == this->jobs.end() || std::find(again.begin(), again.end(), id) != again.end())
            continue;
        bool isPlaced = true;
        for (std::uint32_t step = 0; step < found->second.steps.size(); ++step)
            isPlaced = this->placeStep(now, found->second, step) && isPlaced;
        if (!isPlaced)
            again.push_back(id);
    }
    this->waitingJobs = std::move(again);
}

bool JobScheduler::placeStep(SteadyTime now, Job& job, std::uint32_t stepIndex)
{
    Step& step = job.steps[stepIndex];
    const StepSpecification& specification = job.specification.steps[stepIndex];
    if (step.waiting == 0)
        return true;
    for (std::uint32_t earlier : specification.after) {
        if (job.steps[earlier].done < job.steps[earlier].tasks.size())
            return true;
    }
    PlacementRequest request { job.queue.service, specification.need, step.waiting, specification.requiredLabel,
        specification.dataRack, specification.tasksPerWorker, this->settings.dataCentre, {} };
    for (const Task& task : step.tasks) {
        if (task.phase == TaskPhase::Waiting)
            request.avoided.insert(request.avoided.end(), task.failedAt.begin(), task.failedAt.end());
    }
    const std::vector<Placement> placements = place(this->board, request);
    for (const Placement& placement : placements)
        this->order(now, job, stepIndex, placement);
    return !placements.empty();
}

void JobScheduler::order(SteadyTime now, Job& job, std::uint32_t stepIndex, const Placement& placement)
{
    Step& step = job.steps[stepIndex];
    const StepSpecification& specification = job.specification.steps[stepIndex];
    WorkerView& worker = this->board.at(placement.sidecar);
    Messages::StartRuns start;
    start.sequence = ++worker.lastSequence;
    start.clockEcho = worker.clockSample;
    start.job = job.specification.id;
    start.step = stepIndex;
    start.content = job.specification.content;
    start.need = specification.need;
    start.expectedMilliseconds = specification.declaredMilliseconds;
    start.deadlineMicroseconds = std::chrono::duration_cast<std::chrono::microseconds>(job.deadline - now).count();
    for (std::uint32_t index = 0; index < step.tasks.size() && start.tasks.size() < placement.count; ++index) {
        Task& task = step.tasks[index];
        if (task.phase != TaskPhase::Waiting)
            continue;
        task.phase = TaskPhase::Ordered;
        task.sidecar = placement.sidecar;
        --step.waiting;
        start.tasks.emplace_back(index, task.run);
    }
    worker.underway.emplace_back(start.sequence, specification.need * static_cast<std::int64_t>(start.tasks.size()));
    this->aliveSentAt[placement.sidecar] = now;
    job.hasBegun = true;
    this->log.write(LogLevel::Debug, "tasks placed",
        { { "job", job.specification.id }, { "sidecar", placement.sidecar },
            { "tasks", static_cast<std::uint64_t>(start.tasks.size()) },
            { "free_millicores", worker.status.free.milliCores },
            { "waited_ms", milliseconds(now - job.arrivedAt) } });
    this->actions.push_back(SendWork { placement.sidecar, std::move(start) });
}

void JobScheduler::end(SteadyTime now, Jobs::iterator found, CallerAnswer answer)
{
    Job job = std::move(found->second);
    this->jobs.erase(found);
    const std::uint64_t id = job.specification.id;
    std::map<Core::InstanceId, Messages::StopRuns> stops;
    for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
        for (std::uint32_t index = 0; index < job.steps[step].tasks.size(); ++index) {
            const Task& task = job.steps[step].tasks[index];
            if (task.phase == TaskPhase::Ordered)
                stops[task.sidecar].tasks.push_back({ id, 0, step, index });
        }
    }
    for (auto& [sidecar, stop] : stops) {
        stop.clockEcho = this->board[sidecar].clockSample;
        this->actions.push_back(SendWork { sidecar, std::move(stop) });
    }
    const bool isExpected = answer.kind == AnswerKind::State && answer.state == JobState::Completed;
    this->log.write(isExpected ? LogLevel::Debug : LogLevel::Info, "job ended",
        { { "job", id }, { "queue", job.queue.name }, { "answer", std::string(Core::enumName(answer.kind)) },
            { "state", std::string(Core::enumName(answer.state)) }, { "reason", answer.reason },
            { "response_ms", milliseconds(now - job.arrivedAt) } });
    if (answer.kind == AnswerKind::State) {
        this->outcomes[id] = { answer, now };
        this->outcomeOrder.emplace_back(now, id);
    }
    this->answer(job.request, std::move(answer));
}

void JobScheduler::answer(RequestNumber request, CallerAnswer answer)
{
    if (request != 0)
        this->actions.push_back(AnswerRequest { request, std::move(answer) });
}

std::vector<SchedulerAction> JobScheduler::poll(SteadyTime now)
{
    this->expireJobs(now);
    this->placeWaiting(now);
    this->keepAlive(now);
    while (!this->outcomeOrder.empty() && this->outcomeOrder.front().first + this->settings.outcomeRetention < now) {
        this->outcomes.erase(this->outcomeOrder.front().second);
        this->outcomeOrder.pop_front();
    }
    return std::exchange(this->actions, {});
}

void JobScheduler::expireJobs(SteadyTime now)
{
    for (auto next = this->jobs.begin(); next != this->jobs.end();) {
        const auto found = next++;
        if (!found->second.hasBegun && now >= found->second.waitUntil)
            this->end(now, found, { AnswerKind::NotRun, {}, 0, retryAfterRefusal, "no room" });
        else if (now >= found->second.deadline)
            this->end(now, found, { AnswerKind::GivenUp, {}, 0, {}, "deadline" });
    }
}

void JobScheduler::keepAlive(SteadyTime now)
{
    for (auto& [sidecar, worker] : this->board) {
        if (!worker.isConnected) {
            if (worker.heardAt != SteadyTime {} && now >= worker.heardAt + this->settings.runsOverTime) {
                worker.heardAt = {};
                this->loseRuns(now, sidecar, "sidecar out of contact");
            }
            continue;
        }
        SteadyTime& sentAt = this->aliveSentAt[sidecar];
        if (now < sentAt + this->settings.aliveInterval)
            continue;
        sentAt = now;
        this->actions.push_back(SendWork { sidecar, Messages::EntryAlive { worker.clockSample } });
    }
}

SteadyTime JobScheduler::nextWakeUp() const
{
    SteadyTime due = SteadyTime::max();
    for (const auto& [id, job] : this->jobs)
        due = std::min(due, job.hasBegun ? job.deadline : job.waitUntil);
    for (const auto& [sidecar, worker] : this->board) {
        const auto sent = this->aliveSentAt.find(sidecar);
        if (worker.isConnected && sent != this->aliveSentAt.end())
            due = std::min(due, sent->second + this->settings.aliveInterval);
        else if (!worker.isConnected && worker.heardAt != SteadyTime {})
            due = std::min(due, worker.heardAt + this->settings.runsOverTime);
    }
    return due;
}

std::size_t JobScheduler::usableWorkers() const
{
    std::size_t count = 0;
    for (const auto& [sidecar, worker] : this->board)
        count += worker.isUsable() ? 1 : 0;
    return count;
}

}
