#include "celeryswitch/Report/ReportWriter.h"
#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

using namespace celeryswitch;
using Messages::TaskOutcome;
using Messages::TaskReason;

namespace {

const std::vector<Messages::ReportRow> rows {
    { "ordering", "stock-check", "recife", 100, TaskOutcome::Succeeded, TaskReason::None, 10 },
    { "ordering", "stock-check", "recife", 101, TaskOutcome::Failed, TaskReason::EndpointError, 2 },
    { "ordering", "quote", "salvador", 101, TaskOutcome::Unconfirmed, TaskReason::SidecarLost, 1 },
    { "register", "checkout", "<b>\"x\"&", 102, TaskOutcome::NeverStarted, TaskReason::QueueFull, 4 },
};

}

// Guards against tasks that are counted twice or not at all in one of the sums.
TEST_CASE("report sums agree and follow the filter", "[Report]")
{
    const Report::ReportSums all(rows, { "", "", "", 0, 1000 });
    REQUIRE(all.total().total() == 17);
    for (const Report::Agreement& agreement : all.agreements())
        REQUIRE(agreement.isMet());
    const Report::ReportSums filtered(rows, { "ordering", "", "recife", 101, 102 });
    REQUIRE(filtered.total().failed == 2);
    REQUIRE(filtered.total().total() == 2);
}

// Guards against names from callers that become markup in the page.
TEST_CASE("the HTML report escapes names and needs no other file", "[Report]")
{
    const Report::ReportSums sums(rows, { "", "", "", 0, 1000 });
    const std::string page = Report::ReportWriter(sums, 0).html();
    REQUIRE(page.find("<b>") == std::string::npos);
    REQUIRE(page.find("&lt;b&gt;&quot;x&quot;&amp;") != std::string::npos);
    REQUIRE(page.find("http") == std::string::npos);
    REQUIRE(page.find("<svg") != std::string::npos);
}

// Guards against a report that hides what did not run, and against JSON that programs can't read.
TEST_CASE("text and JSON reports state every outcome and reason", "[Report]")
{
    const Report::ReportSums sums(rows, { "", "", "", 0, 1000 });
    const std::string text = Report::ReportWriter(sums, 0).text();
    REQUIRE(text.find("Of 17 tasks, 12 ran with a known result (10 succeeded, 2 failed), 1 started or may have started "
                      "without a known result, and 4 never started.")
        != std::string::npos);
    REQUIRE(text.find("queue-full") != std::string::npos);
    const boost::json::value json = boost::json::parse(Report::ReportWriter(sums, 0).json());
    REQUIRE(json.at("Reasons").as_array().size() == 4);
    REQUIRE(json.at("Teams").at(0).at("team").as_string() == "<b>\"x\"&");
}

// Guards against cells that break a line of CSV or that a spreadsheet runs as a formula.
TEST_CASE("CSV cells are quoted and formulas are disarmed", "[Report]")
{
    Report::Table table({ "name", "count" });
    table.addRow({ "=1+1", "-5" });
    table.addRow({ "a,\"b\"\n", "0.5" });
    REQUIRE(table.csv() == "name,count\r\n'=1+1,-5\r\n\"a,\"\"b\"\"\n\",0.5\r\n");
    REQUIRE(boost::json::parse(table.json()).at(1).at("count").as_double() == 0.5);
}
