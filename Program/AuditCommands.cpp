#include "Program/CommandLine.h"
#include "Program/Commands.h"
#include "Program/StateSession.h"
#include "celeryswitch/Report/Table.h"
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace celeryswitch::Program {

namespace {

const std::string usage = std::string(R"(Lists the audit trail, or verifies that no record is missing or altered.

Usage:
  celeryswitch audit list [options]
  celeryswitch audit verify [options]

Options:
  --table          Print aligned columns; the default.
)") + operatorOptions;

constexpr std::uint32_t pageSize = 1000;

Core::Result<std::vector<std::string>> fetchRecords(const StateSession& session)
{
    std::vector<std::string> records;
    for (;;) {
        BOOST_OUTCOME_TRY(Messages::AuditAnswer page,
            session.ask<Messages::AuditAnswer>(Messages::QueryAudit { records.size(), pageSize }));
        if (page.records.empty())
            return records;
        records.insert(records.end(), page.records.begin(), page.records.end());
    }
}

// Text of a member of a record, whatever its type.
std::string memberText(const boost::json::object& record, const char* name)
{
    const boost::json::value* value = record.if_contains(name);
    if (value == nullptr)
        return {};
    return value->is_string() ? std::string(value->as_string()) : boost::json::serialize(*value);
}

CommandResult list(const std::vector<std::string>& records, bool isJson)
{
    if (isJson) {
        std::string text = "[";
        for (const std::string& record : records)
            text += (text.size() > 1 ? ",\n " : "\n ") + record;
        return print(text + "]\n");
    }
    Report::Table table({ "when", "who", "from", "to", "outcome", "reason" });
    for (const std::string& record : records) {
        boost::system::error_code error;
        const boost::json::value value = boost::json::parse(record, error);
        if (error || !value.is_object())
            return failure(ExitCode::Failed, "an audit record is no JSON object; run \"celeryswitch audit verify\"");
        const boost::json::object& object = value.as_object();
        table.addRow({ memberText(object, "when"), memberText(object, "who"), memberText(object, "fromVersion"),
            memberText(object, "toVersion"), memberText(object, "outcome"), memberText(object, "reason") });
    }
    return print(table.text());
}

}

CommandResult runAudit(const std::vector<std::string>& arguments)
{
    BOOST_OUTCOME_TRY(const CommandLine line, CommandLine::parse(usage, arguments));
    if (line.isHelp())
        return ExitCode::Ok;
    BOOST_OUTCOME_TRY(const StateSession session, StateSession::open(line.text("--settings")));
    BOOST_OUTCOME_TRY(const std::vector<std::string> records, fetchRecords(session));
    if (line.has("list"))
        return list(records, line.has("--json"));
    return failure(ExitCode::Failed, "audit verify is not built yet");
}

}
