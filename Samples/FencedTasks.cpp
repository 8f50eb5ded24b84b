// Embeds the task fence: a worker that starts each task at most once, whoever sends it and however often.

#include "celeryswitch/Ownership/TaskFence.h"
#include <cstdio>

using namespace celeryswitch;

namespace {

// A request to start the first task of a job, as the owner of its partition in the given epoch sends it.
Messages::StartTasks startRequest(const Core::Clock& clock, Core::Epoch epoch)
{
    Messages::StartTasks start;
    start.partition = Core::partitionOf("checkout", "counter-3");
    start.epoch = epoch;
    start.clockEcho = Core::toClockSample(clock.steadyNow());
    start.sidecarIncarnation = 1;
    start.jobId = Core::makeJobId("checkout", "counter-3", "order-17");
    start.jobTaskCount = 1;
    start.createdAt = Core::toUnixMilliseconds(clock.wallNow());
    return start;
}

// Runs the task when the fence lets it pass; returns whether it ran.
bool runOnce(Ownership::TaskFence& fence, const Core::Clock& clock, const Messages::StartTasks& start)
{
    const Messages::TaskReason reason = fence.check(clock.steadyNow(), start);
    if (reason != Messages::TaskReason::None) {
        std::printf("refused: %s\n", std::string(Core::enumName(reason)).c_str());
        return false;
    }
    if (!fence.accept(clock.wallNow(), start, 0)) {
        std::printf("refused: this task was accepted before\n");
        return false;
    }
    fence.markStarted({ start.jobId, 0 });
    std::printf("the task runs\n");
    fence.markFinished(clock.wallNow(), start.jobId, { 0, Messages::TaskOutcome::Succeeded });
    return true;
}

}

int main()
{
    Core::ManualClock clock;
    Ownership::TaskFenceSettings settings;
    settings.incarnation = 1;
    Ownership::TaskFence fence(settings);
    const Messages::StartTasks first = startRequest(clock, 1);
    const bool hasRun = runOnce(fence, clock, first);
    const bool hasRepeated = runOnce(fence, clock, first);
    // A new owner raises the epoch; what the old owner still sends is refused.
    fence.raise(first.partition, 2);
    const bool hasRunForOldOwner = runOnce(fence, clock, startRequest(clock, 1));
    return hasRun && !hasRepeated && !hasRunForOldOwner ? 0 : 1;
}
