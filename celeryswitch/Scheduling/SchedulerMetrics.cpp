#include "celeryswitch/Scheduling/SchedulerMetrics.h"

namespace celeryswitch::Scheduling {

namespace {

// Histogram bounds of response times and of times to a refusal, in seconds.
const std::vector<double> timeBounds { 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1, 1.5, 2, 3, 5 };
// Histogram bounds of response time / goal.
const std::vector<double> ratioBounds { 0.25, 0.5, 0.75, 1, 1.5, 2, 3 };

// Value of the label "outcome".
std::string outcomeOf(const JobEnd& end)
{
    if (end.answer.kind != AnswerKind::State)
        return std::string(Core::enumName(end.answer.kind));
    if (end.answer.state == JobState::Completed && end.response > end.goal)
        return "completed-late";
    return std::string(Core::enumName(end.answer.state));
}

}

SchedulerMetrics::SchedulerMetrics(Metrics::MetricRegistry& registry)
    : registry(registry)
    , orders(registry.counter("celeryswitch_runs_ordered_total", "Orders to start a run."))
    , restarts(
          registry.counter("celeryswitch_runs_restarted_total", "Runs stopped so that their task can run elsewhere."))
    , rackWaits(registry.counter(
          "celeryswitch_rack_waits_total", "Steps that began to wait for a worker of the rack that they prefer."))
    , rackWaitFallbacks(registry.counter(
          "celeryswitch_rack_wait_fallbacks_total", "Steps that ended such a wait for workers elsewhere."))
{
    for (const bool isFar : { false, true })
        this->places[isFar] = &registry.counter("celeryswitch_tasks_placed_total",
            "Tasks with a rack preference that were placed, by place.", { { "place", isFar ? "far" : "near" } });
    for (const auto& [end, name] : Core::EnumTable<Messages::RunEnd>::names)
        this->runs[static_cast<std::size_t>(end)] = &registry.counter("celeryswitch_runs_ended_total",
            "Ends of runs as sidecars reported them.", { { "end", std::string(name) } });
}

SchedulerMetrics::QueueSeries& SchedulerMetrics::seriesOf(const std::string& queue)
{
    QueueSeries& series = this->queues[queue];
    if (!series.response) {
        series.response = &this->registry.histogram("celeryswitch_job_response_seconds",
            "Time from a job's arrival to its answer.", timeBounds, { { "queue", queue } });
        series.goalRatio = &this->registry.histogram("celeryswitch_job_response_goal_share",
            "Response time of completed jobs against their goal.", ratioBounds, { { "queue", queue } });
    }
    return series;
}

void SchedulerMetrics::jobEnded(const JobEnd& end)
{
    QueueSeries& series = this->seriesOf(end.queue);
    const std::string outcome = outcomeOf(end);
    Metrics::Counter*& count = series.jobs[outcome];
    if (!count)
        count = &this->registry.counter("celeryswitch_jobs_total", "Jobs by queue and outcome.",
            { { "queue", end.queue }, { "outcome", outcome } });
    count->add();
    const double response = std::chrono::duration<double>(end.response).count();
    series.response->observe(response);
    if (end.answer.kind == AnswerKind::State && end.goal > Core::Duration::zero())
        series.goalRatio->observe(response / std::chrono::duration<double>(end.goal).count());
    if (end.answer.kind == AnswerKind::NotRun || end.answer.kind == AnswerKind::GivenUp)
        this->registry
            .histogram("celeryswitch_job_given_up_seconds",
                "Time after which jobs were refused or given up, by reason.", timeBounds,
                { { "reason", end.answer.reason } })
            .observe(response);
}

}
