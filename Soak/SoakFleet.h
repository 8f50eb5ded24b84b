#pragma once

#include "celeryswitch/Core/Result.h"
#include "celeryswitch/Scenario/ChildProcess.h"
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace celeryswitch::Soak {

/// How large the fleet is.
struct SoakSize {
    std::uint32_t states = 3;
    std::uint32_t entries = 2;
    std::uint32_t workers = 4;
};

/// The real processes of a fleet on the platform, each at a loopback address of its own, with the settings files that
/// the platform would write.
class SoakFleet {
public:
    /// `folder` holds settings, logs and data; `network` is the second and third number of the addresses, "100.7".
    SoakFleet(std::string program, std::string folder, std::string network, SoakSize size);

    /// Writes the settings of every process; worker `number` is reached at `address`.
    void setWorkerAddress(std::uint32_t number, const std::string& address);
    /// Writes `[limits]` into the settings of every process; without it, the settings name none.
    void setLimits(std::size_t memoryMegabytes, std::size_t descriptors);
    /// Adds a process of a role at an address of its own, which starts without the mark of the first start; returns its
    /// name.
    std::string add(const std::string& role);
    /// Forgets a process that does not run, with its data.
    void remove(const std::string& process);
    /// Writes the settings of all processes again, with the present seeds.
    void rewriteSettings() const;
    /// Starts a process, "state-1", "entry-1", "sidecar-1"; nothing happens while it runs.
    Core::Result<void> start(const std::string& process);
    /// Sends a signal to a process that runs.
    void signal(const std::string& process, int number);
    /// Whether a process runs.
    bool isRunning(const std::string& process);
    /// Process id of a process that runs.
    pid_t processId(const std::string& process) const { return this->children.at(process)->id(); }
    /// Waits for the end of a process.
    bool waitEnd(const std::string& process, Core::Duration span);
    /// Deletes the data of a process that does not run, which is no first start any more.
    void deleteData(const std::string& process);
    /// Names of all processes of a role.
    std::vector<std::string> processes(const std::string& role) const;
    /// Addresses.
    std::string entryAddress(const std::string& process) const { return this->address(process, frontPort); }
    std::string readinessAddress(const std::string& process) const { return this->address(process, readinessPort); }
    std::string controlAddress(const std::string& process) const { return this->address(process, controlPort); }
    const std::string& folder() const { return this->root; }

private:
    static constexpr std::uint16_t frontPort = 18161;
    static constexpr std::uint16_t readinessPort = 18167;
    static constexpr std::uint16_t controlPort = 18166;

    // Gives a new process of a role its name and address.
    std::string place(const std::string& role);
    std::string address(const std::string& process, std::uint16_t port) const;
    // Control addresses of the first state replicas that there are.
    std::vector<std::string> seeds() const;
    void writeSettings(const std::string& process) const;

    std::string program;
    std::string root;
    std::string network;
    /// IP number of each process.
    std::map<std::string, std::string> numbers;
    std::map<std::string, std::string> workerAddresses;
    std::string limits;
    std::uint32_t toleratedLosses;
    std::uint32_t lastAddress = 0;
    std::map<std::string, std::uint32_t> lastNumbers;
    std::map<std::string, std::unique_ptr<Scenario::ChildProcess>> children;
    /// Processes that were started before.
    std::map<std::string, bool> wasStarted;
};

}
