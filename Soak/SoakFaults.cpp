// The faults of a soak run: signals, restarts, lost disks, workers and their paths.
#include "Soak/SoakRun.h"

#include <csignal>

namespace celeryswitch::Soak {

using Core::Duration;

namespace {

// Time after a lost disk until another may be lost: the group takes the new replica in meanwhile.
constexpr std::chrono::seconds diskPause { 6 };
// Time that a process has to install its signal handlers.
constexpr std::chrono::milliseconds handlerTime { 300 };

Duration milliseconds(std::size_t count) { return std::chrono::milliseconds(count); }

}

void SoakRun::fault(const std::string& text)
{
    const auto span = Core::BootClock::now() - this->startedAt;
    this->result.faults.push_back(
        std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count()) + " ms: " + text);
}

void SoakRun::planFaults()
{
    if (Core::BootClock::now() >= this->startedAt + this->settings.duration) {
        for (const auto& worker : this->workers) {
            worker->setCut(false);
            worker->setLatePart(0);
            worker->restoreKind();
        }
        return;
    }
    this->injectFault();
    this->later(milliseconds(150 + this->draw(700)), [this] { this->planFaults(); });
}

void SoakRun::restart(const std::string& process, Duration span, const std::string& what, bool isDataLost)
{
    if (!this->harmed.insert(process).second) {
        // Another fault has it; one that was stopped gracefully still has to come back.
        if (this->stoppedAt.count(process) > 0)
            this->later(milliseconds(500), [=, this] { this->restart(process, span, what, isDataLost); });
        return;
    }
    this->harmedAt[process] = Core::BootClock::now();
    this->fault(what + " " + process);
    this->fleet.signal(process, SIGKILL);
    this->fleet.waitEnd(process, std::chrono::seconds(5));
    if (isDataLost)
        this->fleet.deleteData(process);
    this->later(span, [this, process] {
        this->stoppedAt.erase(process);
        this->startedAtOf[process] = Core::BootClock::now();
        if (const Core::Result<void> started = this->fleet.start(process); !started)
            this->violation(process + " can't start again: " + started.error().message());
        this->harmed.erase(process);
    });
}

void SoakRun::freeze(const std::string& process, Duration span)
{
    if (!this->harmed.insert(process).second)
        return;
    this->harmedAt[process] = Core::BootClock::now();
    this->fault("freeze " + process);
    this->fleet.signal(process, SIGSTOP);
    this->later(span, [this, process] {
        this->fleet.signal(process, SIGCONT);
        this->later(std::chrono::milliseconds(200), [this, process] { this->harmed.erase(process); });
    });
}

void SoakRun::stopGracefully(const std::string& process)
{
    if (this->harmed.count(process) > 0 || !this->stoppedAt.emplace(process, Core::BootClock::now()).second)
        return;
    this->fault("stop " + process);
    this->fleet.signal(process, SIGTERM);
    this->later(std::chrono::seconds(6), [this, process] { this->restart(process, milliseconds(100), "start again"); });
}

void SoakRun::injectFault()
{
    const auto states = this->fleet.processes("state");
    const auto entries = this->fleet.processes("entry");
    const auto sidecars = this->fleet.processes("sidecar");
    const auto any = [this](const std::vector<std::string>& from) { return from[this->draw(from.size())]; };
    const std::size_t worker = this->draw(this->workers.size());
    const Duration shortSpan = milliseconds(200 + this->draw(2500));
    const std::string workerName = "worker " + std::to_string(worker + 1);
    switch (this->draw(16)) {
    case 0:
        return this->restart(any(sidecars), milliseconds(500), "kill");
    case 1:
        return this->restart(any(entries), milliseconds(500), "kill");
    case 2:
        return this->restart(any(states), milliseconds(500 + this->draw(3000)), "kill");
    case 3:
        return this->freeze(any(sidecars), shortSpan);
    case 4:
        return this->freeze(any(entries), shortSpan);
    case 5:
        return this->freeze(any(states), milliseconds(500 + this->draw(5000)));
    case 6:
        return this->stopGracefully(any(entries));
    case 7:
        return this->stopGracefully(any(this->chance() < 0.5 ? sidecars : states));
    case 8:
        this->fault("crash of " + workerName);
        return this->workers[worker]->crash(milliseconds(300 + this->draw(2000)));
    case 9:
        this->fault("path to " + workerName + " cut");
        this->workers[worker]->setCut(true);
        return this->later(shortSpan, [this, worker] { this->workers[worker]->setCut(false); });
    case 10:
        this->fault("orders to " + workerName + " carried out late");
        this->workers[worker]->setLatePart(0.1);
        return this->later(std::chrono::seconds(2), [this, worker] { this->workers[worker]->setLatePart(0); });
    case 11:
    case 12:
        this->fault(workerName + " is grey");
        this->grey[worker] = { Core::BootClock::now() + std::chrono::seconds(3), this->chance() < 0.5 };
        return;
    case 13:
        this->fault("settings read again everywhere");
        for (const auto* role : { &states, &entries, &sidecars }) {
            for (const std::string& process : *role) {
                // A process that has hardly begun can't have a handler yet.
                if (Core::BootClock::now() > this->startedAtOf[process] + handlerTime)
                    this->fleet.signal(process, SIGHUP);
            }
        }
        return;
    case 14:
        for (const auto* role : { &states, &entries, &sidecars }) {
            for (const std::string& process : *role) {
                if (role == &states || this->chance() < 0.5)
                    this->restart(process, milliseconds(300 + this->draw(700)), "kill at once");
            }
        }
        return;
    default: {
        if (this->areStatesWhole() && Core::BootClock::now() >= this->diskLostAt + diskPause)
            this->loseDisk(any(states));
    }
    }
}

bool SoakRun::areStatesWhole() const
{
    const std::vector<std::string> states = this->fleet.processes("state");
    return std::none_of(states.begin(), states.end(), [this](const std::string& state) {
        return this->harmed.count(state) > 0 || this->stoppedAt.count(state) > 0 || this->replaced.count(state) > 0;
    });
}

void SoakRun::loseDisk(const std::string& lost)
{
    this->diskLostAt = Core::BootClock::now();
    this->restart(lost, milliseconds(300), "disk lost of", true);
    // The others stay untouched until the group has taken the new replica in.
    for (const std::string& state : this->fleet.processes("state")) {
        if (state != lost && this->harmed.insert(state).second)
            this->later(std::chrono::seconds(4), [this, state] { this->harmed.erase(state); });
    }
}

void SoakRun::watchProcesses()
{
    for (const char* role : { "state", "entry", "sidecar" }) {
        for (const std::string& process : this->fleet.processes(role)) {
            if (this->harmed.count(process) == 0 && this->stoppedAt.count(process) == 0
                && this->replaced.count(process) == 0 && !this->fleet.isRunning(process)) {
                this->violation(process + " ended by itself");
                this->restart(process, milliseconds(100), "restart after its own end of");
            }
        }
    }
    this->later(milliseconds(200), [this] { this->watchProcesses(); });
}

}
