#include "celeryswitch/Entry/EntryMetrics.h"

namespace celeryswitch::Entry {

namespace {

void addSeries(std::string& text, const char* name, const char* type, std::uint64_t value)
{
    text += std::string("# TYPE celeryswitch_entry_") + name + " " + type + "\n";
    text += std::string("celeryswitch_entry_") + name + " " + std::to_string(value) + "\n";
}

}

std::string metricsText(const EntrySnapshot& snapshot)
{
    const EntryCounters& counters = snapshot.counters;
    std::string text;
    const std::pair<const char*, std::uint64_t> counts[] = {
        { "submissions_total", counters.submissions },
        { "submissions_refused_total", counters.submissionsRefused },
        { "jobs_complete_total", counters.jobsComplete },
        { "jobs_failed_total", counters.jobsFailed },
        { "tasks_sent_total", counters.tasksStarted },
        { "tasks_succeeded_total", counters.tasksSucceeded },
        { "tasks_failed_total", counters.tasksFailed },
        { "tasks_unconfirmed_total", counters.tasksUnconfirmed },
        { "tasks_never_started_total", counters.tasksNeverStarted },
        { "starts_rejected_total", counters.startsRejected },
        { "late_results_total", counters.lateResults },
        { "messages_sent_total", counters.messagesSent },
        { "messages_received_total", counters.messagesReceived },
        { "datagrams_sent_total", counters.datagramsSent },
        { "requests_forwarded_total", counters.requestsForwarded },
    };
    for (const auto& [name, value] : counts)
        addSeries(text, name, "counter", value);
    const std::pair<const char*, std::uint64_t> gauges[] = {
        { "running_jobs", snapshot.runningJobs },
        { "remembered_jobs", snapshot.storedJobs },
        { "stored_bytes", snapshot.storedBytes },
        { "waiting_requests", snapshot.waitingRequests },
        { "connected_sidecars", snapshot.connectedSidecars },
        { "held_partitions", snapshot.heldPartitions },
        { "configuration_version", snapshot.configurationVersion },
        { "ready", snapshot.isReady ? 1U : 0U },
    };
    for (const auto& [name, value] : gauges)
        addSeries(text, name, "gauge", value);
    return text;
}

}
