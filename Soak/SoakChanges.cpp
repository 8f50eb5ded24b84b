// The planned changes of a soak run, beside its faults.
#include "Soak/SoakRun.h"

#include <csignal>

namespace celeryswitch::Soak {

using Core::Duration;
using Core::SteadyTime;

namespace {

// Time from the start of a new replica to the end of the one that it replaces, and in which it is to catch up.
constexpr std::chrono::seconds overlapTime { 6 };
constexpr std::chrono::seconds catchUpTime { 4 };
// Time after which the platform kills a process that it has told to stop.
constexpr std::chrono::seconds graceTime { 6 };
// A replica that has ended within this time was out of the group before.
constexpr std::chrono::milliseconds promptEnd { 2000 };
// Limits of bodies before and after a change, and the padding of a job between the two.
constexpr std::size_t smallBodyBytes = 2048;
constexpr std::size_t largeBodyBytes = 262'144;
constexpr std::size_t probePadding = 3000;
// Time after its confirmation within which a document is in force.
constexpr std::chrono::seconds applyTime { 2 };
// Times of the calm time at which connections open and the limit changes.
constexpr std::chrono::milliseconds openedAfter { 500 };
constexpr std::chrono::milliseconds raisedAfter { 3000 };
constexpr std::chrono::milliseconds loweredAfter { 7500 };
constexpr std::size_t oldConnectionsPerEntry = 2;
constexpr std::uint16_t tooLargeStatus = 413;

SteadyTime now() { return Core::BootClock::now(); }

}

DocumentContent SoakRun::contentOf(std::uint64_t version) const
{
    DocumentContent content;
    content.queues = queueCount + static_cast<std::uint32_t>(version % 4);
    content.hasAdmissionControl = !this->settings.hasChanges;
    const auto changes = std::count_if(this->limitChanges.begin(), this->limitChanges.end(),
        [version](std::uint64_t changed) { return version >= changed; });
    if (this->settings.hasChanges)
        content.bodyBytes = changes % 2 == 0 ? smallBodyBytes : largeBodyBytes;
    return content;
}

void SoakRun::planChanges()
{
    // The last replacement ends before the calm time.
    const SteadyTime last = this->startedAt
        + std::max<Duration>(this->settings.duration - overlapTime - promptEnd, std::chrono::milliseconds(0));
    if (now() > last)
        return;
    const bool isPlanned = this->changeRandom() % 3 != 0;
    const std::size_t most = (this->settings.size.states - 1) / 2;
    const std::size_t count = most > 0 ? 1 + this->changeRandom() % most : 0;
    if (count > 0 && this->areStatesWhole() && now() >= this->diskLostAt + overlapTime)
        this->replaceStates(count, isPlanned);
    this->later(std::chrono::milliseconds(1000 + this->changeRandom() % 2000), [this] { this->planChanges(); });
}

void SoakRun::replaceStates(std::size_t count, bool isPlanned)
{
    std::vector<std::string> states = this->fleet.processes("state");
    std::shuffle(states.begin(), states.end(), this->changeRandom);
    states.resize(count);
    // No disk is lost until the new ones have caught up.
    this->diskLostAt = now();
    for (const std::string& old : states) {
        const std::string added = this->fleet.add("state");
        this->replaced.insert(old);
        this->replaced.insert(added);
        this->startedAtOf[added] = now();
        this->fault(std::string(isPlanned ? "planned" : "unplanned") + " replacement of " + old + " by " + added);
        const auto startAdded = [this, added] {
            if (const Core::Result<void> started = this->fleet.start(added); !started)
                this->violation(added + " can't start: " + started.error().message());
        };
        if (isPlanned) {
            startAdded();
            this->later(overlapTime, [this, old, added] {
                this->replaced.erase(added);
                this->retireState(old);
            });
            continue;
        }
        this->harmed.insert(old);
        this->fleet.signal(old, SIGKILL);
        this->fleet.waitEnd(old, std::chrono::seconds(5));
        this->fleet.remove(old);
        this->later(std::chrono::seconds(1), [this, old, added, startAdded] {
            startAdded();
            this->later(catchUpTime, [this, old, added] {
                this->replaced.erase(added);
                this->replaced.erase(old);
            });
        });
        // Beside a lost disk the others stay untouched.
        for (const std::string& state : this->fleet.processes("state")) {
            if (state != added && this->harmed.insert(state).second)
                this->later(std::chrono::seconds(1) + catchUpTime, [this, state] { this->harmed.erase(state); });
        }
    }
    this->fleet.rewriteSettings();
}

void SoakRun::retireState(const std::string& state)
{
    if (!this->harmed.insert(state).second)
        return this->later(std::chrono::milliseconds(200), [this, state] { this->retireState(state); });
    this->fault("stop " + state + " for good");
    this->fleet.signal(state, SIGTERM);
    this->awaitRetirement(state, now());
}

void SoakRun::awaitRetirement(const std::string& state, SteadyTime toldAt)
{
    if (this->fleet.isRunning(state) && now() < toldAt + graceTime)
        return this->later(
            std::chrono::milliseconds(5), [this, state, toldAt] { this->awaitRetirement(state, toldAt); });
    this->fleet.signal(state, SIGKILL);
    this->fleet.waitEnd(state, std::chrono::seconds(5));
    this->fleet.remove(state);
    this->replaced.erase(state);
    this->fleet.rewriteSettings();
    // The group has to bear a lost disk at once.
    if (now() < toldAt + promptEnd && this->areStatesWhole() && this->changeRandom() % 2 == 0) {
        const std::vector<std::string> states = this->fleet.processes("state");
        this->loseDisk(states[this->changeRandom() % states.size()]);
    }
}

void SoakRun::planLimitChanges()
{
    const Duration calmFrom = this->settings.duration;
    this->later(calmFrom + openedAfter, [this] {
        for (const std::string& entry : this->fleet.processes("entry")) {
            for (std::size_t number = 0; number < oldConnectionsPerEntry; ++number) {
                this->oldCallers.push_back(
                    { entry, std::make_unique<Http::HttpConnection>(this->context, this->fleet.entryAddress(entry)),
                        true, now() });
                Caller& caller = this->oldCallers.back();
                caller.connection->request({ "GET", queuePrefix(0), { { "Host", queueHost(0) } }, "" },
                    std::chrono::seconds(2),
                    [&caller](const Core::Result<Http::HttpResponse>&) { caller.isBusy = false; });
            }
        }
    });
    this->later(calmFrom + raisedAfter, [this] { this->changeLimit(true); });
    this->later(calmFrom + loweredAfter, [this] { this->changeLimit(false); });
}

void SoakRun::changeLimit(bool isRaised)
{
    const std::uint64_t version = ++this->nextVersion;
    this->limitChanges.push_back(version);
    this->put(version, 0);
    this->awaitLimit(version, isRaised);
}

void SoakRun::awaitLimit(std::uint64_t version, bool isRaised)
{
    if (this->isOver)
        return;
    if (this->confirmed < version)
        return this->later(
            std::chrono::milliseconds(20), [this, version, isRaised] { this->awaitLimit(version, isRaised); });
    this->later(applyTime, [this, isRaised] {
        // One connection of each entry for each change, so that none is busy or was refused before.
        for (std::size_t index = isRaised ? 0 : 1; index < this->oldCallers.size(); index += oldConnectionsPerEntry)
            this->probeLimit(this->oldCallers[index], isRaised);
    });
}

void SoakRun::probeLimit(Caller& caller, bool isAllowed)
{
    // The end of a process ends its connections.
    const bool hasEnded = this->startedAtOf[caller.entry] > caller.openedAt || this->stoppedAt.count(caller.entry) > 0
        || this->harmed.count(caller.entry) > 0;
    if (caller.isBusy || !caller.connection->isOpen()) {
        if (!hasEnded)
            this->violation("a connection to " + caller.entry + " that was open before a limit changed is closed");
        return;
    }
    const std::uint64_t number = ++this->lastJob;
    Job& job = this->jobs[number];
    job.id = Messages::jobText(number);
    job.taskTimes = { std::chrono::milliseconds(60) };
    job.milliCores = 1000;
    job.sentAt = now();
    job.patience = std::chrono::milliseconds(1500);
    job.submissions = 1;
    Http::HttpRequest request = writeJob(queueHost(0), queuePrefix(0), job.id, 1, { job.milliCores, 64, 0 }, 60, "",
        std::chrono::duration_cast<std::chrono::milliseconds>(job.patience).count(), probePadding);
    caller.connection->request(std::move(request), job.patience,
        [this, number, isAllowed, entry = caller.entry](const Core::Result<Http::HttpResponse>& response) {
            const std::uint16_t status = response ? response.value().statusCode : std::uint16_t { 0 };
            if ((status == tooLargeStatus) == isAllowed)
                this->violation(entry + " answered a request on an older connection with " + std::to_string(status)
                    + " although the limit in force " + (isAllowed ? "allows" : "refuses") + " it");
            Job& probed = this->jobs.at(number);
            probed.isEnded = true;
            probed.isCompleted = status == 200 && response.value().body.find("completed") != std::string::npos;
            probed.refusals += status == 503 || status == 429 || status == tooLargeStatus ? 1 : 0;
        });
}

}
