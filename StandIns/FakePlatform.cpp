#include "StandIns/FakePlatform.h"

#include <algorithm>
#include <boost/json.hpp>
#include <sstream>

namespace celeryswitch::StandIns {

namespace json = boost::json;

namespace {

Answer problem(unsigned statusCode, const std::string& text)
{
    return { statusCode, json::serialize(json::object { { "error", text } }) };
}

// A number of a body, or a default.
double numberOf(const json::object& body, std::string_view key, double otherwise)
{
    const json::value* value = body.if_contains(key);
    return value && value->is_number() ? value->to_number<double>() : otherwise;
}

// A number of a path, or 0.
std::uint64_t idOf(const std::string& text) { return std::strtoull(text.c_str(), nullptr, 10); }

}

FakePlatform::FakePlatform(boost::asio::io_context& context, const Core::Clock& clock, FakePlatformSettings settings)
    : clock(clock)
    , settings(std::move(settings))
    , server(context,
          [this](const Request& request, const HttpServer::Respond& respond) { respond(this->handle(request)); })
{
    this->noteUsage();
}

Answer FakePlatform::handle(const Request& request)
{
    this->expireLeases();
    std::vector<std::string> parts;
    std::istringstream path(request.path);
    for (std::string part; std::getline(path, part, '/');) {
        if (!part.empty())
            parts.push_back(part);
    }
    parts.resize(3);
    boost::system::error_code error;
    const json::value parsed = json::parse(request.body.empty() ? "{}" : request.body, error);
    if (error || !parsed.is_object())
        return problem(400, "the body is not a JSON object");
    const json::object& body = parsed.get_object();
    if (request.method == "GET" && parts[0] == "workers")
        return this->listWorkers();
    if (request.method == "GET" && parts[0] == "usage")
        return this->reportUsage();
    if (parts[0] == "leases")
        return parts[1].empty() ? this->createLease(body) : this->changeLease(request.method, parts[1], parts[2], body);
    if (parts[0] == "tasks")
        return parts[1].empty() ? this->createTask(body) : this->changeTask(request.method, parts[1], parts[2], body);
    return problem(404, "no such path");
}

Answer FakePlatform::listWorkers() const
{
    json::array list;
    for (std::uint32_t worker = 0; worker < this->settings.workers; ++worker) {
        const std::uint32_t rack = worker / this->settings.workersPerRack;
        list.push_back(json::object { { "worker", worker }, { "processors", this->settings.processors },
            { "memoryBytes", this->settings.memoryBytes }, { "rack", "rack-" + std::to_string(rack) },
            { "dataCentre", this->settings.dataCentres[rack % this->settings.dataCentres.size()] } });
    }
    return { 200, json::serialize(list) };
}

Answer FakePlatform::createLease(const json::object& body)
{
    const double worker = numberOf(body, "worker", -1);
    if (worker < 0 || worker >= this->settings.workers)
        return problem(404, "no such worker");
    const bool isTaken = std::any_of(this->leases.begin(), this->leases.end(),
        [&](const auto& lease) { return lease.second.worker == static_cast<std::uint32_t>(worker); });
    if (isTaken)
        return problem(409, "the worker is under a lease");
    const std::chrono::milliseconds length(static_cast<std::int64_t>(1000 * numberOf(body, "seconds", 60)));
    this->leases[++this->lastId] = { static_cast<std::uint32_t>(worker), this->clock.steadyNow() + length };
    return { 201, json::serialize(json::object { { "leaseId", this->lastId } }) };
}

Answer FakePlatform::changeLease(
    const std::string& method, const std::string& id, const std::string& verb, const json::object& body)
{
    const auto lease = this->leases.find(idOf(id));
    if (lease == this->leases.end())
        return problem(404, "no such lease");
    if (method == "POST" && verb == "renew") {
        const std::chrono::milliseconds length(static_cast<std::int64_t>(1000 * numberOf(body, "seconds", 60)));
        lease->second.expiresAt = this->clock.steadyNow() + length;
        return { 200, "{}" };
    }
    if (method != "DELETE")
        return problem(405, "use POST .../renew or DELETE");
    lease->second.expiresAt = Core::SteadyTime::min();
    this->expireLeases();
    return { 200, "{}" };
}

Answer FakePlatform::createTask(const json::object& body)
{
    const auto leaseId = static_cast<std::uint64_t>(numberOf(body, "leaseId", 0));
    if (!this->leases.contains(leaseId))
        return problem(409, "the lease is over");
    this->tasks[++this->lastId] = { leaseId, numberOf(body, "processors", 1), numberOf(body, "memoryBytes", 0) };
    this->noteUsage();
    return { 201, json::serialize(json::object { { "taskId", this->lastId } }) };
}

Answer FakePlatform::changeTask(
    const std::string& method, const std::string& id, const std::string& verb, const json::object& body)
{
    const auto task = this->tasks.find(idOf(id));
    if (task == this->tasks.end())
        return problem(404, "no such task");
    json::object answer;
    if (method == "DELETE" || verb == "stop") {
        this->tasks.erase(task);
    } else if (verb == "throttle") {
        task->second.percent = std::clamp(numberOf(body, "percent", 100), 0.0, 100.0);
    } else if (verb == "checkpoint") {
        answer["checkpoint"] = ++task->second.checkpoints;
    } else {
        return problem(404, "use checkpoint, throttle or stop");
    }
    this->noteUsage();
    return { 200, json::serialize(answer) };
}

Answer FakePlatform::reportUsage()
{
    const Core::SteadyTime asOf = this->clock.steadyNow() - this->settings.usageLag;
    // The first entry of the history is the one in force at the reported time.
    while (this->history.size() > 1 && this->history[1].since <= asOf)
        this->history.pop_front();
    json::array list;
    for (const auto& [processors, memory] : this->history.front().processorsAndMemory)
        list.push_back(
            json::object { { "worker", list.size() }, { "processors", processors }, { "memoryBytes", memory } });
    return { 200, json::serialize(json::object { { "lagMs", this->settings.usageLag.count() }, { "workers", list } }) };
}

void FakePlatform::expireLeases()
{
    const Core::SteadyTime now = this->clock.steadyNow();
    const auto isOver = [&](const auto& lease) { return lease.second.expiresAt <= now; };
    if (std::erase_if(this->leases, isOver) == 0)
        return;
    std::erase_if(this->tasks, [&](const auto& task) { return !this->leases.contains(task.second.leaseId); });
    this->noteUsage();
}

void FakePlatform::noteUsage()
{
    Usage usage { this->clock.steadyNow(), {} };
    usage.processorsAndMemory.resize(this->settings.workers);
    for (const auto& [taskId, task] : this->tasks) {
        auto& [processors, memory] = usage.processorsAndMemory[this->leases.at(task.leaseId).worker];
        processors += task.processors * task.percent / 100;
        memory += task.memoryBytes;
    }
    this->history.push_back(std::move(usage));
}

}
