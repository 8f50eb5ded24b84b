#include "celeryswitch/Scenario/ScenarioRunner.h"

#include <csignal>

namespace celeryswitch::Scenario {

namespace {

constexpr std::chrono::seconds patience { 60 };

}

ScenarioRunner::ScenarioRunner(
    ScenarioFile scenario, FleetSettings settings, std::function<void(const std::string&)> log)
    : scenario(std::move(scenario))
    , log(std::move(log))
    , fleet(std::move(settings), this->scenario.fleet)
    , jobs(patience)
{
    using Result = Core::Result<void>;
    const auto signal = [this](int number) {
        return [this, number](const Step& step) -> Result { return this->fleet.signal(step.text("process"), number); };
    };
    const auto member = [this](Result (ScenarioRunner::*function)(const Step&)) {
        return [this, function](const Step& step) -> Result { return (this->*function)(step); };
    };
    this->stepFunctions = { { "kill", signal(SIGKILL) }, { "freeze", signal(SIGSTOP) }, { "resume", signal(SIGCONT) },
        { "start", [this](const Step& step) -> Result { return this->fleet.start(step.text("process")); } },
        { "deleteData", [this](const Step& step) -> Result { return this->fleet.deleteData(step.text("process")); } },
        { "cut", [this](const Step& step) -> Result { return this->fleet.setCut(step.text("link"), true); } },
        { "heal", [this](const Step& step) -> Result { return this->fleet.setCut(step.text("link"), false); } },
        { "wait",
            [](const Step& step) -> Result {
                std::this_thread::sleep_for(std::chrono::milliseconds(step.integer("milliseconds")));
                return Core::success();
            } },
        { "stop", member(&ScenarioRunner::stop) }, { "replace", member(&ScenarioRunner::replace) },
        { "change", member(&ScenarioRunner::change) }, { "race", member(&ScenarioRunner::startRace) },
        { "finishRace", member(&ScenarioRunner::finishRace) }, { "load", member(&ScenarioRunner::startLoad) },
        { "finishLoad", member(&ScenarioRunner::finishLoad) }, { "submit", member(&ScenarioRunner::submit) },
        { "resubmit", member(&ScenarioRunner::resubmit) }, { "cancel", member(&ScenarioRunner::cancel) },
        { "waitStarted", member(&ScenarioRunner::waitStarted) }, { "expectJob", member(&ScenarioRunner::expectJob) },
        { "expectVersion", member(&ScenarioRunner::expectVersion) },
        { "expectAudit", member(&ScenarioRunner::expectAudit) },
        { "expectMember", member(&ScenarioRunner::expectMember) } };
}

ScenarioRunner::~ScenarioRunner()
{
    this->isLoadStopped = true;
    this->jobs.stop();
    if (this->loadThread.joinable())
        this->loadThread.join();
    if (this->race) {
        for (std::thread& thread : this->race->threads)
            thread.join();
    }
}

Core::Result<void> ScenarioRunner::run()
{
    this->log("starting the fleet in " + this->fleet.folder());
    BOOST_OUTCOME_TRY(this->fleet.startAll());
    for (const Step& step : this->scenario.steps) {
        std::string arguments;
        for (const auto& [name, value] : step.texts)
            arguments += " " + name + "=" + value;
        for (const auto& [name, value] : step.integers)
            arguments += " " + name + "=" + std::to_string(value);
        this->log("line " + std::to_string(step.line) + ": " + step.action + arguments);
        const Core::Result<void> result = this->stepFunctions.at(step.action)(step);
        if (!result)
            return Core::Error(ScenarioError::ExpectationFailed,
                "line " + std::to_string(step.line) + " (" + step.action + "): " + result.error().detail());
    }
    return this->checkPromises();
}

Core::Result<void> ScenarioRunner::stop(const Step& step)
{
    BOOST_OUTCOME_TRY(this->fleet.signal(step.text("process"), SIGTERM));
    return this->fleet.waitEnd(step.text("process"), step.within());
}

Core::Result<void> ScenarioRunner::submit(const Step& step)
{
    BOOST_OUTCOME_TRY(const std::string address, this->fleet.entryAddress(step.text("entry")));
    this->jobs.submit(step.text("job"), address, static_cast<std::uint32_t>(step.integer("tasks", 1)),
        step.integer("serviceMs", 100));
    return Core::success();
}

Core::Result<void> ScenarioRunner::resubmit(const Step& step)
{
    BOOST_OUTCOME_TRY(const std::string address, this->fleet.entryAddress(step.text("entry")));
    if (!this->jobs.resubmit(step.text("job"), address))
        return Core::Error(ScenarioError::Invalid, "no job \"" + step.text("job") + "\" was submitted");
    return Core::success();
}

Core::Result<void> ScenarioRunner::cancel(const Step& step)
{
    BOOST_OUTCOME_TRY(const std::string address, this->fleet.entryAddress(step.text("entry")));
    if (!this->jobs.cancel(step.text("job"), address))
        return Core::Error(ScenarioError::ExpectationFailed, "the entry did not answer");
    return Core::success();
}

Core::Result<void> ScenarioRunner::startLoad(const Step& step)
{
    Core::Result<Load::Workload> workload = Load::readWorkload(step.text("workload"));
    if (!workload)
        return Core::Error(ScenarioError::Invalid, workload.error().message());
    this->loadSettings.workload = std::move(workload.value());
    this->loadSettings.phases.clear();
    for (Load::PhaseDescription phase : this->loadSettings.workload.phases) {
        if (!step.text("phase").empty() && step.text("phase") != phase.name)
            continue;
        phase.duration = std::chrono::seconds(step.integer("seconds", 10));
        phase.loadPercent = static_cast<double>(step.integer("loadPercent", std::int64_t(phase.loadPercent)));
        this->loadSettings.phases.push_back(phase);
    }
    this->loadSettings.entries = this->fleet.entryAddresses();
    this->loadSettings.journals = this->fleet.journals();
    this->loadSettings.slots = this->scenario.fleet.sidecars * this->scenario.fleet.slots;
    this->loadSettings.patience = patience;
    this->loadThread
        = std::thread([this] { this->loadOutcome = Load::runLoad(this->loadSettings, this->isLoadStopped); });
    return Core::success();
}

Core::Result<void> ScenarioRunner::finishLoad(const Step&)
{
    if (!this->loadThread.joinable())
        return Core::Error(ScenarioError::Invalid, "no load runs");
    this->loadThread.join();
    this->log(Load::outcomeText(this->loadSettings, this->loadOutcome));
    for (const Load::LoadCheck& check : this->loadOutcome.checks) {
        if (!check.isPassed)
            return Core::Error(ScenarioError::ExpectationFailed, check.name + ": " + check.detail);
    }
    return Core::success();
}

}
