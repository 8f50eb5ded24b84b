#include "celeryswitch/Scenario/ScenarioFleet.h"

#include "celeryswitch/Load/FleetProbe.h"
#include "celeryswitch/Scenario/FreeAddresses.h"
#include <boost/json.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>

namespace celeryswitch::Scenario {

namespace {

constexpr std::chrono::seconds readyTime { 20 };
constexpr std::chrono::seconds endTime { 20 };
const std::vector<std::string> dataCentres { "recife", "fortaleza", "salvador" };

Core::Error startError(const std::string& process, const std::string& detail)
{
    return Core::Error(ScenarioError::StartFailed, process + ": " + detail);
}

// Value of a field of a ready line, "ready pid=1 peer=127.0.0.1:7001".
std::string fieldOf(const std::string& readyLine, const std::string& name)
{
    const std::size_t start = readyLine.find(" " + name + "=");
    if (start == std::string::npos)
        return {};
    const std::size_t value = start + name.size() + 2;
    return readyLine.substr(value, readyLine.find(' ', value) - value);
}

// Address in an endpoint's line, "listening on 127.0.0.1:9000".
std::string addressOf(const std::string& readyLine) { return readyLine.substr(readyLine.rfind(' ') + 1); }

std::string tomlText(const std::string& text) { return "\"" + text + "\""; }

}

ScenarioFleet::ScenarioFleet(FleetSettings settings, FleetDescription description)
    : settings(std::move(settings))
    , description(description)
    , keys("[keys]\n1 = \"scenario-secret-0123456789\"\n")
    , stateAddresses(freeAddresses(description.states + description.spareStates))
{
}

ScenarioFleet::~ScenarioFleet() = default;

std::string ScenarioFleet::common(std::uint32_t index) const
{
    return "dataCentre = " + tomlText(dataCentres[index % dataCentres.size()]) + "\nrack = \"rack-"
        + std::to_string(index) + "\"\n";
}

std::string ScenarioFleet::write(const std::string& name, const std::string& content) const
{
    const std::string path = this->settings.folder + "/" + name + ".toml";
    std::ofstream(path) << content;
    return path;
}

Core::Result<std::string> ScenarioFleet::relayTo(const std::string& link, const std::string& address)
{
    BOOST_OUTCOME_TRY(std::unique_ptr<TcpRelay> relay, TcpRelay::start(address));
    const std::string relayAddress = relay->address();
    this->relays.emplace(link, std::move(relay));
    return relayAddress;
}

// The replicas' addresses as an entry or sidecar reaches them: through relays of its own.
std::string ScenarioFleet::stateAddressList(const std::string& process)
{
    std::string list;
    for (std::uint32_t index = 0; index < this->description.states + this->description.spareStates; ++index) {
        const Core::Result<std::string> relay = this->relayTo(process + ":state", this->stateAddresses[index]);
        const std::string& address = relay ? relay.value() : this->stateAddresses[index];
        list += (list.empty() ? "" : ", ") + tomlText(address);
    }
    return "stateAddresses = [" + list + "]\n";
}

Core::Result<void> ScenarioFleet::prepareStates()
{
    std::string operatorAddresses;
    std::string replicas = "[replicas]\n";
    for (std::uint32_t index = 0; index < this->description.states; ++index)
        replicas += "state-" + std::to_string(index + 1) + " = " + tomlText(this->stateAddresses[index]) + "\n";
    for (std::uint32_t index = 0; index < this->description.states + this->description.spareStates; ++index) {
        const std::string name = "state-" + std::to_string(index + 1);
        const std::string path = this->write(name,
            "name = " + tomlText(name) + "\n" + this->common(index)
                + "peerAddress = " + tomlText(this->stateAddresses[index])
                + "\ndataFolder = " + tomlText(this->settings.folder + "/data-" + name) + "\n" + this->keys + replicas);
        this->processes[name].command = { this->settings.program, "state", "--settings", path };
        operatorAddresses += (operatorAddresses.empty() ? "" : ", ") + tomlText(this->stateAddresses[index]);
    }
    this->write("operator",
        "author = \"scenario\"\nrequestTimeoutMs = 15000\nstateAddresses = [" + operatorAddresses + "]\n" + this->keys);
    for (std::uint32_t index = 0; index < this->description.states; ++index) {
        BOOST_OUTCOME_TRY(this->start("state-" + std::to_string(index + 1)));
    }
    return Core::success();
}

Core::Result<void> ScenarioFleet::startEntries()
{
    const std::vector<std::string> httpAddresses = freeAddresses(this->description.entries);
    for (std::uint32_t index = 0; index < this->description.entries; ++index) {
        const std::string name = "entry-" + std::to_string(index + 1);
        const std::string path = this->write(name,
            "instanceId = " + tomlText(name) + "\n" + this->common(index)
                + "httpAddress = " + tomlText(httpAddresses[index])
                + "\npeerAddress = \"127.0.0.1:0\"\ndatagramAddress = \"127.0.0.1:0\"\n" + this->stateAddressList(name)
                + this->keys);
        this->processes[name].command = { this->settings.program, "entry", "--settings", path };
        BOOST_OUTCOME_TRY(this->start(name));
    }
    return Core::success();
}

Core::Result<void> ScenarioFleet::startSidecars()
{
    for (std::uint32_t index = 0; index < this->description.sidecars; ++index) {
        const std::string endpoint = "endpoint-" + std::to_string(index + 1);
        const std::string name = "sidecar-" + std::to_string(index + 1);
        this->processes[endpoint].command = { this->settings.standIns, "fake-endpoint", "--journal",
            this->settings.folder + "/" + endpoint + ".journal" };
        BOOST_OUTCOME_TRY(this->start(endpoint));
        BOOST_OUTCOME_TRY(
            const std::string relay, this->relayTo(endpoint, addressOf(this->processes[endpoint].readyLine)));
        const std::string path = this->write(name,
            "instanceId = " + tomlText(name) + "\n" + this->common(index) + "service = \"ordering\"\nslots = "
                + std::to_string(this->description.slots) + "\nendpointAddress = " + tomlText(relay)
                + "\npeerAddress = \"127.0.0.1:0\"\ndatagramAddress = \"127.0.0.1:0\"\n" + this->stateAddressList(name)
                + this->keys);
        this->processes[name].command = { this->settings.program, "sidecar", "--settings", path };
        BOOST_OUTCOME_TRY(this->start(name));
    }
    return Core::success();
}

Core::Result<void> ScenarioFleet::waitKnown()
{
    for (const std::string& entry : this->entryAddresses()) {
        const bool isKnown = waitUntil(readyTime, [&] {
            const auto sidecars = Load::metricSumOf({ entry }, { "celeryswitch_entry_connected_sidecars" }, {});
            const auto ready = Load::metricSumOf({ entry }, { "celeryswitch_entry_ready" }, {});
            return ready == 1 && sidecars == static_cast<double>(this->description.sidecars);
        });
        if (!isKnown)
            return startError(entry, "does not reach every sidecar");
    }
    return Core::success();
}

Core::Result<void> ScenarioFleet::startAll()
{
    BOOST_OUTCOME_TRY(this->prepareStates());
    BOOST_OUTCOME_TRY(this->startEntries());
    BOOST_OUTCOME_TRY(this->startSidecars());
    return this->waitKnown();
}

Core::Result<ScenarioFleet::Process*> ScenarioFleet::find(const std::string& process)
{
    std::string name = process;
    if (process == "state-leader") {
        const std::optional<std::string> leading = this->leader();
        if (!leading)
            return Core::Error(ScenarioError::ExpectationFailed, "no replica leads");
        name = *leading;
    }
    const auto found = this->processes.find(name);
    if (found == this->processes.end())
        return Core::Error(ScenarioError::Invalid, "the fleet has no process \"" + process + "\"");
    return &found->second;
}

Core::Result<void> ScenarioFleet::start(const std::string& process)
{
    BOOST_OUTCOME_TRY(Process* const found, this->find(process));
    Core::Result<ChildProcess> child
        = ChildProcess::start(found->command, this->settings.folder + "/" + process + ".log");
    if (!child)
        return child.error();
    found->child.emplace(std::move(child.value()));
    const Core::Result<std::string> line = found->child->waitReady(readyTime);
    if (!line)
        return startError(process, line.error().detail());
    found->readyLine = line.value();
    // An endpoint listens on a new port after each start; its sidecar reaches it through the same relay as before.
    const auto relay = this->relays.find(process);
    if (relay != this->relays.end())
        relay->second->setDestination(addressOf(found->readyLine));
    return Core::success();
}

Core::Result<void> ScenarioFleet::signal(const std::string& process, int number)
{
    BOOST_OUTCOME_TRY(Process* const found, this->find(process));
    if (!found->child || !found->child->isRunning())
        return Core::Error(ScenarioError::Invalid, process + " does not run");
    found->child->signal(number);
    if (number == SIGKILL && !found->child->waitEnd(endTime))
        return startError(process, "does not end");
    return Core::success();
}

Core::Result<void> ScenarioFleet::waitEnd(const std::string& process, Core::Duration span)
{
    BOOST_OUTCOME_TRY(Process* const found, this->find(process));
    if (found->child && !found->child->waitEnd(span))
        return Core::Error(ScenarioError::ExpectationFailed, process + " still runs");
    return Core::success();
}

Core::Result<void> ScenarioFleet::deleteData(const std::string& process)
{
    BOOST_OUTCOME_TRY(Process* const found, this->find(process));
    if (found->child && found->child->isRunning())
        return Core::Error(ScenarioError::Invalid, process + " still runs");
    std::error_code error;
    std::filesystem::remove_all(this->settings.folder + "/data-" + process, error);
    if (error)
        return Core::Error(ScenarioError::StartFailed, "data of " + process + ": " + error.message());
    return Core::success();
}

Core::Result<void> ScenarioFleet::setCut(const std::string& link, bool isCut)
{
    const auto [first, last] = this->relays.equal_range(link);
    if (first == last)
        return Core::Error(ScenarioError::Invalid, "the fleet has no link \"" + link + "\"");
    for (auto relay = first; relay != last; ++relay)
        relay->second->setCut(isCut);
    return Core::success();
}

Core::Result<std::string> ScenarioFleet::entryAddress(const std::string& process) const
{
    const auto found = this->processes.find(process);
    if (found == this->processes.end() || fieldOf(found->second.readyLine, "http").empty())
        return Core::Error(ScenarioError::Invalid, "the fleet has no entry \"" + process + "\"");
    return fieldOf(found->second.readyLine, "http");
}

std::vector<std::string> ScenarioFleet::entryAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto& [name, process] : this->processes) {
        if (!fieldOf(process.readyLine, "http").empty())
            addresses.push_back(fieldOf(process.readyLine, "http"));
    }
    return addresses;
}

