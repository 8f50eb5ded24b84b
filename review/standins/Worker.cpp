#include "Worker.h"

#include <algorithm>
#include <sstream>
#include <thread>

namespace review {

namespace {

constexpr std::int64_t longestLease = 1000;
constexpr std::int64_t heartbeatInterval = 1500;
constexpr std::size_t mostListedEnds = 500;

std::int64_t number(const json::object& object, const char* name, std::int64_t absent = 0)
{
    const json::value* value = object.if_contains(name);
    return value && value->is_number() ? value->to_number<std::int64_t>() : absent;
}

std::string text(const json::object& object, const char* name)
{
    const json::value* value = object.if_contains(name);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

// Time of a task: the number behind "ms=" in the specification of its job.
std::int64_t taskTime(const std::string& spec)
{
    const std::size_t place = spec.find("ms=");
    return place == std::string::npos ? 100 : std::atoll(spec.c_str() + place + 3);
}

}

Worker::Worker(WorkerSettings newSettings)
    : settings(std::move(newSettings))
    , record(this->settings.recordFile)
    , bornWall(wallMilliseconds())
    , bornSteady(steadyMilliseconds())
{
}

bool Worker::run()
{
    if (!this->server.start(
            this->settings.appAddress, [this](const Message& request) { return this->handle(request); }))
        return false;
    this->record.write("worker " + this->settings.id + " up born=" + std::to_string(this->bornWall)
        + " labels=" + (this->settings.labels.empty() ? "" : this->settings.labels.front()));
    std::thread([this] {
        while (true) {
            this->announce();
            sleepMilliseconds(heartbeatInterval);
        }
    }).detach();
    while (true) {
        {
            const std::lock_guard<std::mutex> guard(this->mutex);
            this->advance();
        }
        sleepMilliseconds(2);
    }
}

void Worker::announce()
{
    json::array labels;
    for (const std::string& label : this->settings.labels)
        labels.emplace_back(label);
    const json::object body { { "service", this->settings.service }, { "address", this->settings.appAddress },
        { "zone", "recife" }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "cold_left_ms", 0 },
        { "capacity",
            json::object {
                { "cpu", this->settings.milliCores }, { "mem_mb", this->settings.memoryMegabytes }, { "gpu", 0 } } },
        { "labels", labels }, { "clock_ms", this->clock() }, { "sequence", ++this->sequence },
        { "born", this->bornWall } };
    call(this->settings.controlAddress,
        { "POST", "/v1/instances/" + this->settings.id + "/heartbeat",
            { { "Host", this->settings.controlAddress }, { "Content-Type", "application/json" } },
            json::serialize(body) },
        1000);
}

Message Worker::answer(int status, json::object body) const
{
    body["clock_ms"] = this->clock();
    body["born"] = this->bornWall;
    Message response;
    response.status = status;
    response.body = json::serialize(body);
    return response;
}

Message Worker::handle(const Message& request)
{
    if (request.method == "GET" && request.path == "/health")
        return this->answer(200, {});
    const auto expected = request.headers.find("x-expect-instance");
    if (expected != request.headers.end() && expected->second != this->settings.id)
        return this->answer(421, {});
    boost::system::error_code error;
    const json::value parsed = json::parse(request.body, error);
    if (error || !parsed.is_object())
        return this->answer(400, {});
    const json::object& order = parsed.get_object();
    if (this->isLate(request.path, order)) {
        this->carryOutLate(request.path, order);
        // The connection stays open and silent until its other end gives up.
        sleepMilliseconds(2 * this->settings.lateMilliseconds);
        return this->answer(503, {});
    }
    if (request.path == "/v1/run-start") {
        Message response = this->start(order);
        sleepMilliseconds(this->settings.answerMilliseconds);
        return response;
    }
    if (request.path == "/v1/run-stop")
        return this->stop(order);
    if (request.path == "/v1/hold")
        return this->hold(order);
    return this->answer(404, {});
}

bool Worker::isLate(const std::string& path, const json::object& order)
{
    // Time after a late renewal in which the first start is late as well.
    constexpr std::int64_t bothLateTime = 60;
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (this->settings.lateEvery == 0)
        return false;
    if (path == "/v1/run-start")
        return this->clock() < std::exchange(this->lateStartsUntil, 0);
    if (path != "/v1/hold" || !order.contains("deadline_ms") || ++this->renewals % this->settings.lateEvery != 0)
        return false;
    this->lateStartsUntil = this->clock() + bothLateTime;
    return true;
}

void Worker::carryOutLate(const std::string& path, json::object order)
{
    // The renewal comes first, so that the lease is in force when the start comes.
    constexpr std::int64_t renewalLead = 50;
    const bool isStart = path == "/v1/run-start";
    const std::string what = isStart ? "start " + text(order, "task") : "renewal";
    this->record.write("worker " + this->settings.id + (isStart ? " late " : " puts off a ") + what);
    const std::int64_t leaseLeft = number(order, "deadline_ms") - this->clock();
    std::thread([this, isStart, what, order = std::move(order), leaseLeft]() mutable {
        sleepMilliseconds(this->settings.lateMilliseconds - (isStart ? 0 : renewalLead));
        if (!isStart) {
            order["deadline_ms"] = this->clock() + leaseLeft;
            order.erase("wait_ms");
        }
        const Message result = isStart ? this->start(order) : this->hold(order);
        this->record.write(
            "worker " + this->settings.id + " carried out late " + what + ": " + std::to_string(result.status));
    }).detach();
}

bool Worker::acceptToken(const json::object& order)
{
    const std::int64_t given = number(order, "fencing_token");
    if (given < this->token)
        return false;
    this->token = given;
    return true;
}

void Worker::extendLease(const json::object& order)
{
    this->leaseEnd = std::max(this->leaseEnd, std::min(number(order, "deadline_ms"), this->clock() + longestLease));
}

Message Worker::start(const json::object& order)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->advance();
    const std::string task = text(order, "task");
    const std::int64_t run = number(order, "run");
    if (!this->acceptToken(order))
        return this->answer(409, { { "reason", "fence" } });
    this->extendLease(order);
    if (this->leaseEnd <= this->clock())
        return this->answer(409, { { "reason", "late" } });
    const auto found = this->running.find(task);
    if (found != this->running.end() && found->second.number == run)
        return this->answer(200, {});
    const auto highest = this->highestEnded.find(task);
    if (found != this->running.end() || (highest != this->highestEnded.end() && run <= highest->second))
        return this->answer(409, { { "reason", "old" } });
    const std::string spec = text(order, "spec");
    this->record.write("worker " + this->settings.id + " born=" + std::to_string(this->bornWall) + " begin " + task
        + " run=" + std::to_string(run) + " spec=" + spec);
    this->running[task] = { run, this->clock(), this->clock() + taskTime(spec) };
    return this->answer(200, {});
}

