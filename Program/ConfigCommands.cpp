#include "Program/ChangeProposal.h"
#include "Program/Commands.h"
#include "Program/ConfigurationOperations.h"
#include "celeryswitch/Report/Table.h"
#include <algorithm>
#include <boost/json/parse.hpp>

namespace celeryswitch::Program {

namespace {

const std::string usage = std::string(R"(Shows and changes the configuration of the fleet.

Usage:
  celeryswitch config show [options]
  celeryswitch config set [options] KEY VALUE
  celeryswitch config reset [options] KEY
  celeryswitch config history [options]
  celeryswitch config exceptions list [options]
  celeryswitch config exceptions add [options] SCOPE NAME KEY VALUE
  celeryswitch config exceptions remove [options] ID

SCOPE is service, kind, team, endpoint or dataCentre, NAME the name of that service, kind and so on. "config show" lists
the keys with their units and ranges. A change is accepted or rejected as a whole.

Options:
  --id ID          Identity of a new exception; SCOPE-NAME-KEY when left out.
)") + changeOptions
    + operatorOptions;

Report::Table defaultsTable(const Configuration::ConfigurationDocument& document)
{
    Report::Table table({ "key", "value", "builtIn", "minimum", "maximum", "unit", "exceptions" });
    for (const auto& [key, name] : Core::EnumTable<Configuration::ConfigurationKey>::names) {
        const Configuration::KeyDescription& description = Configuration::keyDescription(key);
        const auto exceptions = std::count_if(document.exceptions.begin(), document.exceptions.end(),
            [key = key](const Configuration::ConfigurationException& exception) { return exception.key == key; });
        table.addRow({ std::string(name), std::to_string(document.value(key)), std::to_string(description.builtIn),
            std::to_string(description.minimum), std::to_string(description.maximum), std::string(description.unit),
            std::to_string(exceptions) });
    }
    return table;
}

Report::Table exceptionsTable(const Configuration::ConfigurationDocument& document)
{
    Report::Table table({ "id", "scope", "name", "key", "value", "reason" });
    for (const Configuration::ConfigurationException& exception : document.exceptions)
        table.addRow({ exception.exceptionId, std::string(Core::enumName(exception.scopeKind)), exception.scopeName,
            std::string(Core::enumName(exception.key)), std::to_string(exception.value), exception.reason });
    return table;
}

Core::Result<Configuration::ConfigurationKey> keyOf(const CommandLine& line)
{
    const auto key = Core::enumValue<Configuration::ConfigurationKey>(line.text("KEY"));
    if (!key)
        return failure(ExitCode::Usage,
            "KEY = \"" + line.text("KEY") + "\": there is no such key; \"celeryswitch config show\" lists them");
    return *key;
}

Core::Result<std::int64_t> valueOf(const CommandLine& line, Configuration::ConfigurationKey key)
{
    const Configuration::KeyDescription& description = Configuration::keyDescription(key);
    return line.integer("VALUE", description.minimum, description.maximum);
}

Core::Result<boost::json::array> operationsOf(const CommandLine& line)
{
    if (line.has("remove"))
        return boost::json::array { removeExceptionOperation(line.text("ID")) };
    BOOST_OUTCOME_TRY(const Configuration::ConfigurationKey key, keyOf(line));
    if (line.has("reset"))
        return boost::json::array { resetOperation(key) };
    BOOST_OUTCOME_TRY(const std::int64_t value, valueOf(line, key));
    if (line.has("set"))
        return boost::json::array { setOperation(key, value) };
    const auto scope = Core::enumValue<Configuration::ScopeKind>(line.text("SCOPE"));
    if (!scope)
        return failure(ExitCode::Usage,
            "SCOPE = \"" + line.text("SCOPE") + "\": give service, kind, team, endpoint or dataCentre");
    std::string id = line.text("--id");
    if (id.empty())
        id = line.text("SCOPE") + "-" + line.text("NAME") + "-" + line.text("KEY");
    return boost::json::array { addExceptionOperation(
        { id, *scope, line.text("NAME"), key, value, line.text("--reason") }) };
}

CommandResult show(const StateSession& session, const CommandLine& line)
{
    BOOST_OUTCOME_TRY(const Messages::FleetView view, fetchView(session));
    BOOST_OUTCOME_TRY(const Configuration::ConfigurationDocument document, configurationOf(view));
    const Report::Table exceptions = exceptionsTable(document);
    if (line.has("exceptions"))
        return print(line.has("--json") ? exceptions.json() + "\n" : exceptions.text());
    const Report::Table defaults = defaultsTable(document);
    const std::string version = std::to_string(view.configurationVersion);
    if (line.has("--json"))
        return print("{\"version\":" + version + ",\"defaults\":" + defaults.json()
            + ",\"exceptions\":" + exceptions.json() + "}\n");
    return print("version " + version + "\n\n" + defaults.text() + "\n" + exceptions.text());
}

}

CommandResult runConfig(const std::vector<std::string>& arguments)
{
    BOOST_OUTCOME_TRY(const CommandLine line, CommandLine::parse(usage, arguments));
    if (line.isHelp())
        return ExitCode::Ok;
    if (line.has("history"))
        return runAudit(
            { "audit", "list", "--settings", line.text("--settings"), line.has("--json") ? "--json" : "--table" });
    BOOST_OUTCOME_TRY(const StateSession session, StateSession::open(line.text("--settings")));
    if (line.has("show") || line.has("list"))
        return show(session, line);
    BOOST_OUTCOME_TRY(const boost::json::array operations, operationsOf(line));
    return proposeChange(session, line, operations);
}

}
