#include "Fleet.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int frontPort = 18161;
constexpr int controlPort = 18166;
constexpr int readyPort = 18167;
constexpr int workerPort = 18080;
constexpr int metricsPort = 9464;
const char* const zones[] { "recife", "fortaleza", "salvador" };

std::string quoted(const std::string& text) { return "\"" + text + "\""; }

int numberOf(const std::string& name) { return std::stoi(name.substr(name.find('-') + 1)); }
std::string roleOf(const std::string& name) { return name.substr(0, name.find('-')); }

}

Fleet::Fleet(std::string program, FleetSize size)
    : program(std::move(program))
    , fleetSize(std::move(size))
{
    char path[] = "/tmp/review-XXXXXX";
    this->folder = ::mkdtemp(path);
    const auto number = static_cast<unsigned>(::getpid());
    this->network = "127." + std::to_string(1 + number % 200) + "." + std::to_string(number / 200 % 250) + ".";
    int next = 10;
    for (int index = 1; index <= std::min(3, this->fleetSize.states); ++index)
        this->seeds.push_back(index);
    for (int index = 1; index <= this->fleetSize.states; ++index)
        this->addresses["state-" + std::to_string(index)] = this->network + std::to_string(next++);
    for (int index = 1; index <= this->fleetSize.entries; ++index)
        this->addresses["entry-" + std::to_string(index)] = this->network + std::to_string(next++);
    for (int index = 1; index <= this->fleetSize.sidecars; ++index)
        this->addresses["sidecar-" + std::to_string(index)] = this->network + std::to_string(next++);
}

Fleet::~Fleet()
{
    for (const auto& [name, process] : this->processes) {
        if (process > 0) {
            ::kill(process, SIGKILL);
            ::waitpid(process, nullptr, 0);
        }
    }
    this->workers.clear();
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

std::string Fleet::ipOf(const std::string& name) const { return this->addresses.at(name); }

std::string Fleet::front(int number) const
{
    return this->ipOf("entry-" + std::to_string(number)) + ":" + std::to_string(frontPort);
}

std::string Fleet::control(int number) const
{
    return this->ipOf("state-" + std::to_string(number)) + ":" + std::to_string(controlPort);
}

void Fleet::writeSettings(const std::string& name)
{
    const std::string role = roleOf(name);
    const std::string ip = this->ipOf(name);
    const std::string machineClass = role == "entry" ? "front" : role == "sidecar" ? "side" : "core";
    const std::string serves = role == "entry" ? "front" : role == "sidecar" ? "side" : "control";
    std::string seedList;
    for (const int number : this->seeds)
        seedList += (seedList.empty() ? "" : ",") + quoted(this->control(number));
    std::ofstream file(this->folder + "/" + name + ".toml");
    file << "node = " << quoted(name) << "\nrole = " << quoted(role) << "\nmachine_class = " << quoted(machineClass)
         << "\nserves = [" << quoted(serves) << "]\nip = " << quoted(ip)
         << "\nzone = " << quoted(zones[(numberOf(name) - 1) % 3])
         << "\nregion = \"nordeste\"\nport_range = [18120, 18135]\nseeds = [" << seedList
         << "]\nbootstrap = " << (this->isFirstStart && !this->wasStarted[name] ? "true" : "false")
         << "\nheartbeat_ms = 1500\nconfig_mode = \"highest\"\norders = \"invoke\"\n";
    if (role == "state") {
        std::filesystem::create_directories(this->folder + "/data-" + name);
        file << "data_dir = " << quoted(this->folder + "/data-" + name) << "\n";
    }
    if (role == "sidecar")
        file << "app = " << quoted(ip + ":" + std::to_string(workerPort)) << "\nservice = \"pedidos\"\n";
    file << "[listen]\n";
    if (role == "entry")
        file << "front = " << quoted(ip + ":" + std::to_string(frontPort))
             << "\nreadiness_address = " << quoted(ip + ":" + std::to_string(readyPort)) << "\n";
    else
        file << "control = " << quoted(ip + ":" + std::to_string(controlPort)) << "\n";
    file << "[bounds]\ncontact_ms = 3000\nack_ms = 4000\ndrain_ms = 2000\ngrace_s = 6\nconfig_apply_ms = 2000\n"
         << "max_hold_ms = 1000\nstop_timeout_ms = 50\ncancel_ms = 3000\nretransmit_ms = 1300\n";
}

bool Fleet::startProcess(const std::string& name)
{
    this->writeSettings(name);
    this->wasStarted[name] = true;
    const std::string settings = "CELERYSWITCH_CONFIG=" + this->folder + "/" + name + ".toml";
    const std::string log = this->folder + "/" + name + ".log";
    const std::string metrics = this->ipOf(name) + ":" + std::to_string(metricsPort);
    const std::string role = roleOf(name);
    const pid_t process = ::fork();
    if (process == 0) {
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, 1);
        ::dup2(output, 2);
        std::string path = "PATH=/usr/bin:/bin";
        char* environment[] { const_cast<char*>(settings.c_str()), path.data(), nullptr };
        ::execle(this->program.c_str(), this->program.c_str(), "platform", role.c_str(), "--metrics", metrics.c_str(),
            static_cast<char*>(nullptr), environment);
        ::_exit(127);
    }
    this->processes[name] = process;
    return process > 0;
}

