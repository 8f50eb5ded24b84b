#include "Program/CommandLine.h"
#include "Program/Commands.h"
#include "celeryswitch/Report/Table.h"
#include "celeryswitch/Scenario/ScenarioRunner.h"
#include <filesystem>

namespace celeryswitch::Program {

namespace {

const char* const usage = R"(Runs scenarios of real processes on loopback.

Usage:
  celeryswitch scenario [options] FILE...

Options:
  --standins PROGRAM  The stand-ins; celeryswitch-standins beside this program when left out.
  --keep              Keep settings, logs and data of scenarios that passed.
  --json              Print the results as JSON.

The exit code is 1 when a scenario fails; its folder with settings and logs is then kept and named.
)";

std::string newFolder()
{
    std::string name = (std::filesystem::temp_directory_path() / "celeryswitch-scenario.XXXXXX").string();
    return mkdtemp(name.data()) == nullptr ? std::string() : name;
}

// Runs one scenario and returns what is wrong; empty when it passed.
std::string runOne(const Scenario::ScenarioFile& scenario, const CommandLine& line, const std::string& program)
{
    const std::string folder = newFolder();
    if (folder.empty())
        return "no folder for temporary files";
    std::string standIns = line.text("--standins");
    if (standIns.empty())
        standIns = (std::filesystem::path(program).parent_path() / "celeryswitch-standins").string();
    const auto log = [&](const std::string& text) {
        if (!line.has("--json"))
            static_cast<void>(print("  " + text + "\n"));
    };
    const Core::Result<void> result = Scenario::ScenarioRunner(scenario, { program, standIns, folder }, log).run();
    if (!result)
        return result.error().message() + "; logs are in " + folder;
    if (!line.has("--keep"))
        std::filesystem::remove_all(folder);
    return {};
}

}

CommandResult runScenario(const std::vector<std::string>& arguments)
{
    BOOST_OUTCOME_TRY(const CommandLine line, CommandLine::parse(usage, arguments));
    if (line.isHelp())
        return ExitCode::Ok;
    std::error_code error;
    const std::string program = std::filesystem::read_symlink("/proc/self/exe", error).string();
    Report::Table table({ "scenario", "result", "detail" });
    bool isPassed = true;
    for (const std::string& file : line.words("FILE")) {
        const Core::Result<Scenario::ScenarioFile> scenario = Scenario::readScenario(file);
        if (!scenario)
            return failure(ExitCode::InvalidSettings, scenario.error().detail());
        if (!line.has("--json")) {
            BOOST_OUTCOME_TRY(print(file + ": " + scenario.value().guardsAgainst + "\n"));
        }
        const std::string fault = runOne(scenario.value(), line, program);
        isPassed = isPassed && fault.empty();
        table.addRow({ scenario.value().name, fault.empty() ? "passed" : "FAILED", fault });
    }
    BOOST_OUTCOME_TRY(print(line.has("--json") ? table.json() + "\n" : table.text()));
    return isPassed ? ExitCode::Ok : ExitCode::Failed;
}

}
