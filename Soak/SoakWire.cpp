#include "Soak/SoakWire.h"

#include "platform/JsonFields.h"
#include "platform/TaskNames.h"

namespace celeryswitch::Soak {

namespace json = boost::json;
using Platform::countField;
using Platform::textField;
using Workers::CallRefusal;
using Workers::CallStatus;

namespace {

const char* reasonOf(CallRefusal refusal)
{
    switch (refusal) {
    case CallRefusal::Fence:
        return "fence";
    case CallRefusal::Old:
        return "old";
    case CallRefusal::Late:
        return "late";
    case CallRefusal::Room:
        return "room";
    default:
        return "other";
    }
}

const char* endName(Messages::RunEnd end)
{
    switch (end) {
    case Messages::RunEnd::Done:
        return "done";
    case Messages::RunEnd::Failed:
        return "failed";
    case Messages::RunEnd::Stopped:
        return "stopped";
    default:
        return "lapsed";
    }
}

std::uint16_t statusOf(CallStatus status)
{
    switch (status) {
    case CallStatus::Accepted:
        return 200;
    case CallStatus::Refused:
        return 409;
    case CallStatus::OtherIncarnation:
        return 421;
    default:
        return 503;
    }
}

}

std::optional<Workers::WorkerCall> readOrder(const Http::HttpRequest& request, std::string& expectedWorker)
{
    expectedWorker = std::string(request.headers.value("X-Expect-Instance"));
    const std::optional<json::object> body = Platform::parseObject(request.body);
    if (request.method != "POST" || !body)
        return std::nullopt;
    const auto token = static_cast<std::uint64_t>(countField(*body, "fencing_token").value_or(0));
    if (request.path == "/v1/hold") {
        Workers::RenewLeaseCall hold { token, static_cast<std::uint64_t>(countField(*body, "last_seen").value_or(0)),
            countField(*body, "deadline_ms"), std::chrono::milliseconds(countField(*body, "wait_ms").value_or(0)) };
        return hold;
    }
    const std::optional<Messages::TaskId> task = Platform::parseTaskName(textField(*body, "task").value_or(""));
    const auto run = static_cast<std::uint32_t>(countField(*body, "run").value_or(0));
    if (!task || run == 0)
        return std::nullopt;
    if (request.path == "/v1/run-stop")
        return Workers::StopCall { *task, run, token };
    if (request.path != "/v1/run-start")
        return std::nullopt;
    return Workers::StartCall { *task, run, textField(*body, "spec").value_or(""),
        countField(*body, "deadline_ms").value_or(0), token };
}

Http::HttpResponse writeResult(const Workers::CallResult& result, std::int64_t bornAt, bool isList)
{
    json::object body { { "clock_ms", result.clock.value_or(0) } };
    if (result.status == CallStatus::Refused)
        body["reason"] = reasonOf(result.refusal);
    if (!isList)
        return { statusOf(result.status), { { "Content-Type", "application/json" } }, json::serialize(body) };
    body["born"] = bornAt;
    json::array running;
    for (const Workers::RunningRunRecord& row : result.running)
        running.push_back(json::array { Platform::taskName(row.task), row.run, "", row.percent, row.milliCores });
    json::array ended;
    for (const Workers::EndedRunRecord& row : result.ended)
        ended.push_back(json::array { row.number, Platform::taskName(row.task), row.run, endName(row.end), "" });
    body["running"] = std::move(running);
    body["ended"] = std::move(ended);
    return { statusOf(result.status), { { "Content-Type", "application/json" } }, json::serialize(body) };
}

Http::HttpRequest writeHeartbeat(const Workers::WorkerAnnouncement& announcement)
{
    json::array labels;
    for (const std::string& label : announcement.labels)
        labels.emplace_back(label);
    const json::object body { { "service", announcement.service }, { "address", "127.0.0.1:1" }, { "zone", "a" },
        { "version", "v1" }, { "slots", 8 }, { "state", announcement.isDraining ? "draining" : "ready" },
        { "cold_left_ms", 0 },
        { "capacity",
            json::object { { "cpu", announcement.capacity.milliCores },
                { "mem_mb", announcement.capacity.memoryMegabytes }, { "gpu", announcement.capacity.accelerators } } },
        { "labels", std::move(labels) }, { "clock_ms", announcement.clock }, { "sequence", announcement.sequence },
        { "born", announcement.workerStartedAt } };
    return { "POST", "/v1/instances/" + announcement.workerId + "/heartbeat",
        { { "Content-Type", "application/json" } }, json::serialize(body) };
}

Http::HttpRequest writeJob(const std::string& host, const std::string& prefix, const std::string& id,
    std::uint32_t tasks, const Messages::Room& need, std::uint32_t declaredMilliseconds,
    const std::string& requiredLabel, std::int64_t patienceMilliseconds, std::size_t paddingBytes)
{
    json::object step { { "count", tasks }, { "cpu", need.milliCores }, { "mem_mb", need.memoryMegabytes },
        { "estimated_ms", declaredMilliseconds } };
    if (!requiredLabel.empty())
        step["required_label"] = requiredLabel;
    const json::object body { { "spec", "soak" + std::string(paddingBytes, ' ') }, { "best_effort", true },
        { "steps", json::array { step } } };
    return { "POST", prefix + id,
        { { "Host", host }, { "Content-Type", "application/json" },
            { "X-Deadline-Ms", std::to_string(patienceMilliseconds) } },
        json::serialize(body) };
}

std::string queueHost(std::uint32_t number) { return "queue" + std::to_string(number % 2) + ".example"; }
std::string queuePrefix(std::uint32_t number) { return "/q" + std::to_string(number) + "/"; }

std::string writeDocument(std::uint64_t version, const DocumentContent& content)
{
    json::array routes;
    for (std::uint32_t number = 0; number < content.queues; ++number)
        routes.push_back(json::object { { "name", "r-" + std::to_string(number) }, { "host", queueHost(number) },
            { "path_prefix", queuePrefix(number) }, { "type", "unsafe" }, { "timeout_ms", content.timeoutMilliseconds },
            { "target_completion_ms", 60 }, { "priority", number % 3 }, { "service", "loans" },
            { "max_attempts", 2 + number % 3 }, { "stretch", 1.6 } });
    const json::object service { { "name", "loans" }, { "health_path", "/health" }, { "max_conns", 64 },
        { "protocol", "h1" }, { "tls", false }, { "admission_control", content.hasAdmissionControl },
        { "standby", false } };
    const json::object limits { { "max_header_bytes", 16384 }, { "max_body_bytes", content.bodyBytes },
        { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } };
    return json::serialize(json::object { { "version", version }, { "routes", std::move(routes) },
        { "services", json::array { service } }, { "limits", limits } });
}

std::uint64_t readVersion(const std::string& document)
{
    const std::optional<json::object> body = Platform::parseObject(document);
    return body ? static_cast<std::uint64_t>(countField(*body, "version").value_or(0)) : 0;
}

}
