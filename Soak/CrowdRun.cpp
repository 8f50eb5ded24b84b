#include "Soak/CrowdRun.h"

#include "Soak/SoakWire.h"
#include "celeryswitch/Core/SocketAddress.h"
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace celeryswitch::Soak {

namespace {

// Limits of the process under test. 200 descriptors are reserved for files outside the data folder.
constexpr std::size_t memoryMegabytes = 64;
constexpr std::size_t maximumDescriptors = 512;
constexpr std::size_t usableDescriptors = maximumDescriptors - 200;
// The crowd.
constexpr std::size_t trailerClients = 8;
constexpr std::size_t trailerBytes = 24 * 1024 * 1024;
constexpr std::size_t silentClients = 300;
constexpr std::size_t stopShortBytes = 16;
constexpr std::chrono::seconds startLimit { 20 };
// The crowd's time: clients that the process reads no further are given up after it.
constexpr std::chrono::seconds sendLimit { 20 };
constexpr std::chrono::milliseconds quietLimit { 500 };
constexpr std::chrono::seconds answerLimit { 40 };

Core::SteadyTime now() { return Core::BootClock::now(); }

std::string withPort(const std::string& address, int port)
{
    return address.substr(0, address.rfind(':') + 1) + std::to_string(port);
}

int connectTo(const std::string& text)
{
    const std::optional<Core::SocketAddress> address = Core::parseSocketAddress(text);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(address->port);
    target.sin_addr.s_addr = htonl(address->ip.to_v4().to_uint());
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0)
        return descriptor;
    ::close(descriptor);
    return -1;
}

// Kilobytes of a line of /proc/PID/status.
std::size_t statusKilobytes(pid_t process, const std::string& key)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(key + ":"))
            return std::stoul(line.substr(key.size() + 1));
    }
    return 0;
}

std::size_t openDescriptors(pid_t process)
{
    std::error_code error;
    std::size_t count = 0;
    for (auto entry = std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/fd", error);
         entry != std::filesystem::directory_iterator(); entry.increment(error))
        ++count;
    return count;
}

}

CrowdRun::CrowdRun(CrowdSettings settings)
    : settings(std::move(settings))
    , process(this->settings.role + "-1")
    , fleet(this->settings.program, this->settings.folder, this->settings.network, { 1, 1, 1 })
{
    this->fleet.setLimits(memoryMegabytes, maximumDescriptors);
}

CrowdRun::~CrowdRun()
{
    for (const Client& client : this->clients)
        ::close(client.descriptor);
    this->context.stop();
    if (this->workerThread.joinable())
        this->workerThread.join();
}

std::vector<std::string> CrowdRun::play()
{
    if (!this->startFleet())
        return { "the fleet does not serve " + this->settings.role + " requests before the crowd" };
    const std::string front = this->settings.role == "entry" ? this->fleet.entryAddress(this->process)
                                                             : this->fleet.controlAddress(this->process);
    const std::string silent = this->settings.role == "entry"
        ? this->fleet.readinessAddress(this->process)
        : withPort(front, this->settings.role == "state" ? 18120 : 18121);
    this->add(silent, silentClients, {});
    const std::string line = this->requestLine();
    this->add(front, trailerClients,
        { -1, line + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n",
            "Trailer-Field: " + std::string(80, 'x') + "\r\n", trailerBytes });
    this->sendAll();
    // The largest bodies that the process takes, from as many clients as exceed its memory.
    const bool isState = this->settings.role == "state";
    const std::size_t bodyBytes = isState ? 4 * 1024 * 1024 : 256 * 1024;
    const std::size_t bodyClients = isState ? 30 : 200;
    this->add(front, bodyClients,
        { -1, line + "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n", std::string(bodyBytes, ' '),
            bodyBytes - stopShortBytes });
    const std::string chunk = "3e8\r\n" + std::string(1000, ' ') + "\r\n";
    this->add(front, bodyClients,
        { -1, line + "Transfer-Encoding: chunked\r\n\r\n", chunk, bodyBytes / 1000 * chunk.size() - stopShortBytes });
    this->sendAll();
    this->measure();
    this->sendByteByByte(front, line + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "\r\n");
    if (!this->isAnswered())
        this->violations.push_back("no ordinary request is answered beside the crowd");
    this->measure();
    return this->violations;
}

