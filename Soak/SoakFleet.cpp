#include "Soak/SoakFleet.h"

#include <filesystem>
#include <fstream>

namespace celeryswitch::Soak {

namespace {

const std::vector<std::string> zones { "recife", "fortaleza", "salvador" };

std::string quoted(const std::string& text) { return "\"" + text + "\""; }

std::string roleOf(const std::string& process) { return process.substr(0, process.find('-')); }

}

SoakFleet::SoakFleet(std::string program, std::string folder, std::string network, SoakSize size)
    : program(std::move(program))
    , root(std::move(folder))
    , network(std::move(network))
    , toleratedLosses((std::max(size.states, 1U) - 1) / 2)
{
    const std::pair<const char*, std::uint32_t> roles[] { { "state", size.states }, { "entry", size.entries },
        { "sidecar", size.workers } };
    for (const auto& [role, count] : roles) {
        for (std::uint32_t number = 1; number <= count; ++number)
            this->place(role);
    }
}

std::string SoakFleet::place(const std::string& role)
{
    const std::string process = role + "-" + std::to_string(++this->lastNumbers[role]);
    this->numbers[process] = "127." + this->network + "." + std::to_string(++this->lastAddress);
    return process;
}

std::string SoakFleet::add(const std::string& role)
{
    const std::string process = this->place(role);
    this->wasStarted[process] = true;
    return process;
}

void SoakFleet::remove(const std::string& process)
{
    this->deleteData(process);
    this->children.erase(process);
    this->numbers.erase(process);
}

std::vector<std::string> SoakFleet::seeds() const
{
    std::vector<std::string> found;
    for (const std::string& process : this->processes("state")) {
        if (found.size() < 3)
            found.push_back(this->controlAddress(process));
    }
    return found;
}

void SoakFleet::rewriteSettings() const
{
    for (const auto& [process, number] : this->numbers)
        this->writeSettings(process);
}

std::string SoakFleet::address(const std::string& process, std::uint16_t port) const
{
    return this->numbers.at(process) + ":" + std::to_string(port);
}

void SoakFleet::setWorkerAddress(std::uint32_t number, const std::string& address)
{
    this->workerAddresses["sidecar-" + std::to_string(number)] = address;
}

void SoakFleet::setLimits(std::size_t memoryMegabytes, std::size_t descriptors)
{
    this->limits = "[limits]\nmemory_mb = " + std::to_string(memoryMegabytes)
        + "\nmax_fds = " + std::to_string(descriptors) + "\n";
}

void SoakFleet::writeSettings(const std::string& process) const
{
    const std::string role = roleOf(process);
    const auto number = static_cast<std::size_t>(std::stoul(process.substr(process.find('-') + 1)));
    std::string seedList;
    for (const std::string& seed : this->seeds())
        seedList += (seedList.empty() ? "" : ", ") + quoted(seed);
    std::ofstream file(this->root + "/" + process + ".toml");
    file << "node = " << quoted(process) << "\nip = " << quoted(this->numbers.at(process))
         << "\nzone = " << quoted(zones[number % zones.size()]) << "\nport_range = [18120, 18135]\nseeds = ["
         << seedList << "]\nbootstrap = " << (this->wasStarted.count(process) > 0 ? "false" : "true")
         << "\ndata_dir = " << quoted(this->root + "/data-" + process) << "\n";
    if (role == "sidecar")
        file << "app = " << quoted(this->workerAddresses.at(process)) << "\nservice = \"loans\"\n";
    file << "[listen]\n";
    if (role == "entry")
        file << "front = " << quoted(this->entryAddress(process))
             << "\nreadiness_address = " << quoted(this->readinessAddress(process)) << "\n";
    else
        file << "control = " << quoted(this->controlAddress(process)) << "\n";
    file << this->limits << "[fault_tolerance]\nmachines = " << this->toleratedLosses
         << "\n[bounds]\nmax_hold_ms = 1000\nstop_timeout_ms = 50\nretransmit_ms = 1300\ngrace_s = 6\n";
}

Core::Result<void> SoakFleet::start(const std::string& process)
{
    if (this->isRunning(process))
        return Core::success();
    std::filesystem::create_directories(this->root + "/data-" + process);
    this->writeSettings(process);
    this->wasStarted[process] = true;
    // Standard output goes to a file, which the shell sets up before it becomes the process.
    Core::Result<Scenario::ChildProcess> child = Scenario::ChildProcess::start(
        { "/bin/sh", "-c", "exec \"$0\" platform \"$1\" --settings \"$2\" >> \"$3\"", this->program, roleOf(process),
            this->root + "/" + process + ".toml", this->root + "/" + process + ".log" },
        this->root + "/" + process + ".err");
    if (!child)
        return child.error();
    this->children[process] = std::make_unique<Scenario::ChildProcess>(std::move(child).value());
    return Core::success();
}

void SoakFleet::signal(const std::string& process, int number)
{
    if (this->isRunning(process))
        this->children.at(process)->signal(number);
}

bool SoakFleet::isRunning(const std::string& process)
{
    const auto found = this->children.find(process);
    return found != this->children.end() && found->second->isRunning();
}

bool SoakFleet::waitEnd(const std::string& process, Core::Duration span)
{
    const auto found = this->children.find(process);
    return found == this->children.end() || found->second->waitEnd(span);
}

void SoakFleet::deleteData(const std::string& process)
{
    std::error_code ignored;
    std::filesystem::remove_all(this->root + "/data-" + process, ignored);
}

std::vector<std::string> SoakFleet::processes(const std::string& role) const
{
    std::vector<std::string> found;
    for (const auto& [process, number] : this->numbers) {
        if (roleOf(process) == role)
            found.push_back(process);
    }
    return found;
}

}
