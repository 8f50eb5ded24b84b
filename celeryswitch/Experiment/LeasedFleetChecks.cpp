// Invariant checks of the simulated fleet.
#include "celeryswitch/Experiment/LeasedFleetState.h"

#include <algorithm>

namespace celeryswitch::Experiment {

using Core::SteadyTime;

namespace {

std::string at(SteadyTime time)
{
    return time == SteadyTime::max() ? "the end" : std::to_string(Core::toClockSample(time) / 1000) + " ms";
}

std::string describe(const RunRecord& run)
{
    return "run " + std::to_string(run.run) + " at " + run.workerId + " (born " + std::to_string(run.bornAt) + ") from "
        + at(run.startedAt) + " to " + at(run.endedAt) + " (" + std::string(Core::enumName(run.end)) + ")";
}

}

// Runs of one task that overlap, each pair with the requests that led to them.
void LeasedFleet::checkRunsOfTask(std::vector<const RunRecord*> runs, LeasedResult& result) const
{
    std::sort(runs.begin(), runs.end(),
        [](const RunRecord* left, const RunRecord* right) { return left->startedAt < right->startedAt; });
    const RunRecord* last = nullptr;
    for (const RunRecord* run : runs) {
        if (last && run->startedAt < last->endedAt) {
            std::string text = "task " + std::to_string(run->task.job.number) + "." + std::to_string(run->task.index)
                + " ran twice: " + describe(*last) + ", " + describe(*run) + "; requests:";
            for (const auto& [time, entry] : this->jobs.at(run->task.job.number).requests)
                text += " entry-" + std::to_string(entry) + " at " + at(time);
            result.violations.push_back(std::move(text));
        }
        if (!last || run->endedAt > last->endedAt)
            last = run;
    }
}

void LeasedFleet::checkPlaceOfRun(const RunRecord& run, LeasedResult& result) const
{
    const std::string& label = this->jobs.at(run.task.job.number).specification.steps.front().requiredLabel;
    if (!label.empty() && std::find(run.labels.begin(), run.labels.end(), label) == run.labels.end())
        result.violations.push_back("a task ran on a worker without the label " + label + ": " + describe(run));
    if (run.isBeyondCapacity)
        result.violations.push_back("a start brought a worker over its capacity: " + describe(run));
}

void LeasedFleet::checkInvariants(LeasedResult& result) const
{
    std::map<Messages::TaskId, std::vector<const RunRecord*>> byTask;
    for (const RunRecord& run : this->runRecords)
        byTask[run.task].push_back(&run);
    std::map<std::uint64_t, std::set<std::uint32_t>> done;
    std::set<std::uint64_t> started;
    for (const auto& [task, runs] : byTask) {
        started.insert(task.job.number);
        for (const RunRecord* run : runs) {
            this->checkPlaceOfRun(*run, result);
            if (run->end == Messages::RunEnd::Done)
                done[task.job.number].insert(task.index);
        }
        this->checkRunsOfTask(runs, result);
    }
    for (const auto& [id, job] : this->jobs) {
        if (job.isCompleted && done[id].size() != job.taskSeconds.size())
            result.violations.push_back(
                "job " + std::to_string(id) + " was answered as completed although not all of its tasks were done");
        if (job.submissions > 0 && job.refusals == job.submissions && started.count(id) > 0)
            result.violations.push_back(
                "job " + std::to_string(id) + " was answered as not run although a task of it had started");
    }
}

}
