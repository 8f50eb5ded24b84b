#include "celeryswitch/Scheduling/JobScheduler.h"

#include "celeryswitch/Core/Assert.h"
#include "celeryswitch/Scheduling/SchedulerTime.h"
#include <algorithm>

namespace celeryswitch::Scheduling {

using Configuration::Queue;
using Core::SteadyTime;
using Logging::LogLevel;

namespace {

// What a caller that was refused is told to wait at least.
constexpr Core::Duration retryAfterRefusal = std::chrono::seconds(1);
// Share of work of higher rank at which a predicted wait is not trusted at all.
constexpr double distrustedShare = 0.35;
// Time by which the wait is extended while an entry finds its workers.
constexpr Core::Duration findingStep = std::chrono::milliseconds(50);
// Share of all work that a kind counts for at least.
constexpr double smallestShare = 0.001;
// How much more a kind's work is worth than that of the next less urgent priority.
constexpr double priorityWeight = 2;
// Part of a job's value that does not grow with its work.
constexpr double fixedValue = 0.3;
// Bounds of a job's work against the mean of its kind, as far as its value is concerned.
constexpr double smallestWork = 0.1;
constexpr double largestWork = 4;

// Value of a job for its work, against a job of the mean work of its kind.
double sizeFactor(double coreSeconds, double meanCoreSeconds)
{
    if (coreSeconds <= 0 || meanCoreSeconds <= 0)
        return 1;
    return 1 - fixedValue + fixedValue / std::clamp(coreSeconds / meanCoreSeconds, smallestWork, largestWork);
}
// Of the jobs that end well, one in this many has its whole story in the log.
constexpr std::uint64_t sampledJobs = 64;

}

JobScheduler::JobScheduler(SchedulerSettings settings, Logging::StructuredLog& log, Metrics::MetricRegistry& registry)
    : settings(std::move(settings))
    , log(log)
    , metrics(registry)
{
}

KindModel& JobScheduler::modelOf(SteadyTime now, const Queue& queue)
{
    KindModel& model = this->models.try_emplace(queue.name, now).first->second;
    model.setPriority(queue.priority);
    return model;
}

void JobScheduler::setLinked(SteadyTime now, std::set<Core::InstanceId> sidecars)
{
    if (!sidecars.empty() && this->linked.empty())
        this->foundSidecarsAt = now;
    this->linked = std::move(sidecars);
    for (auto& [sidecar, worker] : this->board)
        worker.isLinked = this->linked.count(sidecar) > 0;
    this->isPlacingDue = true;
}

bool JobScheduler::hasRuns(const Core::InstanceId& sidecar) const
{
    const auto isThere = [&](const Task& task) { return task.phase == TaskPhase::Ordered && task.sidecar == sidecar; };
    return std::any_of(this->jobs.begin(), this->jobs.end(), [&](const auto& job) {
        return std::any_of(job.second.steps.begin(), job.second.steps.end(),
            [&](const Step& step) { return std::any_of(step.tasks.begin(), step.tasks.end(), isThere); });
    });
}

void JobScheduler::forgetSidecar(const Core::InstanceId& sidecar)
{
    CELERY_ASSERT(!this->hasRuns(sidecar));
    this->board.erase(sidecar);
    this->aliveSentAt.erase(sidecar);
}

bool JobScheduler::isFindingWorkers(SteadyTime now) const
{
    if (this->foundSidecarsAt != SteadyTime::max() && now >= this->foundSidecarsAt + this->settings.findingTime)
        return false;
    std::size_t usable = 0;
    for (const auto& [sidecar, worker] : this->board)
        usable += worker.isUsable() ? 1 : 0;
    return static_cast<double>(usable) < static_cast<double>(this->linked.size()) * this->settings.findingShare;
}

void JobScheduler::estimate(SteadyTime now, Job& job)
{
    KindModel& model = this->modelOf(now, job.queue);
    // The longest chain of steps.
    std::vector<double> chains;
    TimeEstimate longest;
    double coreSeconds = 0;
    for (const StepSpecification& step : job.specification.steps) {
        const double declared = step.declaredMilliseconds / 1000.0;
        const TimeEstimate time = model.stepTime(declared);
        double before = 0;
        for (std::uint32_t earlier : step.after)
            before = std::max(before, chains[earlier]);
        chains.push_back(before + time.seconds);
        if (chains.back() > longest.seconds)
            longest = { chains.back(), time.deviation };
        coreSeconds += model.taskSeconds(declared) * step.count * static_cast<double>(step.need.milliCores) / 1000.0;
    }
    model.arrived(now, coreSeconds);
    job.rank = static_cast<float>(this->rankOf(now, model) * sizeFactor(coreSeconds, model.meanWork(now)));
    job.waitTrust = std::max(0.0, 1 - this->workBefore(now, model) / distrustedShare);
    job.patienceEnd
        = after(job.arrivedAt, std::chrono::duration<double>(job.patience - this->settings.travelTime).count());
    // The goal follows from the true time, which is not known yet.
    job.limit = this->goalOf(job, longest.seconds * std::exp(2 * longest.deviation), this->settings.lateFactor);
    job.waitUntil = this->goalOf(job, longest.seconds * std::exp(-longest.deviation), this->settings.waitShare);
}

double JobScheduler::rankOf(SteadyTime now, const KindModel& model) const
{
    double all = 0;
    for (const auto& [name, each] : this->models)
        all += each.demand(now);
    // Before anything is known, kinds differ by their queues' priority alone.
    const double weight = std::pow(priorityWeight, -static_cast<double>(model.priority()));
    return weight * (all > 0 ? all / std::max(model.demand(now), smallestShare * all) : 1);
}

double JobScheduler::workBefore(SteadyTime now, const KindModel& model) const
{
    const double own = this->rankOf(now, model);
    double before = 0;
    double all = 0;
    for (const auto& [name, each] : this->models) {
        const double demand = each.demand(now);
        all += demand;
        before += this->rankOf(now, each) > own ? demand : 0;
    }
    return all > 0 ? before / all : 0;
}

SteadyTime JobScheduler::goalOf(const Job& job, double chainSeconds, double factor) const
{
    const double goal = chainSeconds * job.queue.stretch + job.queue.targetMilliseconds / 1000.0;
    const double travel = std::chrono::duration<double>(this->settings.travelTime).count();
    return std::min(job.patienceEnd, after(job.arrivedAt, goal * factor - travel));
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

void JobScheduler::submit(
    SteadyTime now, SteadyTime arrivedAt, RequestNumber request, const Queue& queue, SubmitJob submission)
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
    job.arrivedAt = arrivedAt;
    // The queue's timeout is for callers that don't say how long they wait.
    Core::Duration patience = submission.patience;
    if (patience <= Core::Duration::zero())
        patience = std::chrono::milliseconds(queue.timeoutMilliseconds);
    for (const StepSpecification& step : submission.job.steps) {
        job.steps.emplace_back();
        job.steps.back().tasks.resize(step.count);
        job.steps.back().waiting = step.count;
    }
    job.patience = patience;
    job.specification = std::move(submission.job);
    this->estimate(now, job);
    job.trace.add(now, "job admitted",
        { { "job", Messages::jobText(id) }, { "queue", queue.name }, { "held_ms", milliseconds(now - arrivedAt) },
            { "patience_ms", milliseconds(patience) }, { "rank_class", Messages::rankClassOf(job.rank) },
            { "limit_ms", milliseconds(job.limit - now) }, { "refused_after_ms", milliseconds(job.waitUntil - now) } });
    this->queue(this->jobs.emplace(id, std::move(job)).first->second);
}

void JobScheduler::query(RequestNumber request, const QueryJob& query)
{
    if (const auto open = this->jobs.find(query.id); open != this->jobs.end())
        this->answer(
            request, { AnswerKind::State, open->second.hasBegun ? JobState::Running : JobState::Queued, 0, {}, {} });
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

std::vector<SchedulerAction> JobScheduler::poll(SteadyTime now)
{
    this->endExpired(now);
    // A job whose order came back without a start may have waited long enough to be refused, and find room now.
    this->placeWaiting(now);
    this->refuseWaiting(now);
    this->keepAlive(now);
    while (!this->outcomeOrder.empty() && this->outcomeOrder.front().first + this->settings.outcomeRetention < now) {
        this->outcomes.erase(this->outcomeOrder.front().second);
        this->outcomeOrder.pop_front();
    }
    return std::exchange(this->actions, {});
}

void JobScheduler::endExpired(SteadyTime now)
{
    for (auto next = this->jobs.begin(); next != this->jobs.end();) {
        const auto found = next++;
        if (now < found->second.limit)
            continue;
        this->giveUp(now, found, "deadline");
    }
}

void JobScheduler::refuseWaiting(SteadyTime now)
{
    for (auto next = this->jobs.begin(); next != this->jobs.end();) {
        const auto found = next++;
        Job& job = found->second;
        if (job.hasBegun || now < job.waitUntil)
            continue;
        const SteadyTime longest = after(
            job.arrivedAt, std::chrono::duration<double>(job.patience).count() * this->settings.findingPatience);
        if (now < longest && this->isFindingWorkers(now)) {
            job.waitUntil = std::min(longest, now + findingStep);
            this->isPlacingDue = true;
            continue;
        }
        this->traceRoom(now, job);
        this->end(now, found, { AnswerKind::NotRun, {}, 0, retryAfterRefusal, "no room" });
    }
}

void JobScheduler::traceRoom(SteadyTime now, Job& job) const
{
    std::uint64_t usable = 0;
    std::uint64_t probation = 0;
    std::int64_t free = 0;
    std::int64_t queued = 0;
    std::int64_t places = 0;
    for (const auto& [sidecar, worker] : this->board) {
        if (!worker.isUsable() || worker.profile.service != job.queue.service)
            continue;
        ++usable;
        probation += worker.load.isOnProbation ? 1 : 0;
        free += worker.load.free.milliCores;
        for (const Messages::QueuedRoom& room : worker.load.queued)
            queued += room.milliCores;
        places += std::max<std::int64_t>(0, job.specification.steps.front().need.countIn(worker.roomFor(job.rank)));
    }
    job.trace.add(now, "job finds no room",
        { { "job", Messages::jobText(job.specification.id) }, { "workers", usable }, { "on_probation", probation },
            { "free_millicores", free }, { "queued_millicores", queued }, { "places", places },
            { "rank_class", Messages::rankClassOf(job.rank) } });
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
    this->logEnd(now, job, answer);
    if (answer.kind == AnswerKind::State) {
        this->outcomes[id] = { answer, now };
        this->outcomeOrder.emplace_back(now, id);
    }
    this->answer(job.request, std::move(answer));
}

void JobScheduler::logEnd(SteadyTime now, Job& job, const CallerAnswer& answer)
{
    this->metrics.jobEnded({ job.queue.name, answer, now - job.arrivedAt,
        this->goalOf(job, job.longestRunSeconds, 1) - job.arrivedAt, job.orders });
    const bool isCompleted = answer.kind == AnswerKind::State && answer.state == JobState::Completed;
    const bool isLate = now > this->goalOf(job, job.longestRunSeconds, 1);
    const std::uint64_t id = job.specification.id;
    this->log.write(LogLevel::Info, "job ended",
        { { "job", Messages::jobText(id) }, { "queue", job.queue.name },
            { "answer", std::string(Core::enumName(answer.kind)) },
            { "state", std::string(Core::enumName(answer.state)) }, { "reason", answer.reason },
            { "late", isLate ? 1 : 0 }, { "response_ms", milliseconds(now - job.arrivedAt) },
            { "waited_ms", job.orders > 0 ? milliseconds(job.firstOrderAt - job.arrivedAt) : -1 },
            { "longest_run_ms", static_cast<std::int64_t>(job.longestRunSeconds * 1000) }, { "orders", job.orders },
            { "tasks", static_cast<std::uint64_t>(job.steps.front().tasks.size()) },
            { "millicores", job.specification.steps.front().need.milliCores },
            { "declared_ms", job.specification.steps.front().declaredMilliseconds } });
    if (!isCompleted || isLate || id % sampledJobs == 0)
        job.trace.write(this->log, now);
}

void JobScheduler::endAll(SteadyTime now)
{
    while (!this->jobs.empty())
        this->giveUp(now, this->jobs.begin(), "process ends");
}

void JobScheduler::giveUp(SteadyTime now, Jobs::iterator found, const std::string& reason)
{
    if (found->second.hasBegun)
        this->end(now, found, { AnswerKind::GivenUp, {}, 0, {}, reason });
    else
        this->end(now, found, { AnswerKind::NotRun, {}, 0, retryAfterRefusal, reason });
}

void JobScheduler::answer(RequestNumber request, CallerAnswer answer)
{
    if (request != 0)
        this->actions.push_back(AnswerRequest { request, std::move(answer) });
}

void JobScheduler::collect(Metrics::MetricRegistry& registry) const
{
    std::size_t usable = 0;
    std::size_t probation = 0;
    std::int64_t free = 0;
    std::int64_t queued = 0;
    for (const auto& [sidecar, worker] : this->board) {
        if (!worker.isUsable())
            continue;
        ++usable;
        probation += worker.load.isOnProbation ? 1 : 0;
        free += worker.load.free.milliCores;
        for (const Messages::QueuedRoom& room : worker.load.queued)
            queued += room.milliCores;
    }
    const auto set = [&registry](const char* name, const char* help, auto value) {
        registry.gauge(name, help).set(static_cast<double>(value));
    };
    set("celeryswitch_jobs_open", "Jobs without an answer.", this->jobs.size());
    set("celeryswitch_jobs_waiting", "Jobs with tasks that wait for a place.", this->waitingJobs.size());
    set("celeryswitch_sidecars", "Sidecars that this entry links to.", this->linked.size());
    set("celeryswitch_workers_usable", "Workers that runs may be ordered on.", usable);
    set("celeryswitch_workers_on_probation", "Workers that get one run at a time.", probation);
    set("celeryswitch_free_millicores", "Room that no run uses, as last reported.", free);
    set("celeryswitch_queued_millicores", "Room that queued runs need, as last reported.", queued);
}

SteadyTime JobScheduler::nextWakeUp() const
{
    SteadyTime due = SteadyTime::max();
    for (const auto& [id, job] : this->jobs)
        due = std::min(due, job.hasBegun ? job.limit : job.waitUntil);
    for (const auto& [sidecar, worker] : this->board) {
        const auto sent = this->aliveSentAt.find(sidecar);
        if (worker.isConnected && sent != this->aliveSentAt.end())
            due = std::min(due, sent->second + this->settings.aliveInterval);
        else if (!worker.isConnected && worker.heardAt != SteadyTime {})
            due = std::min(due, worker.heardAt + this->settings.runsOverTime);
    }
    return due;
}

}
