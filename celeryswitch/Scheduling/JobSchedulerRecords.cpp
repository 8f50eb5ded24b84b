// Records of jobs' outcomes, and the scheduler's gauges.
#include "celeryswitch/Scheduling/JobScheduler.h"

#include "celeryswitch/Scheduling/SchedulerTime.h"
#include <algorithm>

namespace celeryswitch::Scheduling {

using Core::SteadyTime;
using Logging::LogLevel;

namespace {

// The trace of one in this many successful jobs is logged.
constexpr std::uint64_t traceSampleInterval = 64;

}

void JobScheduler::traceAvailableRoom(SteadyTime now, Job& job) const
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
    job.trace.add(now, "job finds no room",
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
