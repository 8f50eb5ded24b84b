#include "Program/CommandLine.h"
#include "Program/Commands.h"
#include "celeryswitch/Report/Table.h"
#include "celeryswitch/Settings/RoleDocuments.h"

namespace celeryswitch::Program {

namespace {

const char* const usage = R"(Checks a settings file whole and reports every problem.

Usage:
  celeryswitch check [options] FILE

Options:
  --role ROLE  entry, sidecar, state or operator; guessed from the keys of the file when left out.
  --json       Print the problems as JSON.
)";

// The role whose keys fit the file best.
Messages::Role guessedRole(const std::string& file)
{
    Messages::Role best = Messages::Role::Entry;
    std::size_t fewest = SIZE_MAX;
    for (Messages::Role role :
        { Messages::Role::Entry, Messages::Role::Sidecar, Messages::Role::State, Messages::Role::Operator }) {
        const std::size_t problems
            = Settings::SettingsDocument::fromFile(file, Settings::schemaOf(role)).problems().size();
        if (problems < fewest) {
            fewest = problems;
            best = role;
        }
    }
    return best;
}

Report::Table problemTable(const Settings::SettingsDocument& document)
{
    Report::Table table({ "file", "line", "key", "value", "problem" });
    for (const Settings::SettingsProblem& problem : document.problems())
        table.addRow({ problem.file, std::to_string(problem.line), problem.key, problem.value, problem.message });
    return table;
}

}

CommandResult runCheck(const std::vector<std::string>& arguments)
{
    BOOST_OUTCOME_TRY(const CommandLine line, CommandLine::parse(usage, arguments));
    if (line.isHelp())
        return ExitCode::Ok;
    const std::string file = line.text("FILE");
    Messages::Role role = guessedRole(file);
    if (!line.text("--role").empty()) {
        const std::optional<Messages::Role> named = Core::enumValue<Messages::Role>(line.text("--role"));
        if (!named)
            return failure(
                ExitCode::Usage, "--role = \"" + line.text("--role") + "\": give entry, sidecar, state or operator");
        role = *named;
    }
    const Settings::SettingsDocument document = Settings::loadDocument(file, role);
    if (line.has("--json")) {
        BOOST_OUTCOME_TRY(print(problemTable(document).json() + "\n"));
        return document.problems().empty() ? ExitCode::Ok : ExitCode::InvalidSettings;
    }
    BOOST_OUTCOME_TRY(checkProblems(document));
    return print(file + ": valid settings of role " + std::string(Core::enumName(role)) + "\n");
}

}
