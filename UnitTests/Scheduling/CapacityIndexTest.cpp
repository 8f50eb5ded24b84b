#include "celeryswitch/Scheduling/CapacityIndex.h"
#include <algorithm>
#include <catch2/catch.hpp>
#include <pcg_random.hpp>

using namespace celeryswitch;
using namespace celeryswitch::Scheduling;

namespace {

// What the index stands for: a look at every worker.
bool isAnySuitable(
    const WorkerTable& workers, const std::string& service, const std::string& label, const Messages::Room& need)
{
    PlacementRequest request;
    request.service = service;
    request.requiredLabel = label;
    request.need = need;
    return workers.empty() || std::any_of(workers.begin(), workers.end(), [&](const auto& element) {
        const WorkerView& worker = element.second;
        return (worker.profile.workerId.empty() && !worker.isEvacuated) || worker.isSuitable(request);
    });
}

}

// Guards against a job that is refused although a worker can run it, and against one that waits although none can.
TEST_CASE("the capacity index knows what a look at every worker shows", "[Scheduling]")
{
    pcg64 random(11);
    const auto below = [&](std::size_t bound) { return static_cast<std::int64_t>(random() % bound); };
    int suitable = 0;
    int unsuitable = 0;
    for (int round = 0; round < 300; ++round) {
        WorkerTable workers;
        for (std::int64_t number = below(12); number > 0; --number) {
            WorkerView& worker = workers["side-" + std::to_string(number)];
            worker.isEvacuated = below(5) == 0;
            if (below(20) == 0)
                continue;
            worker.profile = { "w", 1, below(3) == 0 ? "loans" : "orders", { below(10), below(10), below(3) }, {} };
            for (std::int64_t label = below(3); label > 0; --label)
                worker.profile.labels.push_back("label-" + std::to_string(below(4)));
        }
        CapacityIndex index;
        index.rebuild(workers);
        for (int query = 0; query < 20; ++query) {
            const std::string service = below(2) == 0 ? "loans" : "orders";
            const std::string label = below(2) == 0 ? "" : "label-" + std::to_string(below(5));
            const Messages::Room need { below(10), below(10), below(3) };
            const bool expected = isAnySuitable(workers, service, label, need);
            REQUIRE(index.hasSuitable(service, label, need) == expected);
            ++(expected ? suitable : unsuitable);
        }
    }
    CHECK(suitable > 500);
    CHECK(unsuitable > 500);
    CHECK(CapacityIndex().hasSuitable("loans", "", {}));
}
