#include "Program/CommandLine.h"
#include "Program/Commands.h"
#include "celeryswitch/Load/JobApiClient.h"
#include "celeryswitch/Report/Table.h"
#include "celeryswitch/Settings/RoleDocuments.h"
#include "celeryswitch/Settings/RoleSettings.h"

namespace celeryswitch::Program {

namespace {

const char* const usage = R"(Shows or cancels a job.

Usage:
  celeryswitch job show [options] TEAM CALLER KEY
  celeryswitch job cancel [options] TEAM CALLER KEY

Options:
  --settings FILE  Operator settings; entryAddresses names the entries [default: operator.toml].
  --json           Print the entry's answer as it is.
)";

std::string answerText(const Load::EntryAnswer& answer)
{
    if (answer.meaning == Load::AnswerMeaning::Running)
        return "running\n";
    Report::Table table({ "task", "outcome", "reason", "status", "runMs" });
    for (const Messages::TaskResult& result : answer.job.results)
        table.addRow({ std::to_string(result.taskIndex), std::string(Core::enumName(result.outcome)),
            std::string(Core::enumName(result.reason)), std::to_string(result.statusCode),
            Report::numberText(static_cast<double>(result.runMicroseconds) / 1000, 1) });
    return std::string(Core::enumName(answer.job.state)) + "\n" + table.text();
}

// The first answer that an entry gives.
Core::Result<Http::HttpResponse> callEntries(
    const Settings::OperatorSettings& settings, const Http::HttpRequest& request)
{
    std::string failures;
    for (const std::string& entry : settings.entryAddresses) {
        Core::Result<Http::HttpResponse> answer
            = Http::httpCall(entry, request, settings.requestTimeout, Load::longestJobAnswerBytes);
        if (answer)
            return answer;
        failures += "; " + answer.error().message();
    }
    return failure(ExitCode::Unreachable, "no entry answered; check entryAddresses" + failures);
}

}

CommandResult runJob(const std::vector<std::string>& arguments)
{
    BOOST_OUTCOME_TRY(const CommandLine line, CommandLine::parse(usage, arguments));
    if (line.isHelp())
        return ExitCode::Ok;
    const Settings::SettingsDocument document
        = Settings::loadDocument(line.text("--settings"), Messages::Role::Operator);
    BOOST_OUTCOME_TRY(checkProblems(document));
    const Settings::OperatorSettings settings = Settings::operatorSettings(document);
    const Load::JobName job { line.text("TEAM"), line.text("CALLER"), line.text("KEY") };
    const Http::HttpRequest request
        = line.has("cancel") ? Load::cancelRequest(job, settings.token) : Load::fetchRequest(job, 0, settings.token);
    BOOST_OUTCOME_TRY(const Http::HttpResponse http, callEntries(settings, request));
    const Load::EntryAnswer answer = Load::parseAnswer(http);
    if (line.has("--json")) {
        BOOST_OUTCOME_TRY(print(http.body + "\n"));
    }
    switch (answer.meaning) {
    case Load::AnswerMeaning::Ended:
    case Load::AnswerMeaning::Running:
        return line.has("--json") ? CommandResult(ExitCode::Ok) : print(answerText(answer));
    case Load::AnswerMeaning::Malformed:
        return failure(ExitCode::Failed, answer.reason + "; use the program of the entries' version");
    default:
        return failure(ExitCode::Refused, std::string(Core::enumName(answer.meaning)) + ": " + answer.reason);
    }
}

}
