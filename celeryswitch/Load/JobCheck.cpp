#include "celeryswitch/Load/JobCheck.h"

#include <algorithm>
#include <boost/json.hpp>

namespace celeryswitch::Load {

namespace {

// Faults beyond these are counted by the checks' totals only.
constexpr std::size_t maximumFaultsKept = 100;

std::string echoOf(const std::string& body)
{
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(body, error);
    const boost::json::object* object = error ? nullptr : value.if_object();
    const boost::json::value* echo = object ? object->if_contains("echo") : nullptr;
    return echo && echo->is_string() ? std::string(echo->as_string()) : std::string();
}

void note(std::vector<std::string>& faults, const LoadJob& job, const std::string& fault)
{
    faults.push_back(faults.size() < maximumFaultsKept ? job.echoes.front() + ": " + fault : std::string());
}

void countTask(const LoadJob& job, std::size_t task, Messages::TaskOutcome outcome, LoadTally& tally)
{
    tally.kinds[job.kind].outcomes.add(outcome, 1);
    tally.tasks.push_back({ Core::toString(job.jobId) + "/" + std::to_string(task), outcome });
}

void checkWhole(const LoadJob& job, const Messages::JobAnswer& answer, LoadTally& tally)
{
    const bool hasAllResults
        = std::all_of(answer.results.begin(), answer.results.end(), [](const Messages::TaskResult& result) {
              return result.outcome == Messages::TaskOutcome::Succeeded
                  || result.outcome == Messages::TaskOutcome::Failed;
          });
    if ((answer.state == Messages::JobState::Complete) != hasAllResults)
        note(tally.brokenAnswers, job,
            "state " + std::string(Core::enumName(answer.state)) + " does not fit its results");
}

}

LoadJob makeJob(const LoadSettings& settings, const PlannedJob& planned, std::uint32_t caller, const std::string& name,
    std::int64_t createdAt)
{
    const KindDescription& kind = settings.workload.kinds[planned.kind];
    LoadJob job;
    job.kind = planned.kind;
    job.entry = caller % settings.entries.size();
    job.submission = { "team-" + std::to_string(caller % settings.teams), "caller-" + std::to_string(caller), name,
        createdAt, settings.workload.service.name, kind.name, kind.urgency,
        std::chrono::duration_cast<std::chrono::milliseconds>(settings.deadline).count(), 0, 0, kind.isIdempotent, {} };
    job.jobId = Core::makeJobId(job.submission.team, job.submission.caller, name);
    std::uint64_t sum = 0;
    std::uint32_t longest = 0;
    for (std::uint32_t milliseconds : planned.serviceMilliseconds) {
        const std::string index = std::to_string(job.echoes.size());
        job.echoes.push_back(name + "-" + index);
        job.submission.tasks.push_back(
            { index, "{\"serviceMs\":" + std::to_string(milliseconds) + ",\"echo\":\"" + job.echoes.back() + "\"}" });
        sum += milliseconds;
        longest = std::max(longest, milliseconds);
    }
    const double spread = static_cast<double>(sum) / std::max<std::uint32_t>(settings.slots, 1);
    job.ideal = std::chrono::duration_cast<Core::Duration>(
        std::chrono::duration<double, std::milli>(std::max({ 1.0, static_cast<double>(longest), spread })));
    return job;
}

void countEnded(const LoadJob& job, const Messages::JobAnswer& answer, Core::Duration response, LoadTally& tally)
{
    if (answer.results.size() != job.echoes.size()) {
        note(tally.brokenAnswers, job,
            std::to_string(answer.results.size()) + " results for " + std::to_string(job.echoes.size()) + " tasks");
        return countAll(job, Messages::TaskOutcome::Unconfirmed, "broken-answer", tally);
    }
    checkWhole(job, answer, tally);
    for (const Messages::TaskResult& result : answer.results) {
        countTask(job, result.taskIndex, result.outcome, tally);
        if (result.outcome != Messages::TaskOutcome::Succeeded)
            ++tally.reasons[std::string(Core::enumName(result.reason))];
        else if (answer.state == Messages::JobState::Complete && echoOf(result.body) != job.echoes[result.taskIndex])
            note(tally.wrongAnswers, job, "task " + std::to_string(result.taskIndex) + " has another task's result");
    }
    KindTally& kind = tally.kinds[job.kind];
    if (answer.state != Messages::JobState::Complete)
        return;
    kind.responses.push_back(std::chrono::duration<double, std::milli>(response).count());
    kind.ratios.push_back(std::chrono::duration<double>(response) / std::chrono::duration<double>(job.ideal));
}

void countAll(const LoadJob& job, Messages::TaskOutcome outcome, const std::string& reason, LoadTally& tally)
{
    for (std::size_t task = 0; task < job.echoes.size(); ++task)
        countTask(job, task, outcome, tally);
    tally.reasons[reason] += job.echoes.size();
}

}
