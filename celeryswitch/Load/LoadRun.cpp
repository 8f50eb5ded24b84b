#include "celeryswitch/Load/LoadRun.h"

#include "celeryswitch/Load/FleetProbe.h"
#include "celeryswitch/Load/LoadWorker.h"
#include <algorithm>
#include <thread>

namespace celeryswitch::Load {

namespace {

using Report::numberText;

// Counters of an entry whose sums are the messages between the system's processes, and the ones without effect.
const std::vector<std::string> messageMetrics { "celeryswitch_entry_messages_sent_total",
    "celeryswitch_entry_messages_received_total" };
const std::vector<std::string> wastedMetrics { "celeryswitch_entry_starts_rejected_total",
    "celeryswitch_entry_late_results_total" };

// First faults of a list, for a check's detail.
std::string firstFaults(const std::vector<std::string>& faults)
{
    std::string text = std::to_string(faults.size()) + " faults";
    for (std::size_t index = 0; index < std::min<std::size_t>(faults.size(), 3); ++index)
        text += "; " + faults[index];
    return text;
}

Report::OutcomeCounts outcomesOf(const LoadTally& tally)
{
    Report::OutcomeCounts sum;
    for (const KindTally& kind : tally.kinds) {
        sum.add(Messages::TaskOutcome::Succeeded, kind.outcomes.succeeded);
        sum.add(Messages::TaskOutcome::Failed, kind.outcomes.failed);
        sum.add(Messages::TaskOutcome::Unconfirmed, kind.outcomes.unconfirmed);
        sum.add(Messages::TaskOutcome::NeverStarted, kind.outcomes.neverStarted);
    }
    return sum;
}

std::uint64_t submittedOf(const LoadTally& tally)
{
    std::uint64_t sum = 0;
    for (const KindTally& kind : tally.kinds)
        sum += kind.submittedTasks;
    return sum;
}

LoadCheck sumsCheck(const LoadTally& tally)
{
    const std::uint64_t submitted = submittedOf(tally);
    const std::uint64_t counted = outcomesOf(tally).total();
    return { "sums agree", submitted == counted,
        std::to_string(submitted) + " submitted, " + std::to_string(counted)
            + " succeeded, failed, unconfirmed or never "
              "started" };
}

// Compares what the entries answered with what the endpoints saw.
std::vector<LoadCheck> startChecks(const LoadSettings& settings, const LoadTally& tally)
{
    const auto starts = startsOf(settings.journals);
    if (!starts)
        return { { "no task started twice", false, "a journal can't be read" } };
    std::uint64_t twice = 0;
    std::uint64_t notRunStarted = 0;
    std::uint64_t ranNotStarted = 0;
    for (const TaskRecord& task : tally.tasks) {
        const auto found = starts->find(task.task);
        const std::uint64_t count = found == starts->end() ? 0 : found->second;
        const bool hasRun
            = task.outcome == Messages::TaskOutcome::Succeeded || task.outcome == Messages::TaskOutcome::Failed;
        twice += count > 1 ? 1 : 0;
        notRunStarted += task.outcome == Messages::TaskOutcome::NeverStarted && count != 0 ? 1 : 0;
        ranNotStarted += hasRun && count == 0 ? 1 : 0;
    }
    return { { "no task started twice", twice == 0, std::to_string(twice) + " started twice" },
        { "never started is true", notRunStarted == 0,
            std::to_string(notRunStarted) + " answered as never started were started" },
        { "ran is true", ranNotStarted == 0, std::to_string(ranNotStarted) + " answered as run were not started" } };
}

std::vector<LoadCheck> checksOf(const LoadSettings& settings, const LoadTally& tally)
{
    std::vector<LoadCheck> checks { { "right caller", tally.wrongAnswers.empty(), firstFaults(tally.wrongAnswers) },
        { "whole answers", tally.brokenAnswers.empty(), firstFaults(tally.brokenAnswers) },
        { "every job answered", tally.unanswered == 0, std::to_string(tally.unanswered) + " without an answer" },
        sumsCheck(tally) };
    const std::uint64_t submitted = submittedOf(tally);
    const std::uint64_t ran = outcomesOf(tally).succeeded + outcomesOf(tally).failed;
    checks.push_back({ "tasks ran", ran > 0, std::to_string(ran) + " of " + std::to_string(submitted) });
    if (!settings.journals.empty()) {
        for (LoadCheck& check : startChecks(settings, tally))
            checks.push_back(std::move(check));
    }
    return checks;
}

Report::Table sumsTable(const LoadOutcome& outcome)
{
    const Report::OutcomeCounts counts = outcomesOf(outcome.tally);
    const auto perTask = [&](double messages) {
        return messages < 0 ? std::string("unknown")
                            : numberText(messages / std::max<double>(1, static_cast<double>(counts.total())), 4);
    };
    Report::Table table({ "submitted", "succeeded", "failed", "unconfirmed", "neverStarted", "resubmissions",
        "messagesPerTask", "wastedPerTask" });
    table.addRow({ std::to_string(submittedOf(outcome.tally)), std::to_string(counts.succeeded),
        std::to_string(counts.failed), std::to_string(counts.unconfirmed), std::to_string(counts.neverStarted),
        std::to_string(outcome.tally.resubmissions), perTask(outcome.messages), perTask(outcome.wastedMessages) });
    return table;
}

Report::Table reasonTable(const LoadOutcome& outcome)
{
    Report::Table table({ "reason", "tasks" });
    for (const auto& [reason, tasks] : outcome.tally.reasons)
        table.addRow({ reason, std::to_string(tasks) });
    return table;
}

Report::Table checkTable(const LoadOutcome& outcome)
{
    Report::Table table({ "check", "result", "detail" });
    for (const LoadCheck& check : outcome.checks)
        table.addRow({ check.name, check.isPassed ? "passed" : "FAILED", check.detail });
    return table;
}

}

bool LoadOutcome::isPassed() const
{
    return std::all_of(this->checks.begin(), this->checks.end(), [](const LoadCheck& check) { return check.isPassed; });
}

LoadOutcome runLoad(const LoadSettings& settings, const std::atomic<bool>& stop)
{
    const auto messagesBefore = metricSumOf(settings.entries, messageMetrics, settings.token);
    const auto wastedBefore = metricSumOf(settings.entries, wastedMetrics, settings.token);
    const Core::SteadyTime start = Core::BootClock::now();
    std::vector<LoadTally> tallies(settings.threads);
    std::vector<std::thread> threads;
    for (std::uint32_t index = 0; index < settings.threads; ++index)
        threads.emplace_back([&, index] { tallies[index] = LoadWorker(settings, index, stop).run(); });
    LoadOutcome outcome;
    for (std::uint32_t index = 0; index < settings.threads; ++index) {
        threads[index].join();
        outcome.tally.add(std::move(tallies[index]));
    }
    outcome.seconds = std::chrono::duration<double>(Core::BootClock::now() - start).count();
    const auto messagesAfter = metricSumOf(settings.entries, messageMetrics, settings.token);
    const auto wastedAfter = metricSumOf(settings.entries, wastedMetrics, settings.token);
    if (messagesBefore && messagesAfter)
        outcome.messages = *messagesAfter - *messagesBefore;
    if (wastedBefore && wastedAfter)
        outcome.wastedMessages = *wastedAfter - *wastedBefore;
    outcome.checks = checksOf(settings, outcome.tally);
    return outcome;
}

Report::Table kindTable(const LoadSettings& settings, const LoadOutcome& outcome)
{
    Report::Table table({ "kind", "jobs", "tasks", "succeeded", "tasksPerSecond", "responseP50Ms", "responseP99Ms",
        "idealP50", "idealP95", "idealP99" });
    for (std::size_t index = 0; index < outcome.tally.kinds.size(); ++index) {
        const KindTally& kind = outcome.tally.kinds[index];
        table.addRow({ settings.workload.kinds[index].name, std::to_string(kind.jobs),
            std::to_string(kind.submittedTasks), std::to_string(kind.outcomes.succeeded),
            numberText(static_cast<double>(kind.outcomes.succeeded) / std::max(outcome.seconds, 0.001), 1),
            numberText(quantileOf(kind.responses, 0.5), 1), numberText(quantileOf(kind.responses, 0.99), 1),
            numberText(quantileOf(kind.ratios, 0.5), 3), numberText(quantileOf(kind.ratios, 0.95), 3),
            numberText(quantileOf(kind.ratios, 0.99), 3) });
    }
    return table;
}

std::string outcomeText(const LoadSettings& settings, const LoadOutcome& outcome)
{
    return "Load of " + numberText(outcome.seconds, 1)
        + " s; idealP50 and so on: response time divided by the job's own time on an idle fleet\n\n"
        + kindTable(settings, outcome).text() + "\n" + sumsTable(outcome).text() + "\n" + reasonTable(outcome).text()
        + "\n" + checkTable(outcome).text();
}

std::string outcomeJson(const LoadSettings& settings, const LoadOutcome& outcome)
{
    return "{\"seconds\":" + numberText(outcome.seconds, 3) + ",\"isPassed\":" + (outcome.isPassed() ? "true" : "false")
        + ",\n\"kinds\":" + kindTable(settings, outcome).json() + ",\n\"sums\":" + sumsTable(outcome).json()
        + ",\n\"reasons\":" + reasonTable(outcome).json() + ",\n\"checks\":" + checkTable(outcome).json() + "}\n";
}

}