bool CrowdRun::startFleet()
{
    this->worker = std::make_unique<SoakWorker>(
        this->context, "1", this->fleet.controlAddress("sidecar-1"),
        [](const Messages::TaskId&, std::uint32_t) {
            return Experiment::RunPlan { std::chrono::milliseconds(20), false, { 1000, 64, 0 } };
        },
        1);
    if (!this->worker->start())
        return false;
    this->fleet.setWorkerAddress(1, this->worker->address());
    this->workerThread = std::thread([this] { this->context.run(); });
    for (const char* name : { "state-1", "sidecar-1", "entry-1" }) {
        if (!this->fleet.start(name))
            return false;
    }
    const auto limit = now() + startLimit;
    const Http::HttpRequest put { "POST", "/v1/config/put", { { "Content-Type", "application/json" } },
        writeDocument(1, { 1 }) };
    while (now() < limit) {
        const auto response = Http::httpCall(this->fleet.controlAddress("state-1"), put, std::chrono::seconds(1));
        if (response && response.value().statusCode == 200 && this->isAnswered())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return false;
}

std::string CrowdRun::requestLine() const
{
    const Http::HttpRequest request = this->ordinaryRequest();
    const std::string path = this->settings.role == "state" ? "/v1/config/put" : request.path;
    return "POST " + path + " HTTP/1.1\r\nHost: " + queueHost(0) + "\r\nContent-Type: application/json\r\n";
}

Http::HttpRequest CrowdRun::ordinaryRequest() const
{
    if (this->settings.role == "state")
        return { "GET", "/v1/config/get", {}, "" };
    if (this->settings.role == "sidecar") {
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

void CrowdRun::add(const std::string& address, std::size_t count, const Client& kind)
{
    for (std::size_t number = 0; number < count; ++number) {
        Client client = kind;
        client.descriptor = connectTo(address);
        if (client.descriptor >= 0)
            this->clients.push_back(std::move(client));
    }
}

std::size_t CrowdRun::sendSome(Client& client)
{
    const std::size_t total = client.head.size() + client.fillerBytes;
    if (client.sent >= total)
        return 0;
    std::string_view piece = client.head;
    if (client.sent < client.head.size()) {
        piece.remove_prefix(client.sent);
    } else {
        piece = client.filler;
        piece.remove_prefix((client.sent - client.head.size()) % client.filler.size());
        piece = piece.substr(0, total - client.sent);
    }
    const ssize_t count = ::send(client.descriptor, piece.data(), piece.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (count < 0 && errno != EAGAIN)
        client.sent = total;
    client.sent += count > 0 ? static_cast<std::size_t>(count) : 0;
    return count > 0 ? static_cast<std::size_t>(count) : 0;
}

void CrowdRun::sendByteByByte(const std::string& address, const std::string& head, const std::string& tail)
{
    // The process may close connections in favour of others at any time; one of several is read to its end.
    for (int attempt = 0; attempt < 5; ++attempt) {
        this->add(address, 1, { -1, head });
        this->sendAll();
        for (const char byte : tail) {
            this->clients.back().head += byte;
            this->sendAll();
        }
    }
}

void CrowdRun::sendAll()
{
    const auto limit = now() + sendLimit;
    auto quietSince = now();
    while (now() < limit && now() < quietSince + quietLimit) {
        std::size_t count = 0;
        for (Client& client : this->clients)
            count += sendSome(client);
        if (count > 0)
            quietSince = now();
        else
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

void CrowdRun::measure()
{
    if (!this->fleet.isRunning(this->process)) {
        this->violations.push_back("the process has ended");
        return;
    }
    const pid_t number = this->fleet.processId(this->process);
    const std::size_t peak = statusKilobytes(number, "VmHWM");
    const std::size_t descriptors = openDescriptors(number);
    std::printf("%s: VmRSS %zu kB, VmHWM %zu kB (bound %zu), descriptors %zu (bound %zu)\n", this->process.c_str(),
        statusKilobytes(number, "VmRSS"), peak, memoryMegabytes * 1024, descriptors, usableDescriptors);
    if (peak > memoryMegabytes * 1024)
        this->violations.push_back("resident memory of " + std::to_string(peak) + " kB is over the bound");
    if (descriptors > usableDescriptors)
        this->violations.push_back(std::to_string(descriptors) + " open descriptors are over the bound");
}

bool CrowdRun::isAnswered()
{
    const std::string address = this->settings.role == "entry" ? this->fleet.entryAddress(this->process)
                                                               : this->fleet.controlAddress(this->process);
    const auto limit = now() + answerLimit;
    while (now() < limit && this->fleet.isRunning(this->process)) {
        const auto response = Http::httpCall(address, this->ordinaryRequest(), std::chrono::seconds(3));
        if (response && response.value().statusCode == 200)
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return false;
}

}
