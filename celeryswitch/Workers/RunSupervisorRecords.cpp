// Gauges of the supervisor, and its records of ends and of the worker's probation.
#include "celeryswitch/Workers/RunSupervisor.h"

namespace celeryswitch::Workers {

using Core::SteadyTime;
using Logging::LogLevel;

void RunSupervisor::collect(SteadyTime now, Metrics::MetricRegistry& registry) const
{
    const auto set
        = [&registry](const char* name, const char* help, double value) { registry.gauge(name, help).set(value); };
    std::size_t connected = 0;
    for (const auto& [id, entry] : this->entries)
        connected += entry.connection != 0 ? 1 : 0;
    set("celeryswitch_entries_connected", "Entries that are connected.", static_cast<double>(connected));
    set("celeryswitch_runs_active", "Runs that were started and have not ended.",
        static_cast<double>(this->runs.activeCount()));
    set("celeryswitch_runs_queued", "Runs that wait for room.", static_cast<double>(this->runs.queue().size()));
    set("celeryswitch_used_millicores", "Room that runs use.", static_cast<double>(this->runs.used().milliCores));
    set("celeryswitch_free_millicores", "Room that no run uses.", static_cast<double>(this->freeRoom().milliCores));
    set("celeryswitch_pace_percent", "Speed of the worker against the expected times.", this->health.pacePercent(now));
    set("celeryswitch_on_probation", "Whether the worker gets one run at a time.",
        this->health.isOnProbation() ? 1 : 0);
    set("celeryswitch_ready", "Whether runs can be started.", this->isReady() ? 1 : 0);
    std::size_t stopping = 0;
    SteadyTime oldestStop = now;
    for (const auto& [task, run] : this->runs.all()) {
        if (run.phase == RunPhase::Stopping) {
            ++stopping;
            oldestStop = std::min(oldestStop, run.stopWantedAt);
        }
    }
    set("celeryswitch_runs_stopping", "Runs that were told to stop and are not known to have ended.",
        static_cast<double>(stopping));
    set("celeryswitch_oldest_stop_seconds", "Time since the first of these was told to stop.",
        std::chrono::duration<double>(now - oldestStop).count());
    set("celeryswitch_unanswered_calls", "Orders in a row without an answer.", this->unansweredCalls);
    set("celeryswitch_contact_age_seconds", "Time since the worker answered an order.",
        std::chrono::duration<double>(now - this->contactAt).count());
    set("celeryswitch_lease_left_seconds", "Time until the worker's lease ends; negative when it is over.",
        this->worker.clock.isKnown() ? static_cast<double>(this->worker.leaseEnd - this->worker.clock.at(now)) / 1000
                                     : 0);
}

void RunSupervisor::logEnd(SteadyTime now, const Run& run, RunEvent evidence) const
{
    if (run.end == RunEnd::Done || run.orderedAt == SteadyTime {} || evidence == RunEvent::StartRefused)
        return;
    const auto age = [now](SteadyTime time) {
        return time == SteadyTime {} ? std::int64_t(-1)
                                     : std::chrono::duration_cast<std::chrono::milliseconds>(now - time).count();
    };
    this->log.write(LogLevel::Info, "run ended",
        { { "job", Messages::jobText(run.task.job) }, { "task", run.task.index }, { "run", run.number },
            { "entry", run.entry }, { "order", run.order }, { "end", std::string(Core::enumName(run.end)) },
            { "refusal", std::string(Core::enumName(run.refusal)) },
            { "evidence", std::string(Core::enumName(evidence)) },
            { "no_start_proof", run.noStartProof ? std::string(Core::enumName(*run.noStartProof)) : "none" },
            { "ordered_born", run.orderedIncarnation.value_or(-1) },
            { "born", this->worker.workerStartedAt.value_or(-1) }, { "ran_ms", age(run.startedAt) },
            { "stopping_ms", age(run.stopWantedAt) }, { "contact_age_ms", age(this->contactAt) },
            { "lease_left_ms",
                this->worker.clock.isKnown() ? this->worker.leaseEnd - this->worker.clock.at(now) : 0 } });
}

void RunSupervisor::recordEnd(SteadyTime now, const Run& run)
{
    const bool wasOnProbation = this->health.isOnProbation();
    this->health.recordEnd(now, run.end, run.need);
    this->logProbation(now, wasOnProbation, Core::enumName(run.end));
}

void RunSupervisor::recordRefusal(SteadyTime now)
{
    const bool wasOnProbation = this->health.isOnProbation();
    this->health.recordRefusal(now);
    this->logProbation(now, wasOnProbation, Core::enumName(CallStatus::Unhealthy));
}

void RunSupervisor::logProbation(SteadyTime now, bool wasOnProbation, std::string_view cause)
{
    if (this->health.isOnProbation() == wasOnProbation)
        return;
    this->log.write(wasOnProbation ? LogLevel::Info : LogLevel::Warning,
        wasOnProbation ? "worker off probation" : "worker on probation",
        { { "worker", this->worker.profile ? this->worker.profile->workerId : "" }, { "end", std::string(cause) },
            { "pace_percent", this->health.pacePercent(now) } });
}

}
