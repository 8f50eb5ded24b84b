#include "celeryswitch/Workers/RunTable.h"

#include "celeryswitch/Charts/EmbeddedCharts.h"
#include "celeryswitch/Core/Assert.h"
#include <cstdio>

namespace celeryswitch::Workers {

namespace {

// The embedded state chart. A chart that does not load is a build error and aborts the process.
const Charts::StateChart& runChart()
{
    static const Charts::StateChart chart = [] {
        Core::Result<Charts::StateChart> loaded = Charts::StateChart::load(
            Charts::embeddedFile("run.toml"), Charts::chartNames<RunPhase, RunEvent, RunGuard, RunAction>());
        if (!loaded)
            std::fprintf(stderr, "run.toml: %s\n", loaded.error().message().c_str());
        CELERY_ASSERT(loaded.has_value());
        return std::move(loaded).value();
    }();
    return chart;
}

}

Run& RunTable::add(Run run)
{
    const auto found = this->runs.find(run.task);
    if (found != this->runs.end()) {
        CELERY_ASSERT(found->second.phase == RunPhase::Ended);
        this->runs.erase(found);
    }
    CELERY_ASSERT(run.phase != RunPhase::Ended);
    const TaskId task = run.task;
    run.arrivalNumber = this->nextArrivalNumber();
    if (run.phase == RunPhase::Queued) {
        this->waiting.emplace(positionOf(run), task);
    } else {
        this->usedRoom += run.need;
        ++this->active;
    }
    return this->runs.emplace(task, std::move(run)).first->second;
}

QueuePosition RunTable::positionOf(const Run& run)
{
    return { static_cast<std::int16_t>(-Messages::rankClassOf(run.rank)), run.startBy, run.arrivalNumber };
}

Run* RunTable::find(const TaskId& task)
{
    const auto found = this->runs.find(task);
    return found != this->runs.end() ? &found->second : nullptr;
}

void RunTable::fire(Run& run, RunEvent event, Core::SteadyTime now, const std::function<void(RunAction)>& perform)
{
    const Charts::StateChart::Transition* transition = runChart().find(
        static_cast<std::size_t>(run.phase), static_cast<std::size_t>(event), [](std::size_t) { return false; });
    if (!transition)
        return;
    const RunPhase before = run.phase;
    run.phase = static_cast<RunPhase>(transition->target);
    const bool wasActive = before != RunPhase::Queued && before != RunPhase::Ended;
    const bool isActive = run.phase != RunPhase::Queued && run.phase != RunPhase::Ended;
    if (before == RunPhase::Queued && run.phase != RunPhase::Queued)
        this->waiting.erase(positionOf(run));
    if (isActive && !wasActive) {
        this->usedRoom += run.need;
        ++this->active;
    } else if (wasActive && !isActive) {
        this->usedRoom -= run.need;
        --this->active;
    }
    if (run.phase == RunPhase::Ended && before != RunPhase::Ended)
        run.endedAt = now;
    for (std::size_t action : transition->actions)
        perform(static_cast<RunAction>(action));
}

void RunTable::setNeed(Run& run, const Room& need)
{
    if (run.phase != RunPhase::Queued && run.phase != RunPhase::Ended) {
        this->usedRoom -= run.need;
        this->usedRoom += need;
    }
    run.need = need;
}

void RunTable::forgetEndedBefore(Core::SteadyTime time)
{
    std::erase_if(this->runs,
        [&](const auto& entry) { return entry.second.phase == RunPhase::Ended && entry.second.endedAt < time; });
}

}
