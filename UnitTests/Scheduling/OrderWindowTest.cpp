#include "UnitTests/Scheduling/SchedulerFixture.h"

using namespace celeryswitch::Scheduling;
using namespace std::chrono_literals;

// Guards against orders of large contents that pile up in the memory of the entry and of a sidecar which takes them
// more slowly than they are decided on.
TEST_CASE("orders wait for the acknowledgement of those before", "[Scheduling]")
{
    constexpr std::size_t windowBytes = 64 * 1024;
    constexpr std::size_t contentBytes = 4000;
    constexpr std::uint32_t steps = 500;
    SchedulerFixture fixture(2);
    SubmitJob submission = fixture.makeJob(100, 1, 10);
    submission.job.content = std::string(contentBytes, 'c');
    submission.job.steps.resize(steps, submission.job.steps.front());
    submission.callerTimeout = 600s;
    submission.job.steps.front().declaredMilliseconds = 60'000;
    fixture.submit(1, std::move(submission));
    const auto orderedAt = [&](const std::string& sidecar) {
        std::size_t bytes = 0;
        for (const auto& [place, start] : fixture.starts)
            bytes += place == sidecar ? start.content.size() : 0;
        return bytes;
    };
    for (int decision = 0; decision < 10; ++decision)
        fixture.advance(5ms);
    const std::size_t first = orderedAt("side-1");
    const std::size_t second = orderedAt("side-2");
    CHECK(first > windowBytes / 2);
    CHECK(first <= windowBytes + contentBytes);
    CHECK(second <= windowBytes + contentBytes);
    // An acknowledgement opens the window of its sidecar, and of no other one.
    fixture.update("side-1", { 32'000, 65'536, 0 });
    CHECK(orderedAt("side-1") > first);
    CHECK(orderedAt("side-1") <= 2 * (windowBytes + contentBytes));
    CHECK(orderedAt("side-2") == second);
    for (int round = 0; round < 100; ++round) {
        fixture.advance(5ms);
        fixture.update("side-1", { 32'000, 65'536, 0 });
        fixture.update("side-2", { 32'000, 65'536, 0 });
    }
    CHECK(orderedAt("side-1") + orderedAt("side-2") == steps * contentBytes);
}
