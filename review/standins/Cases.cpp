#include "Cases.h"
#include "Fleet.h"

#include <algorithm>
#include <iostream>
#include <set>
#include <thread>

namespace review {

namespace {

constexpr std::int64_t cancelTime = 3000;
constexpr std::int64_t stopTime = 50;

int verdict(const Fleet& fleet, const std::vector<std::string>& breaks)
{
    for (const std::string& line : breaks) {
        fleet.record().write("BROKEN: " + line);
        std::cout << "BROKEN: " << line << "\n";
    }
    fleet.record().write(breaks.empty() ? "rule held" : "rule broken");
    std::cout << (breaks.empty() ? "rule held" : "rule broken") << "\n";
    return breaks.empty() ? ruleHeld : ruleBroken;
}

int startFailed(const Fleet& fleet)
{
    fleet.record().write("the fleet doesn't serve");
    std::cout << "the fleet doesn't serve\n";
    return notRun;
}

// Tasks of which two runs were at work at the same time on workers that were up all the while.
std::vector<std::string> overlappingRuns(const Fleet& fleet)
{
    // Shorter overlaps could be those of the clocks that the record is written by.
    constexpr std::int64_t tolerance = 20;
    struct Span {
        std::string worker;
        std::int64_t begin = 0;
        std::int64_t end = 0;
    };
    std::map<std::string, std::vector<Span>> runs;
    const std::vector<End> ends = fleet.ends();
    for (const Begin& begin : fleet.begins()) {
        Span span { begin.worker, begin.at, wallMilliseconds() };
        for (const End& end : ends) {
            if (end.worker == begin.worker && end.task == begin.task && end.at >= begin.at)
                span.end = std::min(span.end, end.at);
        }
        runs[begin.task].push_back(span);
    }
    std::vector<std::string> breaks;
    for (const auto& [task, spans] : runs) {
        for (std::size_t one = 0; one < spans.size(); ++one) {
            for (std::size_t other = one + 1; other < spans.size(); ++other) {
                const std::int64_t overlap
                    = std::min(spans[one].end, spans[other].end) - std::max(spans[one].begin, spans[other].begin);
                if (overlap > tolerance)
                    breaks.push_back("TWICE: " + task + " ran on " + spans[one].worker + " and on "
                        + spans[other].worker + " at the same time, for " + std::to_string(overlap) + " ms");
            }
        }
    }
    return breaks;
}

std::string jobOf(const Begin& begin) { return begin.task.substr(0, begin.task.find('.')); }

}

int playLateStart(const CaseSetting& setting)
{
    constexpr int rounds = 7;
    constexpr int workers = 10;
    constexpr int clientsAtOnce = 6;
    constexpr std::int64_t resendTime = 1300;
    constexpr std::int64_t darkTime = 5000;
    constexpr std::int64_t longestPlay = 75'000;
    Fleet fleet(setting.ownProgram, setting.root, setting.folder, setting.recordFile, { 3, 2, workers });
    if (setting.isTroubled)
        fleet.workerArguments = { "late-every=40", "late-ms=3300" };
    if (!fleet.start())
        return startFailed(fleet);
    std::atomic<bool> isOver { false };
    std::vector<std::thread> clients;
    // Clients that hand a job in again at the other entry after no answer or 504, as the pages say.
    for (int client = 0; client < clientsAtOnce; ++client) {
        clients.emplace_back([&, client] {
            int entry = client % 2 + 1;
            while (!isOver) {
                const std::string id = newId();
                for (int attempt = 0; attempt < 3; ++attempt) {
                    const Answer answer
                        = fleet.request("POST", entry, id, jobBody("ms=900", { { 4, 3000, 900, "" } }), 1500);
                    if (answer.status != 0 && answer.status != 504)
                        break;
                    entry = 3 - entry;
                    sleepMilliseconds(resendTime);
                }
                sleepMilliseconds(50);
            }
        });
    }
    std::size_t seenLate = fleet.lateStarts().size();
    const std::int64_t lastRoundAt = steadyMilliseconds() + longestPlay;
    for (int round = 0; round < rounds && steadyMilliseconds() < lastRoundAt; ++round) {
        const std::int64_t until = std::min(lastRoundAt, steadyMilliseconds() + 15'000);
        std::vector<std::pair<std::string, std::string>> late;
        while (steadyMilliseconds() < until && (late = fleet.lateStarts()).size() <= seenLate)
            sleepMilliseconds(2);
        if (late.size() <= seenLate)
            continue;
        for (int number = 1; number <= workers; ++number) {
            if (Fleet::workerId(number) != late.back().first)
                continue;
            fleet.process("sidecar", number).kill();
            fleet.record().write("sidecar " + std::to_string(number) + " is killed after it gave the order of "
                + late.back().second + " and stays down for " + std::to_string(darkTime) + " ms");
            sleepMilliseconds(darkTime);
            fleet.startProcess("sidecar", number);
        }
        sleepMilliseconds(5000);
        seenLate = fleet.lateStarts().size();
    }
    isOver = true;
    for (std::thread& client : clients)
        client.join();
    return verdict(fleet, overlappingRuns(fleet));
}

int playRestartedWorker(const CaseSetting& setting)
{
    constexpr int rounds = 12;
    constexpr int startMilliseconds = 10;
    constexpr int workers = 8;
    constexpr int clientsAtOnce = 28;
    Fleet fleet(setting.ownProgram, setting.root, setting.folder, setting.recordFile, { 3, 2, workers });
    // Only the first worker is of the kind that the jobs require.
    for (int number = 1; number <= workers; ++number)
        fleet.labels[number] = std::string(number == 1 ? "b" : "a") + ",r1-" + std::to_string(1 + number / 3);
    // A start takes the worker a moment: the task begins, and the answer follows after this time.
    fleet.workerArguments = { "answer-ms=" + std::to_string(startMilliseconds) };
    if (!fleet.start())
        return startFailed(fleet);
    std::mutex mutex;
    std::map<std::string, Answer> answers;
    std::atomic<bool> isOver { false };
    std::vector<std::thread> clients;
    // Each client hands in one job after the other and none twice.
    for (int client = 0; client < clientsAtOnce; ++client) {
        clients.emplace_back([&, client] {
            while (!isOver) {
                const std::string id = newId();
                const Answer answer = fleet.request("POST", client % 2 + 1, id,
                    jobBody("ms=200", { { 1, 500, 200, R"({"required_label":"b"})" } }), 1500);
                const std::lock_guard<std::mutex> guard(mutex);
                answers[id] = answer;
                if (answer.status != 200)
                    sleepMilliseconds(20);
            }
        });
    }
    for (int round = 0; round < rounds; ++round) {
        sleepMilliseconds(3000);
        if (!setting.isTroubled)
            continue;
        fleet.record().write("worker 1 crashes");
        fleet.worker(1).kill();
        sleepMilliseconds(300);
        fleet.startWorker(1);
    }
    sleepMilliseconds(2000);
    isOver = true;
    for (std::thread& client : clients)
        client.join();
    std::vector<std::string> breaks;
    std::set<std::string> seen;
    for (const Begin& begin : fleet.begins()) {
        const auto found = answers.find(jobOf(begin));
        if (found == answers.end() || !seen.insert(found->first).second)
            continue;
        if (found->second.status == 503 || found->second.status == 429)
            breaks.push_back("REFUSED: " + begin.task + " began on " + begin.worker
                + ", and the only request for its job was answered " + std::to_string(found->second.status) + " "
                + found->second.body);
    }
    std::cout << answers.size() << " jobs\n";
    return verdict(fleet, breaks);
}

int playResentAfterCancel(const CaseSetting& setting)
{
    Fleet fleet(setting.ownProgram, setting.root, setting.folder, setting.recordFile, { 3, 2, 2 });
    if (!fleet.start())
        return startFailed(fleet);
    const std::string id = newId();
    const std::string body = jobBody("ms=1500", { { 4, 1000, 1500, "" } });
    Answer submitted;
    std::thread client([&] { submitted = fleet.request("POST", 1, id, body, 10'000); });
    sleepMilliseconds(500);
    const Answer cancelled = fleet.request("DELETE", 1, id, "", 2000);
    const std::int64_t acknowledgedAt = wallMilliseconds();
    client.join();
    if (cancelled.status != 200 || submitted.status != 200)
        return startFailed(fleet);
    sleepMilliseconds(acknowledgedAt + cancelTime + 1000 - wallMilliseconds());
    if (setting.isTroubled)
        fleet.request("POST", 2, id, body, 10'000);
    sleepMilliseconds(1000);
    std::vector<std::string> breaks;
    for (const Begin& begin : fleet.begins()) {
        if (jobOf(begin) == id && begin.at > acknowledgedAt + cancelTime)
            breaks.push_back("UNASKED: " + begin.task + " began on " + begin.worker + " "
                + std::to_string(begin.at - acknowledgedAt) + " ms after the job's cancelling was acknowledged");
    }
    return verdict(fleet, breaks);
}

int playCancelAtAnotherEntry(const CaseSetting& setting)
{
    Fleet fleet(setting.ownProgram, setting.root, setting.folder, setting.recordFile, { 3, 2, 2 });
    if (!fleet.start())
        return startFailed(fleet);
    const std::string id = newId();
    Answer submitted;
    std::thread client([&] {
        submitted = fleet.request(
            "POST", 1, id, jobBody("ms=5000", { { 2, 1000, 5000, "" }, { 2, 1000, 5000, "" } }), 20'000);
    });
    sleepMilliseconds(500);
    if (setting.isTroubled)
        fleet.resetRequest("DELETE", 1, id);
    const Answer cancelled = fleet.request("DELETE", setting.isTroubled ? 2 : 1, id, "", 2000);
    const std::int64_t acknowledgedAt = wallMilliseconds();
    client.join();
    sleepMilliseconds(500);
    if (cancelled.status != 200 && cancelled.status != 410)
        return startFailed(fleet);
    std::vector<std::string> breaks;
    for (const Begin& begin : fleet.begins()) {
        if (jobOf(begin) == id && begin.at > acknowledgedAt + cancelTime)
            breaks.push_back("UNASKED: " + begin.task + " began on " + begin.worker + " "
                + std::to_string(begin.at - acknowledgedAt) + " ms after the job's cancelling was answered "
                + std::to_string(cancelled.status));
    }
    for (const End& end : fleet.ends()) {
        if (end.task.starts_with(id) && end.at > acknowledgedAt + cancelTime + stopTime)
            breaks.push_back("UNASKED: " + end.task + " ended (" + end.how + ") on " + end.worker + " only "
                + std::to_string(end.at - acknowledgedAt) + " ms after the job's cancelling was answered "
                + std::to_string(cancelled.status));
    }
    return verdict(fleet, breaks);
}

int playCapitalDigits(const CaseSetting& setting)
{
    Fleet fleet(setting.ownProgram, setting.root, setting.folder, setting.recordFile, { 3, 2, 2 });
    if (!fleet.start())
        return startFailed(fleet);
    std::set<std::string> sent;
    for (int round = 0; round < 5; ++round) {
        std::string id = newId();
        id[0] = 'a';
        if (setting.isTroubled)
            std::transform(id.begin(), id.end(), id.begin(), [](unsigned char c) { return std::toupper(c); });
        sent.insert(id);
        fleet.request("POST", round % 2 + 1, id, jobBody("case ms=50", { { 2, 1000, 50, "" } }), 1500);
    }
    std::vector<std::string> breaks;
    for (const Begin& begin : fleet.begins()) {
        if (begin.spec.starts_with("case") && sent.count(jobOf(begin)) == 0)
            breaks.push_back(
                "UNASKED: " + begin.worker + " was told to start " + begin.task + ", whose job no client sent");
    }
    return verdict(fleet, breaks);
}

}
