// Records of jobs' outcomes, and the scheduler's gauges.
#include "celeryswitch/Scheduling/JobScheduler.h"

#include "celeryswitch/Scheduling/RefusalAdvice.h"
#include "celeryswitch/Scheduling/SchedulerTime.h"
#include <algorithm>

namespace celeryswitch::Scheduling {

using Core::SteadyTime;
using Logging::LogLevel;

namespace {

// Memory of a job in the lists and tables that refer to it.
constexpr std::size_t indexBytes = 256;
// The trace of one in this many successful jobs is logged.
constexpr std::uint64_t traceSampleInterval = 64;

}

void JobScheduler::trace(
    SteadyTime now, Job& job, std::string_view message, std::initializer_list<Logging::LogField> fields)
{
    if (!this->jobBudget.hasTraces())
        return job.trace.omit();
    const std::size_t before = job.trace.memoryBytes();
    job.trace.add(now, message, fields);
    this->changeRecords(job, before, job.trace.memoryBytes());
}

std::size_t JobScheduler::recordBytes(const Job& job)
{
    const auto textBytes = [](const std::string& text) {
        return text.capacity() > std::string().capacity() ? Core::blockBytes(text.capacity()) : 0;
    };
    const auto listBytes = [](const auto& list) {
        return Core::blockBytes(list.capacity() * sizeof(typename std::decay_t<decltype(list)>::value_type));
    };
    const JobSpecification& specification = job.specification;
    std::size_t bytes = sizeof(Jobs::value_type) + indexBytes + textBytes(specification.content)
        + textBytes(job.queue.name) + textBytes(job.queue.host) + textBytes(job.queue.pathPrefix)
        + textBytes(job.queue.service) + listBytes(specification.steps) + listBytes(job.steps)
        + listBytes(job.placeableSteps);
    for (const StepSpecification& step : specification.steps)
        bytes += textBytes(step.requiredLabel) + textBytes(step.dataRack) + listBytes(step.dependencies);
    for (const Step& step : job.steps)
        bytes += listBytes(step.dependents);
    return bytes;
}

void JobScheduler::changeRecords(Job& job, std::size_t before, std::size_t after)
{
    this->jobBudget.change(before, after);
    job.addedBytes += after - before;
}

void JobScheduler::refuseForMemory(RequestNumber request, const Job& job)
{
    ++this->refusedForMemory;
    const StepJobId id = job.specification.id;
    this->log.write(LogLevel::Info, "job refused for want of memory",
        { { "job", Messages::jobText(id) }, { "queue", job.queue.name },
            { "bytes", static_cast<std::uint64_t>(job.admittedBytes) },
            { "held", static_cast<std::uint64_t>(this->jobBudget.heldBytes()) },
            { "limit", static_cast<std::uint64_t>(this->jobBudget.limitBytes()) },
            { "open_jobs", static_cast<std::uint64_t>(this->jobs.size()) } });
    this->sendAnswer(request, { AnswerKind::NotRun, {}, 0, retryDelay(0, id.number), "too many open jobs" });
}

void JobScheduler::keepOutcome(SteadyTime now, const StepJobId& id, const CallerAnswer& answer)
{
    if (this->outcomes.emplace(id, Outcome { answer, now }).second)
        this->jobBudget.change(0, JobBudget::outcomeBytes);
    this->outcomesByAge.emplace_back(now, id);
}

void JobScheduler::traceAvailableRoom(SteadyTime now, Job& job)
{
    std::uint64_t usable = 0;
    std::uint64_t probation = 0;
    std::int64_t free = 0;
    std::int64_t queued = 0;
    std::int64_t places = 0;
    for (const auto& [sidecar, worker] : this->workerTable) {
        if (!worker.isUsable() || worker.profile.service != job.queue.service)
            continue;
        ++usable;
        probation += worker.load.isOnProbation ? 1 : 0;
        free += worker.load.free.milliCores;
        for (const Messages::QueuedRoom& room : worker.load.queued)
            queued += room.milliCores;
        places += std::max<std::int64_t>(0, job.specification.steps.front().need.countIn(worker.roomFor(job.rank)));
    }
    this->trace(now, job, "job finds no room",
        { { "job", Messages::jobText(job.specification.id) }, { "workers", usable }, { "on_probation", probation },
            { "free_millicores", free }, { "queued_millicores", queued }, { "places", places },
            { "rank_class", Messages::rankClassOf(job.rank) } });
}

void JobScheduler::logOutcome(SteadyTime now, Job& job, const CallerAnswer& answer)
{
    this->metrics.jobEnded({ job.queue.name, answer, now - job.arrivedAt,
        this->goalTime(job, job.longestRunSeconds, 1) - job.arrivedAt, job.orders });
    const bool isCompleted = answer.kind == AnswerKind::State && answer.state == JobState::Completed;
    const bool isLate = now > this->goalTime(job, job.longestRunSeconds, 1);
    const StepJobId id = job.specification.id;
    this->log.write(LogLevel::Info, "job ended",
        { { "job", Messages::jobText(id) }, { "queue", job.queue.name },
            { "answer", std::string(Core::enumName(answer.kind)) },
            { "state", std::string(Core::enumName(answer.state)) }, { "reason", answer.reason },
            { "late", isLate ? 1 : 0 }, { "response_ms", toMilliseconds(now - job.arrivedAt) },
            { "waited_ms", job.orders > 0 ? toMilliseconds(job.firstOrderAt - job.arrivedAt) : -1 },
            { "longest_run_ms", static_cast<std::int64_t>(job.longestRunSeconds * 1000) }, { "orders", job.orders },
            { "tasks", static_cast<std::uint64_t>(job.steps.front().tasks.count()) },
            { "millicores", job.specification.steps.front().need.milliCores },
            { "declared_ms", job.specification.steps.front().declaredMilliseconds } });
    if (!isCompleted || isLate || id.number % traceSampleInterval == 0)
        job.trace.write(this->log, now);
}

void JobScheduler::collect(Metrics::MetricRegistry& registry) const
{
    std::size_t usable = 0;
    std::size_t probation = 0;
    std::int64_t free = 0;
    std::int64_t queued = 0;
    for (const auto& [sidecar, worker] : this->workerTable) {
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
    set("celeryswitch_job_bytes_held", "Memory of the records of open jobs and of outcomes.",
        this->jobBudget.heldBytes());
    set("celeryswitch_job_bytes_limit", "Memory allowed for them.", this->jobBudget.limitBytes());
    set("celeryswitch_jobs_refused_for_memory", "Jobs refused for want of that memory since the start.",
        this->refusedForMemory);
    set("celeryswitch_jobs_waiting", "Jobs with tasks that wait for a place.", this->waitingJobs.size());
    set("celeryswitch_sidecars", "Sidecars that this entry links to.", this->linked.size());
    set("celeryswitch_workers_usable", "Workers that runs may be ordered on.", usable);
    set("celeryswitch_workers_on_probation", "Workers that get one run at a time.", probation);
    set("celeryswitch_free_millicores", "Room that no run uses, as last reported.", free);
    set("celeryswitch_queued_millicores", "Room that queued runs need, as last reported.", queued);
    if (this->settings.farFactor <= 1)
        return;
    for (const auto& [queue, model] : this->models) {
        for (const bool isFar : { false, true })
            registry
                .gauge("celeryswitch_place_run_seconds",
                    "Mean of the recent run times of tasks with a rack preference, by place.",
                    { { "queue", queue }, { "place", isFar ? "far" : "near" } })
                .set(model.placeSeconds(isFar));
    }
}

}
