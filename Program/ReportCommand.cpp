#include "Program/CommandLine.h"
#include "Program/Commands.h"
#include "Program/StateSession.h"
#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Report/ReportWriter.h"
#include <cstdio>
#include <ctime>
#include <fstream>

namespace celeryswitch::Program {

namespace {

const std::string usage = std::string(R"(Prints what ran, what failed, what never started and why.

Usage:
  celeryswitch report [options]

Options:
  --service NAME   Only this service.
  --kind NAME      Only this kind of work.
  --team NAME      Only this team.
  --from TIME      First minute, UTC, as 2026-01-31T08:00; the beginning when left out.
  --to TIME        Minute after the last one; now when left out.
  --format FORMAT  text, json, csv or html [default: text].
  --output FILE    Write to this file instead of standard output.
)") + operatorOptions;

// Minutes since 1970 of "2026-01-31T08:00" or "2026-01-31".
Core::Result<std::int64_t> minuteOf(const std::string& name, const std::string& text, std::int64_t builtIn)
{
    if (text.empty())
        return builtIn;
    std::tm parts {};
    int used = 0;
    const int fields = std::sscanf(text.c_str(), "%4d-%2d-%2dT%2d:%2d%n", &parts.tm_year, &parts.tm_mon, &parts.tm_mday,
        &parts.tm_hour, &parts.tm_min, &used);
    const bool isWhole = fields == 5 && static_cast<std::size_t>(used) == text.size();
    const bool isInRange = parts.tm_year >= 1970 && parts.tm_mon >= 1 && parts.tm_mon <= 12 && parts.tm_mday >= 1
        && parts.tm_mday <= 31 && parts.tm_hour >= 0 && parts.tm_hour <= 23 && parts.tm_min >= 0 && parts.tm_min <= 59;
    if (!isWhole || !isInRange)
        return failure(ExitCode::Usage, name + " = \"" + text + "\": give a UTC time as 2026-01-31T08:00");
    parts.tm_year -= 1900;
    parts.tm_mon -= 1;
    return static_cast<std::int64_t>(timegm(&parts)) / 60;
}

// The function that writes a format, so that a wrong name is found before any request is sent.
using Format = std::string (Report::ReportWriter::*)() const;

Core::Result<Format> formatOf(const std::string& name)
{
    if (name == "text")
        return &Report::ReportWriter::text;
    if (name == "json")
        return &Report::ReportWriter::json;
    if (name == "csv")
        return &Report::ReportWriter::csv;
    if (name == "html")
        return &Report::ReportWriter::html;
    return failure(ExitCode::Usage, "--format = \"" + name + "\": give text, json, csv or html");
}

CommandResult save(const std::string& file, const std::string& content)
{
    std::ofstream stream(file, std::ios::binary | std::ios::trunc);
    stream << content;
    stream.close();
    if (!stream)
        return failure(
            ExitCode::Failed, "--output = \"" + file + "\" can't be written; check the folder and its space");
    return ExitCode::Ok;
}

}

CommandResult runReport(const std::vector<std::string>& arguments)
{
    BOOST_OUTCOME_TRY(const CommandLine line, CommandLine::parse(usage, arguments));
    if (line.isHelp())
        return ExitCode::Ok;
    const std::int64_t now = Core::toUnixMilliseconds(Core::SystemClock().wallNow());
    Report::ReportFilter filter { line.text("--service"), line.text("--kind"), line.text("--team"), 0, 0 };
    BOOST_OUTCOME_TRY(filter.fromMinute, minuteOf("--from", line.text("--from"), 0));
    BOOST_OUTCOME_TRY(filter.toMinute, minuteOf("--to", line.text("--to"), now / 60000 + 1));
    BOOST_OUTCOME_TRY(const Format format, formatOf(line.has("--json") ? "json" : line.text("--format")));
    BOOST_OUTCOME_TRY(const StateSession session, StateSession::open(line.text("--settings")));
    BOOST_OUTCOME_TRY(const Messages::ReportAnswer answer,
        session.ask<Messages::ReportAnswer>(
            Messages::QueryReport { filter.service, filter.fromMinute, filter.toMinute }));
    if (filter.fromMinute == 0 && !answer.rows.empty()) {
        filter.fromMinute = answer.rows.front().minute;
        for (const Messages::ReportRow& row : answer.rows)
            filter.fromMinute = std::min(filter.fromMinute, row.minute);
    }
    const Report::ReportSums sums(answer.rows, filter);
    const std::string content = (Report::ReportWriter(sums, now).*format)();
    BOOST_OUTCOME_TRY(line.text("--output").empty() ? print(content) : save(line.text("--output"), content));
    for (const Report::Agreement& agreement : sums.agreements()) {
        if (!agreement.isMet())
            return failure(
                ExitCode::Failed, "the sums of " + agreement.description + " disagree; keep the data folders");
    }
    return ExitCode::Ok;
}

}
