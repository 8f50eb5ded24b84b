#include "Fleet.h"

#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <unistd.h>

namespace review {

namespace {

constexpr int frontPort = 18161;
constexpr int readinessPort = 18167;
constexpr int controlPort = 18166;
constexpr int appPort = 18165;
constexpr int firstPeerPort = 17720;
constexpr int lastPeerPort = 17735;
constexpr int metricsPort = 9464;
constexpr const char* host = "nony24.example";
constexpr const char* prefix = "/lohu930/";
constexpr const char* service = "huvo11a";

std::string at(const std::string& ip, int port) { return ip + ":" + std::to_string(port); }

std::string quoted(const std::string& text) { return "\"" + text + "\""; }

}

Fleet::Fleet(
    std::string newProgram, std::string newRoot, std::string newFolder, std::string newRecord, FleetSize newSize)
    : ownProgram(std::move(newProgram))
    , root(std::move(newRoot))
    , folder(std::move(newFolder))
    , recordFile(std::move(newRecord))
    , size(newSize)
    , log(this->recordFile)
{
    // A part of the loopback range of its own, with free ports.
    for (int attempt = 0; attempt < 200; ++attempt) {
        const int random = static_cast<int>(std::random_device()() % 50'000) + 1000;
        this->network = "127." + std::to_string(20 + random % 200) + "." + std::to_string(1 + random / 200 % 250) + ".";
        bool isFree = true;
        for (const char* role : { "state", "entry", "sidecar" }) {
            for (int number = 1; number <= 10; ++number) {
                for (const int port : { frontPort, readinessPort, controlPort, appPort, firstPeerPort, metricsPort })
                    isFree = isFree && isPortFree(this->ip(role, number), port);
            }
        }
        if (isFree)
            break;
    }
}

std::string Fleet::ip(const std::string& role, int number) const
{
    const int base = role == "state" ? 10 : role == "entry" ? 30 : 50;
    return this->network + std::to_string(base + number);
}

std::string Fleet::front(int entry) const { return at(this->ip("entry", entry), frontPort); }
std::string Fleet::control(int state) const { return at(this->ip("state", state), controlPort); }

void Fleet::writeSettings(const std::string& role, int number)
{
    const std::string name = role + std::to_string(number);
    const std::string own = this->ip(role, number);
    const std::string machineClass = role == "state" ? "core" : role == "entry" ? "front" : "side";
    const std::string serves = role == "state" ? "control" : role == "entry" ? "front" : "side";
    std::ofstream file(this->folder + "/" + name + ".toml");
    file << "node = " << quoted(machineClass + "-recife-" + std::to_string(number)) << "\nrole = " << quoted(role)
         << "\nmachine_class = " << quoted(machineClass) << "\nserves = [" << quoted(serves)
         << "]\nip = " << quoted(own) << "\nzone = \"recife\"\nregion = \"nordeste\"\nport_range = [" << firstPeerPort
         << "," << lastPeerPort << "]\nseeds = [";
    for (int state = 1; state <= std::min(3, this->size.states); ++state)
        file << (state > 1 ? "," : "") << quoted(this->control(state));
    file << "]\nbootstrap = " << (this->wasStarted[name] ? "false" : "true")
         << "\nin_tolerance = " << (role == "state" ? "true" : "false") << "\n";
    if (role == "state")
        file << "data_dir = " << quoted(this->folder + "/data-" + name) << "\n";
    file << "discovery = \"local\"\nentry = \"vip\"\nheartbeat_ms = 1500\n"
            "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\"]\n"
            "config_mode = \"highest\"\norders = \"invoke\"\n";
    if (role == "sidecar")
        file << "app = " << quoted(at(own, appPort)) << "\nservice = " << quoted(service) << "\n";
    file << "[zones]\nrecife = \"nordeste\"\n[listen]\n";
    if (role == "entry")
        file << "front = " << quoted(this->front(number)) << "\nreadiness_address = " << quoted(at(own, readinessPort))
             << "\n";
    else
        file << "control = " << quoted(at(own, controlPort)) << "\n";
    file << "[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\n"
            "disk_mb = 128\n[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n"
            "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\n"
            "drain_ms = 2000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\n"
            "max_stretch_ms = 5000\nrecovery_s = 12\nmax_hold_ms = 1000\nstop_timeout_ms = 50\n"
            "gang_timeout_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\n"
            "status_s = 120\nfar_factor = 1.5\ncheckpoint_s = 0.5\nrestore_ms = 100\nnotice_ms = 4500\n"
            "migrate_s = 1.5\nmaintenance_s = 2\nrequire_fence = false\nlease_ms = 3000\nthaw_ms = 300\n"
            "pace_ms = 100\nharm_ms = 4000\nretransmit_ms = 1300\n";
}

void Fleet::startProcess(const std::string& role, int number)
{
    const std::string name = role + std::to_string(number);
    std::filesystem::create_directories(this->folder + "/data-" + name);
    this->writeSettings(role, number);
    this->wasStarted[name] = true;
    auto& child = this->children[name];
    child = std::make_unique<Child>();
    child->start(
        { this->root + "/target/celeryswitch", "platform", role, "--metrics", at(this->ip(role, number), metricsPort) },
        { { "CELERYSWITCH_CONFIG", this->folder + "/" + name + ".toml" } }, this->root,
        this->folder + "/" + name + ".log");
}

void Fleet::startWorker(int number)
{
    const std::string own = this->ip("sidecar", number);
    std::vector<std::string> command { this->ownProgram, "worker", "id=" + workerId(number),
        std::string("service=") + service, "app=" + at(own, appPort), "control=" + at(own, controlPort),
        "record=" + this->recordFile };
    if (const auto found = this->labels.find(number); found != this->labels.end())
        command.push_back("labels=" + found->second);
    command.insert(command.end(), this->workerArguments.begin(), this->workerArguments.end());
    auto& child = this->children["worker" + std::to_string(number)];
    child = std::make_unique<Child>();
    child->start(command, {}, this->root, this->folder + "/worker" + std::to_string(number) + ".log");
}

json::object Fleet::usualService()
{
    return { { "name", service }, { "health_path", "/health" }, { "max_conns", 64 }, { "protocol", "h1" },
        { "tls", false }, { "admission_control", true }, { "standby", false } };
}

std::string Fleet::configuration(std::int64_t version, const json::object& onlyService) const
{
    const json::object route { { "name", "r-3hwrr6x" }, { "host", host }, { "path_prefix", prefix },
        { "type", "unsafe" }, { "timeout_ms", this->timeoutMilliseconds },
        { "target_completion_ms", this->targetMilliseconds }, { "priority", 0 }, { "service", service },
        { "max_attempts", 2 }, { "stretch", this->stretch } };
    const json::object limits { { "max_header_bytes", 16384 }, { "max_body_bytes", 262144 },
        { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } };
    return json::serialize(json::object { { "version", version }, { "routes", json::array { route } },
        { "services", json::array { onlyService } }, { "limits", limits } });
}

Answer Fleet::operate(const std::string& method, int state, const std::string& path, const std::string& body)
{
    this->log.write("operator: " + method + " " + path + " to replica " + std::to_string(state) + " " + body);
    const std::int64_t begin = steadyMilliseconds();
    const std::optional<Message> response = call(this->control(state),
        { method, path, { { "Host", this->control(state) }, { "Content-Type", "application/json" } }, body }, 1000);
    Answer answer;
    answer.tookMilliseconds = steadyMilliseconds() - begin;
    if (response) {
        answer.status = response->status;
        answer.body = response->body;
    }
    this->log.write(
        "operator: " + method + " " + path + " answered " + std::to_string(answer.status) + " " + answer.body);
    return answer;
}

bool Fleet::putConfiguration(std::int64_t version)
{
    const std::string body = this->configuration(version, usualService());
    const std::int64_t until = steadyMilliseconds() + 10'000;
    for (int state = 1; steadyMilliseconds() < until; state = state % this->size.states + 1) {
        if (this->operate("POST", state, "/v1/config/put", body).status == 200)
            return true;
        sleepMilliseconds(100);
    }
    return false;
}

bool Fleet::isServing()
{
    for (int entry = 1; entry <= this->size.entries; ++entry) {
        const Answer answer = this->request(
            "POST", entry, newId(), jobBody("probe ms=10", { { this->size.workers, 1000, 10, "" } }), 1500);
        if (answer.status != 200)
            return false;
    }
    return true;
}

bool Fleet::start()
{
    for (int number = 1; number <= this->size.states; ++number)
        this->startProcess("state", number);
    for (int number = 1; number <= this->size.workers; ++number) {
        this->startProcess("sidecar", number);
        this->startWorker(number);
    }
    for (int number = 1; number <= this->size.entries; ++number)
        this->startProcess("entry", number);
    if (!this->putConfiguration(1))
        return false;
    const std::int64_t until = steadyMilliseconds() + 20'000;
    // The time in which a new entry gets to know its workers has to be over as well.
    sleepMilliseconds(4000);
    while (!this->isServing()) {
        if (steadyMilliseconds() >= until)
            return false;
        sleepMilliseconds(200);
    }
    return true;
}

Answer Fleet::request(const std::string& method, int entry, const std::string& id, const std::string& body,
    std::int64_t patienceMilliseconds)
{
    const std::int64_t begin = steadyMilliseconds();
    this->log.write("client: " + method + " " + id + " to entry " + std::to_string(entry) + " " + body);
    const std::optional<Message> response = call(this->front(entry),
        { method, prefix + id,
            { { "Host", host }, { "Content-Type", "application/json" },
                { "X-Deadline-Ms", std::to_string(patienceMilliseconds) } },
            body },
        patienceMilliseconds);
    Answer answer;
    answer.tookMilliseconds = steadyMilliseconds() - begin;
    if (response) {
        answer.status = response->status;
        answer.body = response->body;
    }
    this->log.write("client: " + method + " " + id + " at entry " + std::to_string(entry) + " answered "
        + std::to_string(answer.status) + " " + answer.body + " after " + std::to_string(answer.tookMilliseconds)
        + " ms");
    return answer;
}

void Fleet::resetRequest(const std::string& method, int entry, const std::string& id) const
{
    // As when the connection is reset on its way: the entry sees one that ends without a request.
    Connection connection(this->front(entry), 1000);
    connection.reset();
    this->log.write("client: " + method + " " + id + " to entry " + std::to_string(entry)
        + ", the connection is reset before the request arrives");
}

std::vector<End> Fleet::ends() const
{
    std::vector<End> found;
    std::ifstream file(this->recordFile);
    for (std::string line; std::getline(file, line);) {
        std::stringstream words(line);
        End end;
        std::string kind;
        std::string word;
        std::string run;
        words >> end.at >> kind >> end.worker >> word >> end.task >> run >> end.how;
        if (kind == "worker" && word == "end")
            found.push_back(end);
    }
    return found;
}

std::string Fleet::workerId(int number) { return "i-7f3a91c" + std::to_string(number); }

std::vector<std::pair<std::string, std::string>> Fleet::lateStarts() const
{
    std::vector<std::pair<std::string, std::string>> found;
    std::ifstream file(this->recordFile);
    for (std::string line; std::getline(file, line);) {
        std::stringstream words(line);
        std::string time;
        std::string kind;
        std::string worker;
        std::string word;
        std::string task;
        std::string what;
        words >> time >> kind >> worker >> word >> what >> task;
        if (kind == "worker" && word == "late")
            found.emplace_back(worker, task);
    }
    return found;
}

std::vector<Begin> Fleet::begins() const
{
    std::vector<Begin> found;
    std::ifstream file(this->recordFile);
    for (std::string line; std::getline(file, line);) {
        std::stringstream words(line);
        Begin begin;
        std::string kind;
        std::string word;
        words >> begin.at >> kind >> begin.worker >> begin.born >> word >> begin.task;
        if (kind != "worker" || word != "begin")
            continue;
        if (const std::size_t spec = line.find(" spec="); spec != std::string::npos)
            begin.spec = line.substr(spec + 6);
        found.push_back(begin);
    }
    return found;
}

std::string jobBody(const std::string& spec, const std::vector<StepText>& steps)
{
    json::array list;
    for (const StepText& step : steps) {
        json::object one { { "count", step.count }, { "cpu", step.milliCores }, { "mem_mb", 64 },
            { "estimated_ms", step.estimatedMilliseconds } };
        if (!list.empty())
            one["after"] = json::array { list.size() - 1 };
        if (!step.more.empty()) {
            const json::value more = json::parse(step.more);
            for (const auto& field : more.get_object())
                one[field.key()] = field.value();
        }
        list.push_back(std::move(one));
    }
    return json::serialize(json::object { { "spec", spec }, { "best_effort", true }, { "steps", list } });
}

std::string newId()
{
    static std::random_device device;
    char text[17];
    std::snprintf(text, sizeof(text), "%08x%08x", device(), device());
    return text;
}

}
