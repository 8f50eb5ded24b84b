#include "Soak/CrowdRun.h"

#include "Soak/ProcessUsage.h"
#include "Soak/SoakWire.h"
#include <csignal>
#include <cstdio>

namespace celeryswitch::Soak {

namespace {

constexpr std::size_t trailerClients = 8;
constexpr std::size_t trailerBytes = 24 * 1024 * 1024;
constexpr std::size_t silentClients = 300;
constexpr std::size_t stopShortBytes = 16;
constexpr std::size_t fieldClients = 600;
constexpr std::size_t fieldBytes = 16'000;
constexpr std::size_t jobClients = 30;
constexpr std::size_t largestBodyBytes = 262'144;
constexpr std::size_t longestSpecBytes = 4000;
constexpr std::size_t servedClients = 260;
constexpr std::size_t nestedClients = 4;
constexpr std::size_t nestedBytes = 4'000'000;
constexpr std::size_t readClients = 190;
constexpr std::uint32_t manyQueues = 4000;
constexpr std::size_t documentClients = 30;
constexpr int entryStarts = 3;
constexpr std::size_t unroutedClients = 500;
constexpr std::size_t frozenClients = 400;
constexpr std::size_t frozenBytes = 64 * 1024;
constexpr std::chrono::seconds startLimit { 20 };
constexpr std::chrono::seconds answerLimit { 40 };
constexpr std::chrono::milliseconds retryDelay { 100 };
// Time that the processes have for what the crowd has sent before they are measured.
constexpr std::chrono::seconds settleTime { 3 };
// Ports at which the processes listen for each other.
constexpr int statePeerPort = 18120;
constexpr int sidecarPeerPort = 18121;
const std::string processes[] = { "state-1", "sidecar-1", "entry-1" };

Core::SteadyTime now() { return Core::BootClock::now(); }

std::string withPort(const std::string& address, int port)
{
    return address.substr(0, address.rfind(':') + 1) + std::to_string(port);
}

CrowdLimits limitsOf(const CrowdSettings& settings)
{
    switch (settings.play) {
    case CrowdPlay::Fields:
        // Few connections of a worker are taken, so that less memory is enough for them.
        return { settings.listener == "sidecar" ? 20U : 24U, 1024 };
    case CrowdPlay::Unrouted:
        return { 64, 1024 };
    case CrowdPlay::Frozen:
        return { 24, 512 };
    default:
        return {};
    }
}

std::string withLength(const std::string& head, const std::string& body)
{
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Adds distinct fields with short names and no value until a header is as long as allowed.
std::string withFields(std::string head)
{
    for (std::size_t number = 0; head.size() < fieldBytes; ++number) {
        char field[16];
        std::snprintf(field, sizeof field, "%zx:\r\n", 0xf000 + number);
        head += field;
    }
    return head;
}

// A job of one step of as many tasks as a job may have; without `needsRoom` its tasks need none.
std::string jobOfTasks(bool needsRoom)
{
    return R"({"spec":"crowd","best_effort":true,"steps":[{"count":100000,"estimated_ms":20)"
        + std::string(needsRoom ? R"(,"cpu":1000,"mem_mb":64)" : "") + "}]}";
}

// A job of the largest size that consists of steps of one task; without `needsRoom` with a content as long as allowed,
// and tasks that need no room.
std::string jobOfSteps(bool needsRoom)
{
    const std::string content(needsRoom ? 1 : longestSpecBytes, 'x');
    const std::string step = needsRoom ? R"({"count":1,"cpu":1})" : R"({"count":1})";
    std::string body = R"({"best_effort":true,"spec":")" + content + R"(","steps":[)" + step;
    while (body.size() + step.size() + 3 <= largestBodyBytes)
        body += "," + step;
    return body + "]}";
}

}

CrowdRun::CrowdRun(CrowdSettings settings)
    : settings(std::move(settings))
    , limits(limitsOf(this->settings))
    , fleet(this->settings.program, this->settings.folder, this->settings.network, { 1, 1, 1 })
{
    this->fleet.setLimits(this->limits.memoryMegabytes, this->limits.descriptors);
}

CrowdRun::~CrowdRun()
{
    this->context.stop();
    if (this->workerThread.joinable())
        this->workerThread.join();
}

std::vector<std::string> CrowdRun::play()
{
    this->worker = std::make_unique<SoakWorker>(
        this->context, "1", this->fleet.controlAddress("sidecar-1"),
        [](const Messages::TaskId&, std::uint32_t) {
            return Experiment::RunPlan { std::chrono::milliseconds(20), false, { 1000, 64, 0 } };
        },
        1);
    if (!this->worker->start())
        return { "the worker does not start" };
    this->fleet.setWorkerAddress(1, this->worker->address());
    this->workerThread = std::thread([this] { this->context.run(); });
    if (this->settings.play == CrowdPlay::Unrouted)
        this->playUnrouted();
    else if (!this->startService())
        return { "the fleet does not serve " + this->settings.listener + " requests before the crowd" };
    else
        this->playCrowd();
    this->measure();
    return this->violations;
}

void CrowdRun::playCrowd()
{
    const bool needsRoom = this->settings.listener != "sidecar";
    switch (this->settings.play) {
    case CrowdPlay::Stalled:
        this->playStalled();
        break;
    case CrowdPlay::Fields:
        this->playFields();
        break;
    case CrowdPlay::Tasks:
        this->playJobs(jobOfTasks(needsRoom), jobClients);
        break;
    case CrowdPlay::Steps:
        this->playJobs(jobOfSteps(needsRoom), jobClients);
        break;
    case CrowdPlay::Served: {
        const Http::HttpRequest request = this->ordinaryRequest(this->settings.listener);
        const std::string line = this->settings.listener == "entry"
            ? "GET " + queuePrefix(0) + " HTTP/1.1\r\nHost: " + queueHost(0) + "\r\n"
            : request.method + " " + request.path + " HTTP/1.1\r\nHost: a\r\n";
        const ServedCrowd crowd(this->address(), withLength(line, request.body), servedClients);
        std::this_thread::sleep_for(settleTime);
        this->checkAnswered(this->settings.listener);
        return;
    }
    case CrowdPlay::Nested:
        this->playNested();
        break;
    case CrowdPlay::Reads:
        this->playReads();
        break;
    case CrowdPlay::Frozen:
        this->playFrozen();
        break;
    case CrowdPlay::Handshakes:
        this->playHandshakes();
        return;
    case CrowdPlay::Documents:
        this->playDocuments();
        break;
    case CrowdPlay::Largest:
        this->playLargest();
        break;
    case CrowdPlay::Repeated:
        this->playRepeated();
        break;
    case CrowdPlay::Unrouted:
        break;
    }
    this->measure();
    this->checkAnswered(this->settings.listener);
}

void CrowdRun::playStalled()
{
    const bool isState = this->settings.listener == "state";
    const std::string silent = this->settings.listener == "entry" ? this->address("readiness") : this->peerAddress();
    this->clients.add(silent, silentClients, {});
    const std::string head = this->requestHead();
    this->clients.add(this->address(), trailerClients,
        { head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n",
            "Trailer-Field: " + std::string(80, 'x') + "\r\n", trailerBytes });
    this->clients.sendAll();
    // The largest bodies that the process takes, from as many clients as exceed its memory.
    const std::size_t bodyBytes = isState ? 4 * 1024 * 1024 : 256 * 1024;
    const std::size_t bodyClients = isState ? 30 : 200;
    this->clients.add(this->address(), bodyClients,
        { head + "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n", std::string(bodyBytes, ' '),
            bodyBytes - stopShortBytes });
    const std::string chunk = "3e8\r\n" + std::string(1000, ' ') + "\r\n";
    this->clients.add(this->address(), bodyClients,
        { head + "Transfer-Encoding: chunked\r\n\r\n", chunk, bodyBytes / 1000 * chunk.size() - stopShortBytes });
    this->clients.sendAll();
    this->measure();
    this->clients.sendByteByByte(this->address(), head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "\r\n");
}

void CrowdRun::playFields()
{
    const std::string head = withFields(this->requestHead() + "Content-Length: 200000\r\n");
    this->clients.add(this->address(), fieldClients, { head + "\r\n{", {}, 0 });
    this->clients.sendAll();
}

void CrowdRun::playJobs(const std::string& body, std::size_t count)
{
    for (std::size_t number = 0; number < count; ++number)
        this->clients.add(this->fleet.entryAddress("entry-1"), 1, { withLength(this->jobHead(), body), {}, 0 });
    this->clients.sendAll();
    std::this_thread::sleep_for(settleTime);
}

void CrowdRun::playNested()
{
    std::string body = "{\"unknown\":[[0]";
    while (body.size() < nestedBytes)
        body += ",[0]";
    this->clients.add(this->address(), nestedClients, { withLength(this->requestHead(), body + "]}"), {}, 0 });
    this->clients.sendAll();
    std::this_thread::sleep_for(settleTime);
}

void CrowdRun::playReads()
{
    const auto put = Http::httpCall(this->fleet.controlAddress("state-1"),
        { "POST", "/v1/config/put", { { "Content-Type", "application/json" } }, writeDocument(2, { manyQueues }) },
        std::chrono::seconds(10));
    if (!put || put.value().statusCode != 200)
        this->violations.push_back("the large document is not taken");
    this->clients.add(this->address(), readClients, { "GET /v1/config/get HTTP/1.1\r\nHost: a\r\n\r\n", {}, 0 });
    this->clients.sendAll();
    std::this_thread::sleep_for(settleTime);
}

void CrowdRun::playUnrouted()
{
    const auto limit = now() + startLimit;
    if (!this->startProcesses({ "entry-1" }))
        this->violations.push_back("the entry does not start");
    // The readiness check answers before there is a routing document.
    while (now() < limit
        && !Http::httpCall(this->fleet.readinessAddress("entry-1"), { "GET", "/v1/ready", {}, "" }, retryDelay))
        std::this_thread::sleep_for(retryDelay);
    this->clients.add(this->address(), unroutedClients, { withLength(withFields(this->jobHead()), "{}"), {}, 0 });
    this->clients.sendAll();
    this->measure("entry-1");
    if (!this->startService())
        this->violations.push_back("no ordinary request is answered beside the crowd");
}

void CrowdRun::playFrozen()
{
    this->fleet.signal(this->process(), SIGSTOP);
    const CrowdClients::Kind kind { this->requestHead() + "Content-Length: " + std::to_string(frozenBytes) + "\r\n\r\n",
        std::string(1024, ' '), frozenBytes };
    this->clients.add(this->address(), frozenClients, kind);
    // Entries listen for no other processes of the system.
    if (this->settings.listener == "entry")
        this->clients.add(this->address("readiness"), frozenClients, kind);
    else
        this->clients.add(this->peerAddress(), frozenClients, kind);
    this->clients.sendAll();
    this->measure();
    this->fleet.signal(this->process(), SIGCONT);
}

void CrowdRun::playHandshakes()
{
    const ServedCrowd crowd(this->peerAddress(), {}, silentClients);
    std::this_thread::sleep_for(settleTime);
    for (int start = 0; start < entryStarts && this->violations.empty(); ++start) {
        this->fleet.signal("entry-1", SIGKILL);
        this->fleet.waitEnd("entry-1", startLimit);
        if (!this->fleet.start("entry-1"))
            this->violations.push_back("the entry does not start");
        this->checkAnswered("entry");
    }
    this->checkAnswered(this->settings.listener);
    this->measure();
}

void CrowdRun::playDocuments()
{
    for (std::uint64_t version = 2; version < 2 + documentClients; ++version)
        this->clients.add(
            this->address(), 1, { withLength(this->requestHead(), writeDocument(version, { manyQueues })), {}, 0 });
    this->clients.sendAll();
    std::this_thread::sleep_for(settleTime);
}

void CrowdRun::playLargest()
{
    Http::HttpRequest request = this->ordinaryRequest("entry");
    request.body.resize(largestBodyBytes, ' ');
    const auto response = Http::httpCall(this->address("entry"), request, std::chrono::seconds(3));
    if (!response || response.value().statusCode != 200)
        this->violations.push_back("a single job whose body has the largest size is not served");
}

void CrowdRun::playRepeated()
{
    for (int round = 0; round < 2; ++round) {
        this->playFields();
        this->clients.close();
        this->playJobs(jobOfTasks(true), jobClients);
        this->clients.close();
        this->playJobs(jobOfSteps(true), jobClients);
        this->clients.close();
        this->playStalled();
        this->clients.close();
    }
}

bool CrowdRun::startProcesses(const std::vector<std::string>& names)
{
    for (const std::string& name : names) {
        if (!this->fleet.start(name))
            return false;
    }
    return true;
}

bool CrowdRun::startService()
{
    if (!this->startProcesses({ std::begin(processes), std::end(processes) }))
        return false;
    const auto limit = now() + startLimit;
    const Http::HttpRequest put { "POST", "/v1/config/put", { { "Content-Type", "application/json" } },
        writeDocument(1, { 1 }) };
    while (now() < limit) {
        const auto response = Http::httpCall(this->fleet.controlAddress("state-1"), put, std::chrono::seconds(1));
        if (response && response.value().statusCode == 200 && this->isAnswered(this->settings.listener))
            return true;
        std::this_thread::sleep_for(retryDelay);
    }
    return false;
}

std::string CrowdRun::process() const
{
    return this->settings.listener == "readiness" ? "entry-1" : this->settings.listener + "-1";
}

std::string CrowdRun::address(const std::string& listener) const
{
    if (listener == "readiness")
        return this->fleet.readinessAddress("entry-1");
    return listener == "entry" ? this->fleet.entryAddress("entry-1") : this->fleet.controlAddress(listener + "-1");
}

std::string CrowdRun::peerAddress() const
{
    return withPort(this->address(), this->settings.listener == "state" ? statePeerPort : sidecarPeerPort);
}

std::string CrowdRun::jobHead() const
{
    static std::uint64_t number = 0;
    char id[17];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(++number));
    return "POST " + queuePrefix(0) + id + " HTTP/1.1\r\nHost: " + queueHost(0)
        + "\r\nContent-Type: application/json\r\nX-Deadline-Ms: 60000\r\n";
}

std::string CrowdRun::requestHead() const
{
    const Http::HttpRequest request = this->ordinaryRequest(this->settings.listener);
    const std::string path = this->settings.listener == "state" ? "/v1/config/put" : request.path;
    return "POST " + path + " HTTP/1.1\r\nHost: " + queueHost(0) + "\r\nContent-Type: application/json\r\n";
}

Http::HttpRequest CrowdRun::ordinaryRequest(const std::string& listener) const
{
    if (listener == "state")
        return { "GET", "/v1/config/get", {}, "" };
    if (listener == "readiness")
        return { "GET", "/v1/ready", {}, "" };
    if (listener == "sidecar") {
        Workers::WorkerAnnouncement announcement;
        announcement.workerId = "w-1-earlier";
        announcement.service = "loans";
        announcement.capacity = { 1000, 1000, 0 };
        announcement.workerStartedAt = 1;
        return writeHeartbeat(announcement);
    }
    char id[17];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(now().time_since_epoch().count()));
    return writeJob(queueHost(0), queuePrefix(0), id, 1, { 1000, 64, 0 }, 20, "", 1500);
}