bool Fleet::startWorkers()
{
    for (int index = 1; index <= this->fleetSize.sidecars; ++index) {
        const std::string name = "sidecar-" + std::to_string(index);
        WorkerSettings settings;
        settings.id = "i-" + std::to_string(index);
        settings.address = this->ipOf(name) + ":" + std::to_string(workerPort);
        settings.control = this->ipOf(name) + ":" + std::to_string(controlPort);
        settings.zone = zones[(index - 1) % 3];
        settings.kind = this->fleetSize.kinds[static_cast<std::size_t>(index - 1) % this->fleetSize.kinds.size()];
        settings.rack = "r1-" + std::to_string((index + 2) / 3);
        settings.milliCores = this->fleetSize.milliCores;
        settings.isGuarding = this->fleetSize.isGuarding;
        this->workers.push_back(std::make_unique<Worker>(settings));
        if (!this->workers.back()->isListening())
            return false;
    }
    return true;
}

bool Fleet::start()
{
    if (!this->startWorkers())
        return false;
    for (const auto& [name, ip] : this->addresses) {
        if (!this->startProcess(name))
            return false;
    }
    return true;
}

void Fleet::signal(const std::string& name, int number)
{
    pid_t& process = this->processes[name];
    if (process <= 0)
        return;
    ::kill(process, number);
    if (number == SIGKILL) {
        ::waitpid(process, nullptr, 0);
        process = 0;
    }
}

void Fleet::loseDisk(const std::string& name)
{
    std::error_code ignored;
    std::filesystem::remove_all(this->folder + "/data-" + name, ignored);
}

bool Fleet::isRunning(const std::string& name)
{
    pid_t& process = this->processes[name];
    if (process > 0 && ::waitpid(process, nullptr, WNOHANG) == process)
        process = 0;
    return process > 0;
}

bool Fleet::waitReady()
{
    const std::int64_t until = steadyMilliseconds() + 20'000;
    for (int index = 1; index <= this->fleetSize.entries; ++index) {
        const std::string address = this->ipOf("entry-" + std::to_string(index)) + ":" + std::to_string(readyPort);
        while (callOnce(address, "GET", "/v1/ready", {}, "", 500).status != 200) {
            if (steadyMilliseconds() > until)
                return false;
            waitMilliseconds(100);
        }
    }
    return true;
}

bool Fleet::put(const std::string& document, std::int64_t limit)
{
    const std::int64_t until = steadyMilliseconds() + limit;
    for (int attempt = 0; steadyMilliseconds() < until; ++attempt) {
        const Message response = callOnce(
            this->control(attempt % this->fleetSize.states + 1), "POST", "/v1/config/put", {}, document, 1000);
        if (response.status == 200)
            return true;
        if (response.status >= 400 && response.status < 500)
            return false;
        waitMilliseconds(100);
    }
    return false;
}

std::vector<RunRecord> Fleet::history()
{
    std::vector<RunRecord> all;
    for (const auto& each : this->workers) {
        const std::vector<RunRecord> runs = each->history();
        all.insert(all.end(), runs.begin(), runs.end());
    }
    return all;
}

Record::Record(const std::string& path)
    : file(path)
    , startedAt(steadyMilliseconds())
{
}

void Record::line(const std::string& text)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->file << steadyMilliseconds() - this->startedAt << " ms: " << text << std::endl;
}

std::string desiredState(
    std::int64_t version, const std::vector<RouteText>& routes, std::int64_t bodyBytes, bool isGuarding)
{
    std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (const RouteText& route : routes)
        text += std::string(text.back() == '[' ? "" : ",") + "{\"name\":\"" + route.name + "\",\"host\":\"" + route.host
            + "\",\"path_prefix\":\"" + route.prefix + "\",\"type\":\"unsafe\",\"timeout_ms\":"
            + std::to_string(route.timeout) + ",\"target_completion_ms\":" + std::to_string(route.target)
            + ",\"priority\":0,\"service\":\"pedidos\",\"max_attempts\":" + std::to_string(route.attempts)
            + ",\"stretch\":1.6}";
    return text
        + "],\"services\":[{\"name\":\"pedidos\",\"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\","
          "\"tls\":false,\"admission_control\":"
        + std::string(isGuarding ? "true" : "false")
        + ",\"standby\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":" + std::to_string(bodyBytes)
        + ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

std::string jobText(
    const std::string& spec, int count, std::int64_t milliCores, std::int64_t estimated, const std::string& more)
{
    return "{\"best_effort\":true,\"spec\":\"" + spec + "\",\"steps\":[{\"count\":" + std::to_string(count)
        + ",\"cpu\":" + std::to_string(milliCores) + ",\"mem_mb\":64,\"estimated_ms\":" + std::to_string(estimated)
        + more + "}]}";
}

bool isCalm()
{
    const char* const trouble = std::getenv("TROUBLE");
    return trouble && std::string(trouble) == "0";
}

}
