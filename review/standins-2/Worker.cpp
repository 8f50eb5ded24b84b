#include "Worker.h"

#include <algorithm>

namespace review {

namespace {

constexpr std::int64_t longestLease = 1000;
constexpr std::int64_t tick = 2;
constexpr std::int64_t pingLimit = 1000;

std::int64_t durationOf(const std::string& spec)
{
    const std::size_t from = spec.find("ms=");
    return from == std::string::npos ? 100 : std::stoll(spec.substr(from + 3));
}

}

Worker::Worker(WorkerSettings settings)
    : settings(std::move(settings))
    , born(unixMilliseconds())
    , bootedAt(steadyMilliseconds())
{
    this->listen();
    this->clockThread = std::thread([this] { this->keepTime(); });
    this->heartbeatThread = std::thread([this] { this->announce(); });
}

Worker::~Worker()
{
    this->isStopping = true;
    this->clockThread.join();
    this->heartbeatThread.join();
    while (this->waitingOrders > 0)
        waitMilliseconds(tick);
    this->server.reset();
}

void Worker::listen()
{
    this->server = std::make_unique<Server>(
        this->settings.address, [this](const Message& request) { return this->received(request); });
}

void Worker::reboot(std::int64_t downTime, const std::string& kind, std::int64_t milliCores, std::int64_t firstPing)
{
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        while (!this->running.empty())
            this->end(std::string(this->running.begin()->first), "crashed");
        this->isDown = true;
    }
    this->server.reset();
    waitMilliseconds(downTime);
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        ++this->life;
        this->settings.kind = kind;
        this->settings.milliCores = milliCores;
        this->born = unixMilliseconds();
        this->bootedAt = steadyMilliseconds();
        this->leaseEnd = 0;
        this->fence = 0;
        this->lastEnd = 0;
        this->sequence = 0;
        this->lastRuns.clear();
        this->ended.clear();
        this->isDown = false;
        this->nextPing = this->bootedAt + firstPing;
    }
    this->listen();
}

std::vector<RunRecord> Worker::history()
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->records;
}

std::size_t Worker::runningCount()
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->running.size();
}

Message Worker::answer(int status, const std::string& fields) const
{
    Message response;
    response.status = status;
    response.body = "{\"clock_ms\":" + std::to_string(this->clock()) + fields + "}";
    return response;
}

std::optional<Message> Worker::received(const Message& request)
{
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        if (this->isDown)
            return std::nullopt;
        const auto expected = request.headers.find("x-expect-instance");
        if (expected != request.headers.end() && expected->second != this->settings.id)
            return this->answer(421);
    }
    if (std::rand() % 100 >= this->latePercent)
        return this->carryOut(request);
    // Nobody knows whether the order has arrived, and it is carried out whatever is sent meanwhile.
    ++this->waitingOrders;
    std::thread([this, request, span = 2000 + std::rand() % 3000] {
        const std::int64_t until = steadyMilliseconds() + span;
        while (steadyMilliseconds() < until && !this->isStopping)
            waitMilliseconds(tick);
        if (!this->isStopping)
            this->carryOut(request);
        --this->waitingOrders;
    }).detach();
    return std::nullopt;
}

std::optional<Message> Worker::carryOut(const Message& request)
{
    if (request.path == "/v1/run-start")
        return this->start(request);
    if (request.path == "/v1/run-stop")
        return this->stop(request);
    if (request.path == "/v1/hold")
        return this->hold(request);
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->answer(400);
}

bool Worker::isFenced(const Message& request)
{
    const std::int64_t token = jsonNumber(request.body, "fencing_token").value_or(0);
    if (token < this->fence)
        return true;
    this->fence = token;
    return false;
}

void Worker::extendLease(const Message& request)
{
    if (const std::optional<std::int64_t> deadline = jsonNumber(request.body, "deadline_ms"))
        this->leaseEnd = std::max(this->leaseEnd, std::min(*deadline, this->clock() + longestLease));
}

std::optional<Message> Worker::start(const Message& request)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (this->isDown)
        return std::nullopt;
    this->turn();
    if (this->isFenced(request))
        return this->answer(409, ",\"reason\":\"fence\"");
    const std::string task = jsonText(request.body, "task");
    const std::int64_t run = jsonNumber(request.body, "run").value_or(-1);
    const std::string spec = jsonText(request.body, "spec");
    if (task.empty() || run < 0)
        return this->answer(400);
    this->extendLease(request);
    const auto present = this->running.find(task);
    if (present != this->running.end() && present->second.run == run)
        return this->answer(200);
    const auto last = this->lastRuns.find(task);
    if (present != this->running.end() || (last != this->lastRuns.end() && run <= last->second))
        return this->answer(409, ",\"reason\":\"old\"");
    if (this->leaseEnd <= this->clock())
        return this->answer(409, ",\"reason\":\"late\"");
    const std::size_t cpu = spec.find("cpu=");
    const std::int64_t need = cpu == std::string::npos ? 1000 : std::stoll(spec.substr(cpu + 4));
    std::int64_t used = 0;
    for (const auto& [name, other] : this->running)
        used += other.milliCores;
    if (this->settings.isGuarding && used + need > this->settings.milliCores)
        return this->answer(409, ",\"reason\":\"room\"");
    this->running[task] = { this->records.size(), run, steadyMilliseconds() + durationOf(spec), need };
    this->records.push_back(
        { task, run, spec, steadyMilliseconds(), 0, "", this->settings.id + "/" + std::to_string(this->life),
            this->settings.kind, used + need, this->settings.milliCores });
    return this->answer(200);
}