void CrowdRun::measure()
{
    for (const std::string& name : processes)
        this->measure(name);
}

void CrowdRun::measure(const std::string& name)
{
    if (!this->fleet.isRunning(name)) {
        this->violations.push_back(name + " has ended");
        return;
    }
    const pid_t number = this->fleet.processId(name);
    const std::size_t bound = this->limits.memoryMegabytes * 1024;
    const std::size_t resident = statusKilobytes(number, "VmRSS");
    const std::size_t peak = statusKilobytes(number, "VmHWM");
    const std::size_t queued
        = queuedKilobytes(name == "entry-1" ? this->fleet.entryAddress(name) : this->fleet.controlAddress(name));
    const std::size_t descriptors = openDescriptors(number);
    std::printf("%s: VmRSS %zu kB, VmHWM %zu kB, queued %zu kB (bound %zu), descriptors %zu (bound %zu)\n",
        name.c_str(), resident, peak, queued, bound, descriptors, this->limits.usableDescriptors());
    if (std::max(peak, resident + queued) > bound)
        this->violations.push_back(
            name + ": memory of " + std::to_string(std::max(peak, resident + queued)) + " kB is over the bound");
    if (descriptors > this->limits.usableDescriptors())
        this->violations.push_back(name + ": " + std::to_string(descriptors) + " open descriptors are over the bound");
}

void CrowdRun::checkAnswered(const std::string& listener)
{
    if (!this->isAnswered(listener))
        this->violations.push_back("no ordinary request to the " + listener + " is answered beside the crowd");
}

bool CrowdRun::isAnswered(const std::string& listener)
{
    const auto limit = now() + answerLimit;
    while (now() < limit && this->fleet.isRunning(this->process())) {
        const auto response
            = Http::httpCall(this->address(listener), this->ordinaryRequest(listener), std::chrono::seconds(3));
        if (response && response.value().statusCode == 200)
            return true;
        std::this_thread::sleep_for(retryDelay);
    }
    return false;
}

}
