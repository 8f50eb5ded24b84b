#include "Program/CommandLine.h"
#include "Program/Commands.h"
#include "Program/StateSession.h"
#include "celeryswitch/Configuration/AuditTrail.h"
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

// Index of a record, or 0 when it has none.
std::uint64_t indexOf(const std::string& record)
{
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(record, error);
    const boost::json::object* object = error ? nullptr : value.if_object();
    const boost::json::value* index = object ? object->if_contains("index") : nullptr;
    return index && index->is_int64() && index->as_int64() > 0 ? static_cast<std::uint64_t>(index->as_int64()) : 0;
}

// Every record that the replicas keep. The oldest may have been dropped, so each page begins after the last index seen.
Core::Result<std::vector<std::string>> fetchRecords(const StateSession& session)
{
    std::vector<std::string> records;
    for (std::uint64_t nextIndex = 1; nextIndex != 0;) {
        BOOST_OUTCOME_TRY(const Messages::AuditAnswer page,
            session.ask<Messages::AuditAnswer>(Messages::QueryAudit { nextIndex, pageSize }));
        records.insert(records.end(), page.records.begin(), page.records.end());
        const std::uint64_t lastIndex = page.records.empty() ? 0 : indexOf(page.records.back());
        nextIndex = lastIndex >= nextIndex ? lastIndex + 1 : 0;
    }
    return records;
}

CommandResult verify(const std::vector<std::string>& records, bool isJson)
{
    const Core::Result<void> result = Configuration::AuditTrail::verify(records);
    if (!result)
        return failure(ExitCode::Failed, result.error().message() + "; keep the data folders of all replicas");
    const std::string count = std::to_string(records.size());
    return print(
        isJson ? "{\"records\":" + count + ",\"isWhole\":true}\n" : count + " records, none missing or altered\n");
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
    Report::Table table({ "time", "author", "from", "to", "outcome", "reason", "before", "after" });
    for (const std::string& record : records) {
        boost::system::error_code error;
        const boost::json::value value = boost::json::parse(record, error);
        if (error || !value.is_object())
            return failure(ExitCode::Failed, "an audit record is no JSON object; run \"celeryswitch audit verify\"");
        const boost::json::object& object = value.as_object();
        table.addRow({ memberText(object, "time"), memberText(object, "author"), memberText(object, "fromVersion"),
            memberText(object, "toVersion"), memberText(object, "outcome"), memberText(object, "reason"),
            memberText(object, "before"), memberText(object, "after") });
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
    return verify(records, line.has("--json"));
}

}
