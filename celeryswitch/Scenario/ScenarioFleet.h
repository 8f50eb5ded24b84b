#pragma once

#include "celeryswitch/Scenario/ScenarioFile.h"
#include "celeryswitch/Scenario/TcpRelay.h"
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace celeryswitch::Scenario {

/// Programs and folder of a scenario run.
struct FleetSettings {
    /// Path of celeryswitch and of celeryswitch-standins.
    std::string program;
    std::string standIns;
    /// Folder for settings, logs and data; exists and is empty.
    std::string folder;
};

/// The processes of a scenario: "state-1", "entry-1", "sidecar-1", "endpoint-1" and so on. "state-leader" names the
/// leading replica at that moment. Links that can be cut: "endpoint-1" (sidecar to endpoint) and "entry-1:state",
/// "sidecar-1:state" (to all replicas).
class ScenarioFleet {
public:
    ScenarioFleet(FleetSettings settings, FleetDescription description);
    ~ScenarioFleet();
    ScenarioFleet(const ScenarioFleet&) = delete;
    ScenarioFleet& operator=(const ScenarioFleet&) = delete;

    /// Writes the settings, starts every process and waits until the entries reach all sidecars.
    Core::Result<void> startAll();
    /// Starts a process with the settings that it had before.
    Core::Result<void> start(const std::string& process);
    /// Sends a signal to a process; SIGKILL also waits for its end.
    Core::Result<void> signal(const std::string& process, int number);
    /// Waits until a process has ended.
    Core::Result<void> waitEnd(const std::string& process, Core::Duration span);
    /// Deletes the data folder of a replica that does not run.
    Core::Result<void> deleteData(const std::string& process);
    /// Cuts or heals a link.
    Core::Result<void> setCut(const std::string& link, bool isCut);
    /// HTTP address of an entry, by its process name.
    Core::Result<std::string> entryAddress(const std::string& process) const;
    /// HTTP addresses of all entries.
    std::vector<std::string> entryAddresses() const;
    /// Name of the leading replica; nothing when the replicas that answer know none.
    std::optional<std::string> leader();
    /// Id of a replica's data folder, from its ready line.
    std::string replicaId(const std::string& process) const;
    /// Peer address of a replica.
    std::string stateAddress(const std::string& process) const;
    /// Runs an operator command with the fleet's operator settings.
    CommandOutput command(std::vector<std::string> arguments) const;
    /// Journals of the endpoints; they outlive a killed endpoint.
    std::vector<std::string> journals() const;
    /// Folder with settings, logs and data.
    const std::string& folder() const { return this->settings.folder; }

private:
    // A process and how to start it.
    struct Process {
        std::vector<std::string> command;
        std::optional<ChildProcess> child;
        std::string readyLine;
    };

    std::string common(std::uint32_t index) const;
    std::string stateAddressList(const std::string& process);
    std::string write(const std::string& name, const std::string& content) const;
    Core::Result<void> prepareStates();
    Core::Result<void> startEntries();
    Core::Result<void> startSidecars();
    Core::Result<void> waitKnown();
    Core::Result<Process*> find(const std::string& process);
    Core::Result<std::string> relayTo(const std::string& link, const std::string& address);

    FleetSettings settings;
    FleetDescription description;
    std::string keys;
    std::vector<std::string> stateAddresses;
    std::map<std::string, Process> processes;
    std::multimap<std::string, std::unique_ptr<TcpRelay>> relays;
};

}
