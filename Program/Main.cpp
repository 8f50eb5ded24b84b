#include "Program/Commands.h"
#include <array>
#include <csignal>
#include <cstdio>

namespace {

using namespace celeryswitch::Program;

// A command word, its function and one line of help.
struct Command {
    std::string_view word;
    CommandFunction run;
    std::string_view help;
};

constexpr std::array<Command, 17> commands { {
    { "entry", runRole, "run an entry: accepts jobs from callers and places their tasks" },
    { "sidecar", runRole, "run a sidecar beside an endpoint" },
    { "state", runRole, "run a state replica" },
    { "platform", runPlatform, "run an entry, sidecar or state replica on the users' platform" },
    { "check", runCheck, "check a settings file and report every problem" },
    { "config", runConfig, "show and change the configuration of the fleet" },
    { "drain", runMembers, "stop new work for an endpoint, or let it come back" },
    { "evacuate", runEvacuate, "stop new work in a data centre, or let it come back" },
    { "members", runMembers, "list members and replicas, replace a replica" },
    { "job", runJob, "show or cancel a job" },
    { "report", runReport, "print what ran, failed and never started" },
    { "audit", runAudit, "list or verify the audit trail" },
    { "explain", runExplain, "tell the story of one request from the logs of all processes" },
    { "load", runLoad, "put load on entries and check every answer" },
    { "experiment", runExperiment, "run a workload on the virtual clock" },
    { "scenario", runScenario, "run scenarios of real processes" },
    { "help", nullptr, "print this text" },
} };

std::string helpText()
{
    std::string text = "celeryswitch dispatches sub-second tasks from callers to endpoints.\n\n"
                       "Usage:\n  celeryswitch COMMAND [ARGUMENTS]\n  celeryswitch COMMAND --help\n"
                       "  celeryswitch --help | --version\n\nCommands:\n";
    for (const Command& command : commands)
        text += "  " + std::string(command.word) + std::string(12 - command.word.size(), ' ')
            + std::string(command.help) + "\n";
    return text
        + "\nExit codes: 0 done, 1 failed, 2 wrong command line, 3 invalid settings, 4 unreachable, 5 refused.\n";
}

int fail(const celeryswitch::Core::Error& error)
{
    std::fprintf(stderr, "celeryswitch: %s: %s\n", std::string(error.code()).c_str(), error.detail().c_str());
    for (const auto& [code, name] : celeryswitch::Core::EnumTable<ExitCode>::names) {
        if (error.is(code))
            return static_cast<int>(code);
    }
    return static_cast<int>(ExitCode::Failed);
}

}

int main(int count, char** values)
{
    // A reader of standard output that has left shows as a failed write.
    std::signal(SIGPIPE, SIG_IGN);
    const std::vector<std::string> arguments(values + 1, values + count);
    if (arguments.empty() || arguments[0] == "--help" || arguments[0] == "-h" || arguments[0] == "help") {
        std::fputs(helpText().c_str(), arguments.empty() ? stderr : stdout);
        return static_cast<int>(arguments.empty() ? ExitCode::Usage : ExitCode::Ok);
    }
    if (arguments[0] == "--version") {
        std::puts("celeryswitch " CELERYSWITCH_VERSION);
        return 0;
    }
    for (const Command& command : commands) {
        if (command.word != arguments[0])
            continue;
        const CommandResult result = command.run(arguments);
        return result ? static_cast<int>(result.value()) : fail(result.error());
    }
    return fail({ ExitCode::Usage, "there is no command \"" + arguments[0] + "\"; celeryswitch --help lists them" });
}
