#include "Program/CommandLine.h"
#include "Program/Commands.h"
#include "celeryswitch/Load/LoadRun.h"
#include <csignal>

namespace celeryswitch::Program {

namespace {

const char* const usage = R"(Puts a workload on entries, open loop, and checks every answer.

Usage:
  celeryswitch load [options] WORKLOAD

Options:
  --entries LIST     HTTP addresses of entries, as 127.0.0.1:8080,127.0.0.1:8081.
  --journals LIST    Journals of the fake endpoints; their starts are compared with the answers.
  --slots N          Slots of the fleet; the workload's own when left out.
  --phase NAME       Only this phase of the workload.
  --seconds N        Length of the run; the phases are scaled to it.
  --load PERCENT     Offered work in percent of all slots, in place of the phases' own.
  --callers N        Callers [default: 32].
  --teams N          Teams [default: 4].
  --threads N        Threads of this tool [default: 2].
  --deadline-ms N    Deadline of every job, 0 for none [default: 0].
  --patience N       Seconds after which a job without an answer is given up [default: 60].
  --seed N           Seed of the arrivals [default: 1].
  --token TOKEN      Bearer token for the entries.
  --json             Print JSON.

The exit code is 1 when a check fails.
)";

std::atomic<bool> isStopped { false };

Core::Result<std::vector<Load::PhaseDescription>> phasesOf(const Load::Workload& workload, const CommandLine& line)
{
    std::vector<Load::PhaseDescription> phases;
    Core::Duration total {};
    for (const Load::PhaseDescription& phase : workload.phases) {
        if (line.text("--phase").empty() || line.text("--phase") == phase.name) {
            phases.push_back(phase);
            total += phase.duration;
        }
    }
    if (phases.empty())
        return failure(ExitCode::Usage, "--phase = \"" + line.text("--phase") + "\": the workload has no such phase");
    if (!line.text("--seconds").empty()) {
        BOOST_OUTCOME_TRY(const double seconds, line.number("--seconds", 86400));
        const double scale = seconds / std::chrono::duration<double>(total).count();
        for (Load::PhaseDescription& phase : phases)
            phase.duration = std::chrono::duration_cast<Core::Duration>(phase.duration * scale);
    }
    if (!line.text("--load").empty()) {
        BOOST_OUTCOME_TRY(const double percent, line.number("--load", 10000));
        for (Load::PhaseDescription& phase : phases)
            phase.loadPercent = percent;
    }
    return phases;
}

Core::Result<Load::LoadSettings> settingsOf(const CommandLine& line)
{
    Load::LoadSettings settings;
    Core::Result<Load::Workload> workload = Load::readWorkload(line.text("WORKLOAD"));
    if (!workload)
        return failure(ExitCode::InvalidSettings, workload.error().message());
    settings.workload = std::move(workload.value());
    BOOST_OUTCOME_TRY(settings.phases, phasesOf(settings.workload, line));
    settings.entries = line.list("--entries");
    if (settings.entries.empty())
        return failure(ExitCode::Usage, "--entries is missing; give the HTTP address of at least one entry");
    settings.journals = line.list("--journals");
    settings.token = line.text("--token");
    settings.slots = settings.workload.service.workers * settings.workload.service.slotsPerWorker;
    if (!line.text("--slots").empty()) {
        BOOST_OUTCOME_TRY(const std::int64_t slots, line.integer("--slots", 1, 1'000'000));
        settings.slots = static_cast<std::uint32_t>(slots);
    }
    BOOST_OUTCOME_TRY(const std::int64_t callers, line.integer("--callers", 1, 1'000'000));
    BOOST_OUTCOME_TRY(const std::int64_t teams, line.integer("--teams", 1, 10'000));
    BOOST_OUTCOME_TRY(const std::int64_t threads, line.integer("--threads", 1, 64));
    BOOST_OUTCOME_TRY(const std::int64_t deadline, line.integer("--deadline-ms", 0, 86'400'000));
    BOOST_OUTCOME_TRY(const std::int64_t patience, line.integer("--patience", 1, 86'400));
    BOOST_OUTCOME_TRY(const std::int64_t seed, line.integer("--seed", 0, 1'000'000'000));
    settings.callers = static_cast<std::uint32_t>(callers);
    settings.teams = static_cast<std::uint32_t>(teams);
    settings.threads = static_cast<std::uint32_t>(threads);
    settings.deadline = std::chrono::milliseconds(deadline);
    settings.patience = std::chrono::seconds(patience);
    settings.seed = static_cast<std::uint64_t>(seed);
    return settings;
}

}

CommandResult runLoad(const std::vector<std::string>& arguments)
{
    BOOST_OUTCOME_TRY(const CommandLine line, CommandLine::parse(usage, arguments));
    if (line.isHelp())
        return ExitCode::Ok;
    BOOST_OUTCOME_TRY(const Load::LoadSettings settings, settingsOf(line));
    // The first interrupt ends the submissions and still prints what was measured; the second ends the process.
    std::signal(SIGINT, [](int) {
        isStopped = true;
        std::signal(SIGINT, SIG_DFL);
    });
    const Load::LoadOutcome outcome = Load::runLoad(settings, isStopped);
    BOOST_OUTCOME_TRY(
        print(line.has("--json") ? Load::outcomeJson(settings, outcome) : Load::outcomeText(settings, outcome)));
    return outcome.isPassed() ? ExitCode::Ok : ExitCode::Failed;
}

}