Message Worker::stop(const json::object& order)
{
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->advance();
    const std::string task = text(order, "task");
    const std::int64_t run = number(order, "run");
    if (!this->acceptToken(order))
        return this->answer(409, { { "reason", "fence" } });
    std::int64_t& highest = this->highestEnded[task];
    highest = std::max(highest, run);
    if (const auto found = this->running.find(task); found != this->running.end() && found->second.number <= run)
        this->endRun(found, "stopped");
    return this->answer(200, {});
}

Message Worker::hold(const json::object& order)
{
    std::unique_lock<std::mutex> guard(this->mutex);
    this->advance();
    if (!this->acceptToken(order))
        return this->answer(409, { { "reason", "fence" } });
    if (order.contains("deadline_ms"))
        this->extendLease(order);
    const std::int64_t seen = number(order, "last_seen");
    std::erase_if(this->ended, [&](const json::array& row) { return row[0].to_number<std::int64_t>() <= seen; });
    const std::int64_t wait = number(order, "wait_ms");
    if (wait > 0)
        this->changed.wait_for(guard, std::chrono::milliseconds(wait), [this] { return !this->ended.empty(); });
    return this->answer(200, this->lists());
}

json::object Worker::lists() const
{
    json::array runningRows;
    for (const auto& [task, run] : this->running) {
        const std::int64_t span = std::max<std::int64_t>(1, run.endsAt - run.startedAt);
        const std::int64_t percent = std::min<std::int64_t>(99, 100 * (this->clock() - run.startedAt) / span);
        runningRows.push_back(json::array { task, run.number, "", percent, 1000 });
    }
    json::array endedRows;
    for (const json::array& row : this->ended) {
        if (endedRows.size() < mostListedEnds)
            endedRows.push_back(row);
    }
    return { { "running", runningRows }, { "ended", endedRows } };
}

void Worker::advance()
{
    const std::int64_t now = this->clock();
    for (auto next = this->running.begin(); next != this->running.end();) {
        const auto found = next++;
        if (found->second.endsAt <= std::min(now, this->leaseEnd))
            this->endRun(found, "done");
        else if (this->leaseEnd <= now)
            this->endRun(found, "lapsed");
    }
}

void Worker::endRun(std::map<std::string, Run>::iterator found, const char* how)
{
    this->record.write("worker " + this->settings.id + " end " + found->first
        + " run=" + std::to_string(found->second.number) + " how=" + how);
    std::int64_t& highest = this->highestEnded[found->first];
    highest = std::max(highest, found->second.number);
    this->ended.push_back(json::array { ++this->lastEnd, found->first, found->second.number, how, "" });
    this->running.erase(found);
    this->changed.notify_all();
}

int workerMain(const std::map<std::string, std::string>& arguments)
{
    WorkerSettings settings;
    const auto given = [&](const char* name, const std::string& absent = "") {
        const auto found = arguments.find(name);
        return found != arguments.end() ? found->second : absent;
    };
    settings.id = given("id");
    settings.service = given("service");
    settings.appAddress = given("app");
    settings.controlAddress = given("control");
    settings.recordFile = given("record");
    settings.milliCores = std::stoll(given("cpu", "16000"));
    settings.answerMilliseconds = std::stoll(given("answer-ms", "0"));
    settings.lateEvery = std::stoll(given("late-every", "0"));
    settings.lateMilliseconds = std::stoll(given("late-ms", "3200"));
    std::stringstream labels(given("labels", "a,r1-1"));
    for (std::string label; std::getline(labels, label, ',');)
        settings.labels.push_back(label);
    Worker worker(settings);
    return worker.run() ? 0 : 1;
}

}
