// Two of five core machines are replaced, planned, and the final fault takes two disks, which the system is to bear.
#include "../standins-2/Fleet.h"
#include <csignal>
#include <cstdio>

namespace {

using namespace review;

// As the bench times a planned replacement: the new machine first, SIGTERM to the old one 6 s later.
constexpr std::int64_t overlap = 6000;
constexpr std::int64_t calmTime = 12'000;
constexpr std::int64_t downTime = 950;
// Pages (grown): recovery_s 15.
constexpr std::int64_t recovery = 15'000;
constexpr std::int64_t observation = 20'000;

int play(const std::string& program, const std::string& recordPath)
{
    Record record(recordPath);
    FleetSize size;
    size.states = 7;
    Fleet fleet(program, size);
    if (!fleet.startWorkers())
        return 2;
    for (const char* name :
        { "state-1", "state-2", "state-3", "state-4", "state-5", "entry-1", "entry-2", "sidecar-1", "sidecar-2" }) {
        if (!fleet.startProcess(name))
            return 2;
    }
    if (!fleet.put(desiredState(1, { {} })) || !fleet.waitReady())
        return 2;
    record.line("platform: five core machines run; operator: version 1 is confirmed");
    waitMilliseconds(overlap);
    fleet.setLaterSeeds({ 1, 2, 3 });
    std::vector<std::string> core { "state-1", "state-2", "state-3", "state-4", "state-5" };
    if (!isCalm()) {
        fleet.startProcess("state-6");
        fleet.startProcess("state-7");
        record.line("platform: state-6 and state-7 start with empty disks, in place of state-4 and state-5");
        waitMilliseconds(overlap);
        fleet.signal("state-4", SIGTERM);
        fleet.signal("state-5", SIGTERM);
        record.line("platform: state-4 and state-5 get SIGTERM and are removed for good");
        core = { "state-1", "state-2", "state-3", "state-6", "state-7" };
    }
    waitMilliseconds(calmTime);
    if (!fleet.put(desiredState(2, { {} })))
        return 2;
    record.line("operator: version 2 is confirmed");
    for (const std::string& name : core)
        fleet.signal(name, SIGKILL);
    fleet.loseDisk("state-1");
    fleet.loseDisk(core.back());
    record.line("final fault: state-1 and " + core.back() + " lose their disks, the other core processes are killed");
    waitMilliseconds(downTime);
    for (const std::string& name : core)
        fleet.startProcess(name);
    record.line("platform: all five core machines are back");
    waitMilliseconds(recovery);
    std::map<int, int> reads;
    std::int64_t newest = 0;
    const std::int64_t begin = steadyMilliseconds();
    for (int number = 0; steadyMilliseconds() < begin + observation && newest < 2; ++number) {
        const Message answer = callOnce(fleet.control(number % 3 + 1), "GET", "/v1/config/get", {}, "", 1000);
        ++reads[answer.status];
        if (answer.status == 200)
            newest = jsonNumber(answer.body, "version").value_or(0);
        waitMilliseconds(100);
    }
    for (const auto& [status, count] : reads)
        record.line("operator: reads answered " + std::to_string(status) + ": " + std::to_string(count));
    const bool isPut = fleet.put(desiredState(3, { {} }), 5000);
    record.line("operator: version 3 is " + std::string(isPut ? "" : "not ") + "confirmed within 5 s");
    record.line("newest version read from " + std::to_string(recovery)
        + " ms after the machines were back on: " + std::to_string(newest) + (newest < 2 ? "; CONFIG is broken" : ""));
    for (const std::string& name : core) {
        if (!fleet.isRunning(name))
            return 2;
    }
    return newest < 2 ? 1 : 0;
}

}

int main(int count, char** arguments) { return count < 3 ? 2 : play(arguments[1], arguments[2]); }
