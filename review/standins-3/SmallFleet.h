#pragma once

#include "Soak/SoakFleet.h"
#include "Soak/SoakWorker.h"
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace celeryswitch::Review {

/// One start of a task as a worker saw it.
struct SeenStart {
    std::string task;
    std::string workerId;
    Core::SteadyTime startedAt;
    Core::SteadyTime endedAt;
    std::string end;
};

/// A small deployment of real processes with stand-ins for its workers, its operator and its platform, and the record
/// of a case.
class SmallFleet {
public:
    /// `folder` is an empty folder for settings, data and logs. Each task runs for what `timeOf` says.
    SmallFleet(const std::string& program, const std::string& folder, Soak::SoakSize size,
        std::function<Core::Duration(const Messages::TaskId&)> timeOf);

    /// Starts everything, puts a desired state with one queue of this timeout, and waits until each entry has run a job
    /// and the core has been stable for longer than contact_ms. False if that fails; the record says why.
    bool start(int timeoutMilliseconds);
    /// Sets the zero of the times in the record.
    void begin() { this->begunAt = now(); }
    /// Serves the stand-ins for a time.
    void run(Core::Duration span);
    /// Calls a function after a time, while the stand-ins are served.
    void later(Core::Duration span, std::function<void()> action);
    /// Adds a line to record.txt.
    void note(const std::string& text);
    /// Milliseconds since `begin`.
    std::int64_t elapsed(Core::SteadyTime time) const;
    /// All starts of the tasks of a job.
    std::vector<SeenStart> starts(const std::string& job) const;
    /// One call on a connection of its own, which the stand-ins are served beside; its status, 0 without an answer.
    std::uint16_t call(const std::string& address, Http::HttpRequest request, Core::Duration timeout);

    static Core::SteadyTime now() { return Core::BootClock::now(); }

    boost::asio::io_context context { 1 };
    Soak::SoakFleet processes;

private:
    bool putDocument(int timeoutMilliseconds);

    std::ofstream record;
    Core::SteadyTime begunAt;
    std::function<Core::Duration(const Messages::TaskId&)> timeOf;
    std::vector<std::unique_ptr<Soak::SoakWorker>> workers;
};

/// Exit codes of a case.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int notRun = 2;

/// Whether the case is played with its disruption.
bool isTroubled();

}
