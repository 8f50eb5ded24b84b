// A job is cancelled at another node than the one that runs it; the cancelling is acknowledged and the job runs on.
#include "../standins-2/Fleet.h"

namespace {

using namespace review;

// Pages: cancel_ms is 3,000 and stop_timeout_ms 50.
constexpr std::int64_t cancelTime = 3000 + 50;
constexpr std::int64_t slack = 250;
// Two steps, one after the other, of a task and of two tasks.
constexpr std::int64_t workTime = 5500;

int play(const std::string& program, const std::string& recordPath)
{
    Record record(recordPath);
    FleetSize size;
    size.sidecars = 3;
    Fleet fleet(program, size);
    RouteText route;
    route.timeout = 20'000;
    if (!fleet.start() || !fleet.put(desiredState(1, { route })) || !fleet.waitReady())
        return 2;
    waitMilliseconds(4000);
    const std::string id = "5c0e7a21d94b36f8";
    const std::string work = std::to_string(workTime);
    Message answer;
    std::thread submitter([&] {
        answer = callOnce(fleet.front(1), "POST", "/order/" + id,
            { { "Host", "order.example" }, { "X-Deadline-Ms", "18000" } },
            "{\"best_effort\":true,\"spec\":\"ms=" + work + "\",\"steps\":[{\"count\":1,\"cpu\":2000,\"mem_mb\":64,"
                + "\"estimated_ms\":" + work + "},{\"count\":2,\"cpu\":2000,\"mem_mb\":64,\"estimated_ms\":" + work
                + ",\"after\":[0]}]}",
            19'000);
        record.line(
            "client: POST of job " + id + " at entry 1 -> " + std::to_string(answer.status) + " " + answer.body);
    });
    waitMilliseconds(1500);
    const bool hasBegun = !fleet.history().empty();
    const int node = isCalm() ? 1 : 2;
    const Message cancelled
        = callOnce(fleet.front(node), "DELETE", "/order/" + id, { { "Host", "order.example" } }, "", 1000);
    record.line("client: DELETE of job " + id + " at entry " + std::to_string(node) + " -> "
        + std::to_string(cancelled.status) + " " + cancelled.body);
    const std::int64_t acknowledgedAt = steadyMilliseconds();
    waitMilliseconds(cancelTime + slack);
    int working = 0;
    for (const RunRecord& run : fleet.history())
        working += run.endedAt == 0 ? 1 : 0;
    submitter.join();
    int startedLate = 0;
    for (const RunRecord& run : fleet.history()) {
        startedLate += run.startedAt > acknowledgedAt + cancelTime + slack ? 1 : 0;
        record.line("worker " + run.life + " started " + run.task + " run " + std::to_string(run.run) + " "
            + std::to_string(run.startedAt - acknowledgedAt) + " ms after the acknowledgement, ended " + run.how
            + " after " + std::to_string(run.endedAt - run.startedAt) + " ms");
    }
    const bool isBroken = working > 0 || startedLate > 0;
    record.line("tasks of the cancelled job at work " + std::to_string(cancelTime + slack)
        + " ms after the acknowledgement: " + std::to_string(working)
        + ", started later: " + std::to_string(startedLate) + (isBroken ? "; UNASKED is broken" : ""));
    if (!hasBegun || (cancelled.status != 200 && cancelled.status != 410))
        return 2;
    return isBroken ? 1 : 0;
}

}

int main(int count, char** arguments) { return count < 3 ? 2 : play(arguments[1], arguments[2]); }
