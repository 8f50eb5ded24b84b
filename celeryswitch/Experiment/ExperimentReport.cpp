#include "celeryswitch/Experiment/ExperimentReport.h"

#include <boost/json.hpp>
#include <cstdio>

namespace celeryswitch::Experiment {

namespace {

template <typename... Values> std::string format(const char* pattern, Values... values)
{
    char line[256];
    std::snprintf(line, sizeof(line), pattern, values...);
    return line;
}

std::string name(auto value) { return std::string(Core::enumName(value)); }

}

std::string toTable(const std::vector<ReportedRun>& runs, bool showKinds)
{
    std::string text = format("%-12s %-14s %-8s %5s %8s %8s %9s %9s %8s %9s %7s %8s\n", "service", "strategy", "mix",
        "load%", "p50", "p99", "msg/task", "+beats", "wasted%", "done", "failed", "refused");
    for (const ReportedRun& run : runs) {
        const ExperimentResult& result = run.result;
        text += format("%-12s %-14s %-8s %5.0f %8.3f %8.3f %9.3f %9.3f %8.3f %9llu %7llu %8llu\n",
            run.options.workload.service.name.c_str(), name(run.options.strategy).c_str(),
            name(run.options.mix).c_str(), run.options.loadPercent, result.p50, result.p99, result.messagesPerTask,
            result.messagesWithHeartbeats, result.wastedPercent, static_cast<unsigned long long>(result.completed),
            static_cast<unsigned long long>(result.failed), static_cast<unsigned long long>(result.refused));
        if (!showKinds)
            continue;
        for (const KindResult& kind : result.kinds)
            text += format("  %-39s %8.3f %8.3f   p99 %.1f ms, %llu of %llu done\n", kind.name.c_str(), kind.p50,
                kind.p99, kind.responseP99, static_cast<unsigned long long>(kind.completed),
                static_cast<unsigned long long>(kind.arrived));
    }
    return text;
}

std::string toJson(const std::vector<ReportedRun>& runs)
{
    boost::json::array list;
    for (const ReportedRun& run : runs) {
        const ExperimentResult& result = run.result;
        boost::json::array kinds;
        for (const KindResult& kind : result.kinds)
            kinds.push_back({ { "name", kind.name }, { "arrived", kind.arrived }, { "completed", kind.completed },
                { "failed", kind.failed }, { "refused", kind.refused }, { "p50", kind.p50 }, { "p99", kind.p99 },
                { "responseP99Ms", kind.responseP99 } });
        list.push_back({ { "service", run.options.workload.service.name }, { "strategy", name(run.options.strategy) },
            { "mix", name(run.options.mix) }, { "fault", name(run.options.fault) },
            { "faultyWorkers", run.options.faultyWorkers }, { "floodKind", run.options.floodKind.value_or("") },
            { "loadPercent", run.options.loadPercent }, { "entries", run.options.entries },
            { "seed", run.options.seed }, { "arrived", result.arrived }, { "completed", result.completed },
            { "failed", result.failed }, { "refused", result.refused }, { "p50", result.p50 }, { "p99", result.p99 },
            { "messagesPerTask", result.messagesPerTask },
            { "messagesPerTaskWithHeartbeats", result.messagesWithHeartbeats },
            { "wastedPercent", result.wastedPercent }, { "kinds", std::move(kinds) } });
    }
    return boost::json::serialize(list);
}

}
