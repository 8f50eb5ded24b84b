#include "celeryswitch/Load/FleetProbe.h"
#include "celeryswitch/Scenario/ScenarioRunner.h"
#include <boost/json.hpp>

namespace celeryswitch::Scenario {

namespace {

Core::Error unmet(const std::string& detail) { return Core::Error(ScenarioError::ExpectationFailed, detail); }

Core::JobId idOf(const JobRecord& record)
{
    return Core::makeJobId(record.submission.team, record.submission.caller, record.submission.idempotencyKey);
}

}

std::int64_t ScenarioRunner::version() const
{
    const CommandOutput shown = this->fleet.command({ "config", "show", "--json" });
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(shown.output, error);
    const boost::json::object* object = error ? nullptr : value.if_object();
    const boost::json::value* number = object ? object->if_contains("version") : nullptr;
    return number && number->is_int64() ? number->as_int64() : -1;
}

Core::Result<void> ScenarioRunner::change(const Step& step)
{
    for (std::int64_t index = 0; index < step.integer("count", 1); ++index) {
        // The value alternates, so that every change leaves something different.
        const std::int64_t value = step.integer("value") + index % 2;
        const CommandOutput output = this->fleet.command(
            { "config", "set", "--reason", "scenario", "--json", step.text("key"), std::to_string(value) });
        if (output.exitCode != 0)
            return unmet("change " + std::to_string(index + 1) + " ended with exit code "
                + std::to_string(output.exitCode) + "; see commands.log");
    }
    return Core::success();
}

Core::Result<void> ScenarioRunner::startRace(const Step& step)
{
    this->race = std::make_unique<Race>();
    this->race->before = this->version();
    if (this->race->before < 0)
        return unmet("config show did not answer");
    const std::string expected = std::to_string(this->race->before);
    const char* const values[2] = { "first", "second" };
    for (int side = 0; side < 2; ++side) {
        this->race->threads.emplace_back(
            [this, side, expected, key = step.text("key"), value = std::to_string(step.integer(values[side]))] {
                // A change without an answer is sent again as it was, with the same id, until its outcome is known.
                for (int attempt = 0; attempt < 5; ++attempt) {
                    this->race->outputs[side] = this->fleet.command({ "config", "set", "--reason", "race", "--json",
                        "--expected", expected, "--change-id", "race-" + std::to_string(side), key, value });
                    if (this->race->outputs[side].exitCode != 4)
                        return;
                }
            });
    }
    return Core::success();
}

Core::Result<void> ScenarioRunner::finishRace(const Step&)
{
    if (!this->race)
        return Core::Error(ScenarioError::Invalid, "no race runs");
    for (std::thread& thread : this->race->threads)
        thread.join();
    const int first = this->race->outputs[0].exitCode;
    const int second = this->race->outputs[1].exitCode;
    const bool hasOneWinner = (first == 0 && second == 5) || (first == 5 && second == 0);
    const std::int64_t before = this->race->before;
    this->race.reset();
    if (!hasOneWinner)
        return unmet(
            "exit codes " + std::to_string(first) + " and " + std::to_string(second) + " instead of one 0 and one 5");
    const std::int64_t after = this->version();
    if (after != before + 1)
        return unmet("version " + std::to_string(after) + " after " + std::to_string(before));
    return Core::success();
}

Core::Result<void> ScenarioRunner::replace(const Step& step)
{
    const std::string oldId = this->fleet.replicaId(step.text("process"));
    const std::string newId = this->fleet.replicaId(step.text("by"));
    std::string last;
    const bool isReplaced = waitUntil(step.within(), [&] {
        const CommandOutput output
            = this->fleet.command({ "members", "replace", oldId, newId, this->fleet.stateAddress(step.text("by")) });
        last = std::to_string(output.exitCode);
        return output.exitCode == 0;
    });
    if (!isReplaced)
        return unmet("members replace ended with exit code " + last + "; see commands.log");
    return Core::success();
}

Core::Result<void> ScenarioRunner::waitStarted(const Step& step)
{
    const std::optional<JobRecord> record = this->jobs.record(step.text("job"));
    if (!record)
        return Core::Error(ScenarioError::Invalid, "no job \"" + step.text("job") + "\" was submitted");
    const std::string prefix = Core::toString(idOf(*record)) + "/";
    std::int64_t started = 0;
    const bool isStarted = waitUntil(step.within(), [&] {
        started = 0;
        const auto starts = Load::startsOf(this->fleet.journals());
        for (const auto& [task, count] : starts ? *starts : std::unordered_map<std::string, std::uint64_t>())
            started += task.compare(0, prefix.size(), prefix) == 0 ? 1 : 0;
        return started >= step.integer("tasks", 1);
    });
    if (!isStarted)
        return unmet(
            std::to_string(started) + " tasks started; last news: " + this->jobs.record(step.text("job"))->lastNews);
    return Core::success();
}

Core::Result<void> ScenarioRunner::expectJob(const Step& step)
{
    const std::string state = step.text("state");
    std::optional<JobRecord> record;
    const bool isEnded = waitUntil(step.within(), [&] {
        record = this->jobs.record(step.text("job"));
        return record && !record->answers.empty() && (state == "any" || record->openRequests == 0);
    });
    if (!record)
        return Core::Error(ScenarioError::Invalid, "no job \"" + step.text("job") + "\" was submitted");
    if (!isEnded)
        return unmet("no final answer; last news: " + record->lastNews);
    const std::string_view given = Core::enumName(record->answers.front().state);
    if (state != "any" && state != given)
        return unmet("the job is " + std::string(given));
    return Core::success();
}

Core::Result<void> ScenarioRunner::expectVersion(const Step& step)
{
    std::int64_t shown = -1;
    const bool isMet = waitUntil(step.within(), [&] {
        shown = this->version();
        return shown == step.integer("version");
    });
    return isMet ? Core::Result<void>(Core::success()) : unmet("version is " + std::to_string(shown));
}

Core::Result<void> ScenarioRunner::expectAudit(const Step& step)
{
    std::string last;
    const bool isMet = waitUntil(step.within(), [&] {
        const CommandOutput output = this->fleet.command({ "audit", "verify" });
        last = "exit code " + std::to_string(output.exitCode) + " " + output.output;
        const std::string records = std::to_string(step.integer("records")) + " records";
        return output.exitCode == 0
            && (step.integer("records") == 0 || output.output.compare(0, records.size(), records) == 0);
    });
    return isMet ? Core::Result<void>(Core::success()) : unmet("audit verify: " + last);
}

Core::Result<void> ScenarioRunner::expectMember(const Step& step)
{
    const bool isMet = waitUntil(step.within(), [&] {
        const CommandOutput output = this->fleet.command({ "members", "--json" });
        return output.output.find("\"" + step.text("process") + "\"") != std::string::npos;
    });
    return isMet ? Core::Result<void>(Core::success()) : unmet(step.text("process") + " is no member");
}

Core::Result<void> ScenarioRunner::checkJob(
    const std::string& job, const JobRecord& record, const std::unordered_map<std::string, std::uint64_t>& starts) const
{
    for (const Messages::JobAnswer& answer : record.answers) {
        if (answer.results.size() != record.submission.tasks.size())
            return unmet(job + ": " + std::to_string(answer.results.size()) + " results");
        bool isComplete = true;
        for (const Messages::TaskResult& result : answer.results) {
            const auto found = starts.find(Core::toString(idOf(record)) + "/" + std::to_string(result.taskIndex));
            const std::uint64_t count = found == starts.end() ? 0 : found->second;
            const bool hasRun
                = result.outcome == Messages::TaskOutcome::Succeeded || result.outcome == Messages::TaskOutcome::Failed;
            isComplete = isComplete && hasRun;
            if ((hasRun && count == 0) || (result.outcome == Messages::TaskOutcome::NeverStarted && count != 0))
                return unmet(job + " task " + std::to_string(result.taskIndex) + " is "
                    + std::string(Core::enumName(result.outcome)) + " and was started " + std::to_string(count)
                    + " times");
            if (result.outcome != record.answers.front().results[result.taskIndex].outcome)
                return unmet(job + ": two answers disagree about task " + std::to_string(result.taskIndex));
        }
        if (isComplete != (answer.state == Messages::JobState::Complete))
            return unmet(job + ": state " + std::string(Core::enumName(answer.state)) + " does not fit the results");
    }
    return Core::success();
}

Core::Result<void> ScenarioRunner::checkPromises()
{
    const auto starts = Load::startsOf(this->fleet.journals());
    if (!starts)
        return unmet("a journal can't be read");
    for (const auto& [task, count] : *starts) {
        if (count > 1)
            return unmet("task " + task + " was started " + std::to_string(count) + " times");
    }
    for (const std::string& job : this->jobs.jobs()) {
        BOOST_OUTCOME_TRY(this->checkJob(job, *this->jobs.record(job), *starts));
    }
    return Core::success();
}

}
