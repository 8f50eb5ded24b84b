#pragma once

#include "celeryswitch/Load/LoadRun.h"
#include "celeryswitch/Scenario/JobRunner.h"
#include "celeryswitch/Scenario/ScenarioFleet.h"
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace celeryswitch::Scenario {

/// Runs the steps of a scenario on a fleet of real processes and then checks the promises that hold in every scenario:
/// no task started more than once, what was answered as never started did not start, what was answered as run started,
/// answers to the same submission agree, and answers are whole.
class ScenarioRunner {
public:
    /// `log` receives one line a step.
    ScenarioRunner(ScenarioFile scenario, FleetSettings settings, std::function<void(const std::string&)> log);
    ~ScenarioRunner();
    ScenarioRunner(const ScenarioRunner&) = delete;
    ScenarioRunner& operator=(const ScenarioRunner&) = delete;

    /// Starts the fleet, runs every step and the checks. The error names the step's line.
    Core::Result<void> run();

private:
    using StepFunction = std::function<Core::Result<void>(const Step&)>;
    // Two changes on their way, and their exit codes.
    struct Race {
        std::int64_t before = 0;
        std::vector<std::thread> threads;
        CommandOutput outputs[2];
    };

    Core::Result<void> stop(const Step& step);
    Core::Result<void> replace(const Step& step);
    Core::Result<void> change(const Step& step);
    Core::Result<void> startRace(const Step& step);
    Core::Result<void> finishRace(const Step& step);
    Core::Result<void> startLoad(const Step& step);
    Core::Result<void> finishLoad(const Step& step);
    Core::Result<void> submit(const Step& step);
    Core::Result<void> resubmit(const Step& step);
    Core::Result<void> cancel(const Step& step);
    Core::Result<void> waitStarted(const Step& step);
    Core::Result<void> expectJob(const Step& step);
    Core::Result<void> expectVersion(const Step& step);
    Core::Result<void> expectAudit(const Step& step);
    Core::Result<void> expectMember(const Step& step);
    Core::Result<void> checkPromises();
    Core::Result<void> checkJob(const std::string& job, const JobRecord& record,
        const std::unordered_map<std::string, std::uint64_t>& starts) const;
    std::int64_t version() const;

    const ScenarioFile scenario;
    std::function<void(const std::string&)> log;
    ScenarioFleet fleet;
    JobRunner jobs;
    std::map<std::string, StepFunction, std::less<>> stepFunctions;
    std::unique_ptr<Race> race;
    Load::LoadSettings loadSettings;
    std::atomic<bool> isLoadStopped { false };
    Load::LoadOutcome loadOutcome;
    std::thread loadThread;
};

}
