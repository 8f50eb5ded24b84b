#include "celeryswitch/Report/ReportWriter.h"

#include "celeryswitch/Report/ReportPlot.h"
#include <ctime>

namespace celeryswitch::Report {

namespace {

std::vector<std::string> cellsOf(std::vector<std::string> names, const OutcomeCounts& counts)
{
    for (std::uint64_t count :
        { counts.total(), counts.succeeded, counts.failed, counts.unconfirmed, counts.neverStarted })
        names.push_back(std::to_string(count));
    return names;
}

Table countsTable(const std::string& name, const std::map<std::string, OutcomeCounts>& counts)
{
    Table table({ name, "tasks", "succeeded", "failed", "unconfirmed", "neverStarted" });
    for (const auto& [key, value] : counts)
        table.addRow(cellsOf({ key }, value));
    return table;
}

Table groupTable(const ReportSums& sums)
{
    Table table({ "service", "kind", "team", "tasks", "succeeded", "failed", "unconfirmed", "neverStarted" });
    for (const auto& [key, value] : sums.byGroup())
        table.addRow(cellsOf(key, value));
    return table;
}

Table reasonTable(const ReportSums& sums)
{
    Table table({ "outcome", "reason", "tasks" });
    for (const auto& [key, tasks] : sums.byReason())
        table.addRow(
            { std::string(Core::enumName(key.first)), std::string(Core::enumName(key.second)), std::to_string(tasks) });
    return table;
}

Table agreementTable(const ReportSums& sums)
{
    Table table({ "sums", "left", "right", "agree" });
    for (const Agreement& agreement : sums.agreements())
        table.addRow({ agreement.description, std::to_string(agreement.left), std::to_string(agreement.right),
            agreement.isMet() ? "yes" : "NO" });
    return table;
}

Table minuteTable(const ReportSums& sums)
{
    Table table({ "minute", "tasks", "succeeded", "failed", "unconfirmed", "neverStarted" });
    for (const auto& [minute, counts] : sums.byMinute())
        table.addRow(cellsOf({ minuteText(minute) }, counts));
    return table;
}

// Sections of the report in their order.
std::vector<std::pair<std::string, Table>> sectionsOf(const ReportSums& sums)
{
    return { { "Outcomes", countsTable("all", { { "all", sums.total() } }) },
        { "Services", countsTable("service", sums.byService()) }, { "Kinds", countsTable("kind", sums.byKind()) },
        { "Teams", countsTable("team", sums.byTeam()) }, { "Reasons", reasonTable(sums) },
        { "Services, kinds and teams", groupTable(sums) }, { "Minutes", minuteTable(sums) },
        { "Sums that must agree", agreementTable(sums) } };
}

std::string spanText(const ReportSums& sums)
{
    const ReportFilter& filter = sums.filter();
    return minuteText(filter.fromMinute) + " to " + minuteText(filter.toMinute) + " UTC"
        + (filter.service.empty() ? "" : ", service " + filter.service)
        + (filter.kind.empty() ? "" : ", kind " + filter.kind) + (filter.team.empty() ? "" : ", team " + filter.team);
}

// What the report amounts to, in one sentence.
std::string verdictText(const ReportSums& sums)
{
    for (const Agreement& agreement : sums.agreements()) {
        if (!agreement.isMet())
            return "The sums of " + agreement.description + " disagree: this report is wrong.";
    }
    const OutcomeCounts& total = sums.total();
    return "Of " + std::to_string(total.total()) + " tasks, " + std::to_string(total.succeeded + total.failed)
        + " ran with a known result (" + std::to_string(total.succeeded) + " succeeded, " + std::to_string(total.failed)
        + " failed), " + std::to_string(total.unconfirmed) + " started or may have started without a known result, and "
        + std::to_string(total.neverStarted) + " never started.";
}

std::string htmlTable(const Table& table)
{
    std::string html = "<div class=\"scroll\"><table><thead><tr>";
    for (const std::string& column : table.columns())
        html += "<th>" + htmlText(column) + "</th>";
    html += "</tr></thead><tbody>";
    for (const std::vector<std::string>& row : table.rows()) {
        html += "<tr>";
        for (const std::string& cell : row)
            html += "<td>" + htmlText(cell) + "</td>";
        html += "</tr>";
    }
    return html + "</tbody></table></div>\n";
}

const char* const pageStart = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width, initial-scale=1">
<title>celeryswitch report</title><style>
:root{color-scheme:light dark;--paper:#fff;--ink:#1c2024;--line:#d5d9dd}
@media(prefers-color-scheme:dark){:root{--paper:#16191c;--ink:#e6e8ea;--line:#3a4046}}
body{font:16px/1.5 system-ui,sans-serif;background:var(--paper);color:var(--ink);margin:0 auto;padding:1rem;max-width:60rem}
h1{font-size:1.4rem}h2{font-size:1.1rem;margin-top:2rem}
.scroll{overflow-x:auto}table{border-collapse:collapse;font-variant-numeric:tabular-nums}
th,td{padding:.25rem .6rem;border-bottom:1px solid var(--line);text-align:right}
th:first-child,td:first-child{text-align:left}svg{width:100%;height:auto;display:block}
svg text{fill:var(--ink);font:12px system-ui,sans-serif}.verdict{font-size:1.1rem}
</style></head><body>
)";

}

std::string minuteText(std::int64_t minute)
{
    const std::time_t seconds = static_cast<std::time_t>(minute) * 60;
    std::tm parts {};
    if (gmtime_r(&seconds, &parts) == nullptr)
        return "minute " + std::to_string(minute);
    char text[40];
    std::strftime(text, sizeof(text), "%Y-%m-%d %H:%M", &parts);
    return text;
}

ReportWriter::ReportWriter(const ReportSums& sums, std::int64_t createdAt)
    : sums(sums)
    , createdAt(createdAt)
{
}

std::string ReportWriter::text() const
{
    std::string result = "Report " + spanText(this->sums) + "\n" + verdictText(this->sums) + "\n";
    for (const auto& [title, table] : sectionsOf(this->sums))
        result += "\n" + title + "\n" + table.text();
    return result;
}

std::string ReportWriter::json() const
{
    std::string result = "{\"createdAt\":" + std::to_string(this->createdAt)
        + ",\"span\":" + jsonText(spanText(this->sums)) + ",\"verdict\":" + jsonText(verdictText(this->sums));
    for (const auto& [title, table] : sectionsOf(this->sums))
        result += ",\n" + jsonText(title) + ":" + table.json();
    return result + "}\n";
}

std::string ReportWriter::csv() const { return groupTable(this->sums).csv(); }

std::string ReportWriter::html() const
{
    std::string page = pageStart;
    page += "<h1>celeryswitch report</h1><p>" + htmlText(spanText(this->sums)) + ", written "
        + htmlText(minuteText(this->createdAt / 60000)) + " UTC</p><p class=\"verdict\">"
        + htmlText(verdictText(this->sums)) + "</p>\n";
    page += legend() + minutePlot(this->sums.byMinute()) + "<h2>Outcomes by kind</h2>" + barPlot(this->sums.byKind())
        + "<h2>Outcomes by team</h2>" + barPlot(this->sums.byTeam());
    for (const auto& [title, table] : sectionsOf(this->sums))
        page += "<h2>" + htmlText(title) + "</h2>" + htmlTable(table);
    return page + "</body></html>\n";
}

}