std::optional<std::string> ScenarioFleet::leader()
{
    const CommandOutput status = this->command({ "members", "replicas" });
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(status.output, error);
    const boost::json::object* object = error ? nullptr : value.if_object();
    const boost::json::value* address = object ? object->if_contains("leader") : nullptr;
    for (std::size_t index = 0; address && address->is_string() && index < this->stateAddresses.size(); ++index) {
        if (this->stateAddresses[index] == address->as_string())
            return "state-" + std::to_string(index + 1);
    }
    return std::nullopt;
}

std::string ScenarioFleet::replicaId(const std::string& process) const
{
    const auto found = this->processes.find(process);
    return found == this->processes.end() ? std::string() : fieldOf(found->second.readyLine, "replica");
}

std::string ScenarioFleet::stateAddress(const std::string& process) const
{
    const auto found = this->processes.find(process);
    return found == this->processes.end() ? std::string() : fieldOf(found->second.readyLine, "peer");
}

CommandOutput ScenarioFleet::command(std::vector<std::string> arguments) const
{
    arguments.insert(arguments.begin(), this->settings.program);
    arguments.insert(arguments.end(), { "--settings", this->settings.folder + "/operator.toml" });
    return runCommand(arguments, this->settings.folder + "/commands.log");
}

std::vector<std::string> ScenarioFleet::journals() const
{
    std::vector<std::string> files;
    for (std::uint32_t index = 0; index < this->description.sidecars; ++index)
        files.push_back(this->settings.folder + "/endpoint-" + std::to_string(index + 1) + ".journal");
    return files;
}

}
