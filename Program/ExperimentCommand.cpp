#include "Program/CommandLine.h"
#include "Program/Commands.h"
#include "celeryswitch/Experiment/ExperimentOptions.h"
#include "celeryswitch/Report/Table.h"

namespace celeryswitch::Program {

namespace {

using Report::numberText;

const char* const usage = R"(Runs a workload on the virtual clock; the same options give the same figures.

Usage:
  celeryswitch experiment [options] WORKLOAD

Options:
  --strategy NAME       slot-credits, probes, expected-wait or late-binding [default: slot-credits].
  --mix NAME            Job sizes: single, batched or mixed [default: single].
  --load PERCENT        Offered work in percent of all slots [default: 70].
  --seconds N           Measured span of virtual time [default: 300].
  --warm-up N           Seconds before it [default: 30].
  --entries N           Entry instances [default: 3].
  --flood-kind NAME     Kind that floods from the end of the warm-up on.
  --flood-factor N      Its arrivals are multiplied by this [default: 10].
  --fault NAME          none, fails-everything, dies, straggles or stalls [default: none].
  --faulty-workers N    Workers with the fault [default: 0].
  --seed N              Seed of every random choice [default: 1].
  --json                Print JSON.
)";

template <typename E> Core::Result<E> named(const CommandLine& line, const std::string& option)
{
    const std::optional<E> value = Core::enumValue<E>(line.text(option));
    if (value)
        return *value;
    std::string names;
    for (const auto& entry : Core::EnumTable<E>::names)
        names += (names.empty() ? "" : ", ") + std::string(entry.second);
    return failure(ExitCode::Usage, option + " = \"" + line.text(option) + "\": give one of " + names);
}

Core::Result<void> readFault(const CommandLine& line, Experiment::ExperimentOptions& options)
{
    BOOST_OUTCOME_TRY(options.fault, named<Experiment::WorkerFault>(line, "--fault"));
    BOOST_OUTCOME_TRY(
        const std::int64_t workers, line.integer("--faulty-workers", 0, options.workload.service.workers));
    options.faultyWorkers = static_cast<std::uint32_t>(workers);
    BOOST_OUTCOME_TRY(options.floodFactor, line.number("--flood-factor", 1000));
    if (line.text("--flood-kind").empty())
        return Core::success();
    options.floodKind = line.text("--flood-kind");
    for (const Load::KindDescription& kind : options.workload.kinds) {
        if (kind.name == *options.floodKind)
            return Core::success();
    }
    return failure(ExitCode::Usage, "--flood-kind = \"" + *options.floodKind + "\": the workload has no such kind");
}

Core::Result<Experiment::ExperimentOptions> optionsOf(const CommandLine& line)
{
    Experiment::ExperimentOptions options;
    Core::Result<Load::Workload> workload = Load::readWorkload(line.text("WORKLOAD"));
    if (!workload)
        return failure(ExitCode::InvalidSettings, workload.error().message());
    options.workload = std::move(workload.value());
    BOOST_OUTCOME_TRY(options.strategy, named<Experiment::StrategyKind>(line, "--strategy"));
    BOOST_OUTCOME_TRY(options.mix, named<Experiment::JobMix>(line, "--mix"));
    BOOST_OUTCOME_TRY(options.loadPercent, line.number("--load", 1000));
    BOOST_OUTCOME_TRY(const std::int64_t seconds, line.integer("--seconds", 1, 86'400));
    BOOST_OUTCOME_TRY(const std::int64_t warmUp, line.integer("--warm-up", 0, 86'400));
    BOOST_OUTCOME_TRY(const std::int64_t entries, line.integer("--entries", 1, 16));
    BOOST_OUTCOME_TRY(const std::int64_t seed, line.integer("--seed", 0, INT64_MAX));
    options.duration = std::chrono::seconds(seconds);
    options.warmUp = std::chrono::seconds(warmUp);
    options.entries = static_cast<std::uint32_t>(entries);
    options.seed = static_cast<std::uint64_t>(seed);
    BOOST_OUTCOME_TRY(readFault(line, options));
    return options;
}

Report::Table kindsOf(const Experiment::ExperimentResult& result)
{
    Report::Table table(
        { "kind", "arrived", "completed", "failed", "refused", "idealP50", "idealP99", "responseP99Ms" });
    for (const Experiment::KindResult& kind : result.kinds)
        table.addRow({ kind.name, std::to_string(kind.arrived), std::to_string(kind.completed),
            std::to_string(kind.failed), std::to_string(kind.refused), numberText(kind.p50, 4), numberText(kind.p99, 4),
            numberText(kind.responseP99, 1) });
    return table;
}

Report::Table totalsOf(const Experiment::ExperimentResult& result)
{
    Report::Table table({ "arrived", "completed", "failed", "refused", "idealP50", "idealP99", "messagesPerTask",
        "messagesWithHeartbeats", "wastedPercent" });
    table.addRow({ std::to_string(result.arrived), std::to_string(result.completed), std::to_string(result.failed),
        std::to_string(result.refused), numberText(result.p50, 4), numberText(result.p99, 4),
        numberText(result.messagesPerTask, 4), numberText(result.messagesWithHeartbeats, 4),
        numberText(result.wastedPercent, 4) });
    return table;
}

}

CommandResult runExperiment(const std::vector<std::string>& arguments)
{
    BOOST_OUTCOME_TRY(const CommandLine line, CommandLine::parse(usage, arguments));
    if (line.isHelp())
        return ExitCode::Ok;
    BOOST_OUTCOME_TRY(const Experiment::ExperimentOptions options, optionsOf(line));
    const Experiment::ExperimentResult result = Experiment::runExperiment(options);
    if (line.has("--json"))
        return print("{\"kinds\":" + kindsOf(result).json() + ",\n\"totals\":" + totalsOf(result).json() + "}\n");
    return print(kindsOf(result).text() + "\n" + totalsOf(result).text());
}

}