std::optional<Message> Worker::stop(const Message& request)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->turn();
    if (this->isFenced(request))
        return this->answer(409, ",\"reason\":\"fence\"");
    const std::string task = jsonText(request.body, "task");
    const std::int64_t run = jsonNumber(request.body, "run").value_or(-1);
    const auto present = this->running.find(task);
    if (present != this->running.end() && present->second.run <= run)
        this->end(task, "stopped");
    std::int64_t& last = this->lastRuns[task];
    last = std::max(last, run);
    return this->answer(200);
}

std::optional<Message> Worker::hold(const Message& request)
{
    const std::int64_t until = steadyMilliseconds() + jsonNumber(request.body, "wait_ms").value_or(0);
    const std::int64_t seen = jsonNumber(request.body, "last_seen").value_or(0);
    bool isFirst = true;
    while (true) {
        {
            const std::lock_guard<std::mutex> guard(this->mutex);
            if (this->isDown)
                return std::nullopt;
            this->turn();
            if (isFirst && this->isFenced(request))
                return this->answer(409, ",\"reason\":\"fence\"");
            if (isFirst) {
                this->extendLease(request);
                std::erase_if(this->ended, [seen](const Ended& each) { return each.number <= seen; });
            }
            isFirst = false;
            if (!this->ended.empty() || steadyMilliseconds() >= until || this->isStopping) {
                std::string lists = ",\"born\":" + std::to_string(this->born) + ",\"running\":[";
                for (const auto& [task, each] : this->running) {
                    const RunRecord& record = this->records[each.record];
                    const std::int64_t length = std::max<std::int64_t>(1, each.endsAt - record.startedAt);
                    const std::int64_t percent = (steadyMilliseconds() - record.startedAt) * 100 / length;
                    lists += std::string(lists.back() == '[' ? "" : ",") + "[\"" + task + "\","
                        + std::to_string(each.run) + ",\"\"," + std::to_string(std::min<std::int64_t>(percent, 99))
                        + "," + std::to_string(each.milliCores) + "]";
                }
                lists += "],\"ended\":[";
                for (const Ended& each : this->ended)
                    lists += std::string(lists.back() == '[' ? "" : ",") + "[" + std::to_string(each.number) + ",\""
                        + each.task + "\"," + std::to_string(each.run) + ",\"" + each.how + "\",\"\"]";
                return this->answer(200, lists + "]");
            }
        }
        waitMilliseconds(tick);
    }
}

void Worker::end(const std::string& task, const std::string& how)
{
    const auto found = this->running.find(task);
    RunRecord& record = this->records[found->second.record];
    record.endedAt = steadyMilliseconds();
    record.how = how;
    this->ended.push_back({ ++this->lastEnd, task, found->second.run, how });
    std::int64_t& last = this->lastRuns[task];
    last = std::max(last, found->second.run);
    this->running.erase(found);
}

void Worker::turn()
{
    const std::int64_t now = steadyMilliseconds();
    const bool isOver = this->clock() >= this->leaseEnd;
    std::vector<std::pair<std::string, std::string>> over;
    for (const auto& [task, each] : this->running) {
        if (now >= each.endsAt)
            over.emplace_back(task, "done");
        else if (isOver)
            over.emplace_back(task, "lapsed");
    }
    for (const auto& [task, how] : over)
        this->end(task, how);
}

void Worker::keepTime()
{
    while (!this->isStopping) {
        {
            const std::lock_guard<std::mutex> guard(this->mutex);
            this->turn();
        }
        waitMilliseconds(tick);
    }
}

void Worker::announce()
{
    Connection connection(this->settings.control);
    while (!this->isStopping) {
        if (steadyMilliseconds() < this->nextPing) {
            waitMilliseconds(tick);
            continue;
        }
        std::string body;
        {
            const std::lock_guard<std::mutex> guard(this->mutex);
            if (!this->isDown && steadyMilliseconds() >= this->nextPing)
                body = "{\"service\":\"" + this->settings.service + "\",\"address\":\"" + this->settings.address
                    + "\",\"zone\":\"" + this->settings.zone
                    + "\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\"capacity\":{\"cpu\":"
                    + std::to_string(this->settings.milliCores) + ",\"mem_mb\":262144,\"gpu\":0},\"labels\":[\""
                    + this->settings.kind + "\",\"" + this->settings.rack
                    + "\"],\"clock_ms\":" + std::to_string(this->clock()) + ",\"born\":" + std::to_string(this->born)
                    + ",\"sequence\":" + std::to_string(++this->sequence) + "}";
        }
        const bool isTaken = !body.empty()
            && connection.call("POST", "/v1/instances/" + this->settings.id + "/heartbeat", {}, body, pingLimit).status
                == 200;
        const std::lock_guard<std::mutex> guard(this->mutex);
        if (steadyMilliseconds() >= this->nextPing)
            this->nextPing = steadyMilliseconds() + (isTaken ? this->settings.heartbeatInterval : 100);
    }
}

}
