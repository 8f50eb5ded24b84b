#include "celeryswitch/Scheduling/TaskTable.h"
#include "UnitTests/Core/AllocationCounter.h"
#include <catch2/catch.hpp>
#include <pcg_random.hpp>
#include <set>

using namespace celeryswitch;
using namespace celeryswitch::Scheduling;

// Guards against a request of a few bytes that takes megabytes.
TEST_CASE("tasks that were never ordered take no memory", "[Scheduling]")
{
    const std::size_t before = allocatedBytes();
    TaskTable table(100'000);
    CHECK(table.waiting() == 100'000);
    CHECK(table.find(99'999) == nullptr);
    CHECK(allocatedBytes() == before);
}

// Guards against a task that is ordered twice, forgotten or counted wrongly, and against records that are kept of tasks
// that have ended.
TEST_CASE("every task is ordered until it is done, in the order of the indices", "[Scheduling]")
{
    pcg64 random(7);
    constexpr std::uint32_t count = 3000;
    TaskTable table(count);
    std::set<std::uint32_t> waiting;
    for (std::uint32_t index = 0; index < count; ++index)
        waiting.insert(index);
    std::set<std::uint32_t> ordered;
    std::map<Core::InstanceId, std::uint32_t> places;
    std::size_t mostRecords = 0;
    while (!table.isDone()) {
        if (!waiting.empty() && ordered.size() < 200 && random() % 2 == 0) {
            Task& task = table.takeWaiting();
            REQUIRE(task.index == *waiting.begin());
            task.sidecar = "side-" + std::to_string(task.index % 3);
            ++places[task.sidecar];
            waiting.erase(task.index);
            ordered.insert(task.index);
        } else if (!ordered.empty()) {
            const std::uint32_t index
                = *std::next(ordered.begin(), static_cast<std::ptrdiff_t>(random() % ordered.size()));
            Task& task = *table.find(index);
            ordered.erase(index);
            if (random() % 4 == 0) {
                ++task.failures;
                if (--places[task.sidecar] == 0)
                    places.erase(task.sidecar);
                table.putBack(task);
                waiting.insert(index);
                REQUIRE(table.find(index)->failures > 0);
            } else {
                table.finish(task, true);
                REQUIRE(table.find(index) == nullptr);
            }
        }
        REQUIRE(table.waiting() == waiting.size());
        REQUIRE(table.hasOrdered() == !ordered.empty());
        // Nothing asks for the places of a step that is done.
        REQUIRE((table.isDone() || table.tasksAtSidecars() == places));
        mostRecords = std::max(mostRecords, table.recordCount());
    }
    CHECK(ordered.empty());
    CHECK(mostRecords <= 2 * (200 + 1000));
    CHECK(table.recordCount() == 0);
}
