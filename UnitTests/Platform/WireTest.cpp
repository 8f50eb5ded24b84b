#include "platform/ClientApi.h"
#include "platform/OperatorApi.h"
#include "platform/TaskNames.h"
#include "platform/WorkerApi.h"
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <random>

using namespace celeryswitch;
using namespace celeryswitch::Platform;
namespace json = boost::json;

namespace {

const std::string jobBody = R"({"spec":"text","best_effort":true,"steps":[{"count":4,"cpu":500,"mem_mb":256,)"
                            R"("estimated_ms":900,"data_rack":"r1-3"},{"count":20,"cpu":2000,"mem_mb":1024,)"
                            R"("estimated_ms":7000,"after":[0],"checkpoints":true,"anti_affinity":2}]})";
const std::string heartbeatBody
    = R"({"service":"loans","address":"10.0.0.9:8080","zone":"a","version":"v1","slots":8,"state":"ready",)"
      R"("cold_left_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":1},"labels":["a","r1-3"],"clock_ms":482113,)"
      R"("sequence":4,"born":1775115663339})";
const std::string holdBody
    = R"({"clock_ms":482113,"born":5,"running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb87a21d94b",41,2300]],)"
      R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[59,"5c0e7a21d94b36f8.0.1.8",3,"lapsed",""]]})";
const std::string configBody
    = R"({"version":7,"routes":[{"name":"r-1","host":"h.example","path_prefix":"/a/","type":"unsafe","timeout_ms":1500,)"
      R"("target_completion_ms":60,"priority":2,"service":"loans","max_attempts":4,"stretch":1.6}],"services":[)"
      R"({"name":"loans","health_path":"/health","max_conns":64,"admission_control":true,"standby":false}],)"
      R"("limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

Http::HttpRequest post(const std::string& path, const std::string& body) { return { "POST", path, {}, body }; }

std::string without(std::string text, const std::string& part)
{
    const std::size_t place = text.find(part);
    REQUIRE(place != std::string::npos);
    return text.erase(place, part.size());
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const std::size_t place = text.find(from);
    REQUIRE(place != std::string::npos);
    return text.replace(place, from.size(), to);
}

// Damages a text a few times.
std::string mutated(std::string text, std::mt19937& generator)
{
    for (std::uint32_t edits = generator() % 6 + 1; edits > 0; --edits) {
        text[generator() % text.size()] = static_cast<char>(generator() % 256);
        text.insert(generator() % text.size(), text.substr(generator() % text.size(), generator() % 9));
    }
    return text;
}

}

// Guards against ends and claims that are put to the wrong task.
TEST_CASE("task names are read and written", "[Platform]")
{
    const Messages::TaskId task { 0x0c0e7a21d94b36f8, 3, 1, 17 };
    REQUIRE(taskName(task) == "0c0e7a21d94b36f8.3.1.17");
    REQUIRE(parseTaskName(taskName(task)) == task);
    for (const char* wrong : { "", "0c0e7a21d94b36f8", "0c0e7a21d94b36f8.1.2", "0c0e7a21d94b36f8.1.2.3.4",
             "0c0e7a21d94b36f.1.2.3", "0c0e7a21d94b36fx.1.2.3", "0c0e7a21d94b36f8.1..3" })
        REQUIRE_FALSE(parseTaskName(wrong));
}

// Guards against tasks that start under an id that no client sent, and against two jobs that count as one.
TEST_CASE("job ids keep the case of their letters", "[Platform]")
{
    for (const char* id : { "A31D0000000000fF", "a31d0000000000ff", "ABCDEFABCDEFABCD", "0123456789abcdEF" }) {
        INFO(id);
        const std::optional<Messages::StepJobId> job = parseJobName(id);
        REQUIRE(job);
        CHECK(jobName(*job) == id);
        CHECK(Messages::jobText(*job) == id);
        const std::string task = std::string(id) + ".0.1.17";
        REQUIRE(parseTaskName(task));
        CHECK(taskName(*parseTaskName(task)) == task);
        CHECK(parseTaskName(task)->job == *job);
    }
    CHECK_FALSE(*parseJobName("A31D0000000000fF") == *parseJobName("a31d0000000000ff"));
    const ClientApi api;
    const auto decoded = api.decode(post("/a/A31D0000000000fF", jobBody), "A31D0000000000fF");
    CHECK(Messages::jobText(std::get<Scheduling::SubmitJob>(decoded).job.id) == "A31D0000000000fF");
    const WorkerApi workers;
    const Http::HttpRequest start
        = workers.encode(Workers::StartCall { *parseTaskName("A31D0000000000fF.0.0.0") }, "i-1");
    CHECK(json::parse(start.body).at("task") == "A31D0000000000fF.0.0.0");
}

// Guards against jobs that run with other content, room or order than their client asked for.
TEST_CASE("a client's job is read as it was written", "[Platform]")
{
    Http::HttpRequest request = post("/a/5c0e7a21d94b36f8", jobBody);
    request.headers = { { "host", "h.example:80" }, { "x-deadline-ms", "2500" } };
    const ClientApi api;
    REQUIRE(api.host(request) == "h.example");
    const auto decoded = api.decode(request, "5c0e7a21d94b36f8");
    const auto& submission = std::get<Scheduling::SubmitJob>(decoded);
    REQUIRE(submission.callerTimeout == std::chrono::milliseconds(2500));
    REQUIRE(submission.job.id == 0x5c0e7a21d94b36f8);
    REQUIRE(submission.job.content == "text");
    REQUIRE(submission.job.isBestEffort);
    REQUIRE(submission.job.steps.size() == 2);
    REQUIRE(submission.job.steps[0].need == Messages::Room { 500, 256, 0 });
    REQUIRE(submission.job.steps[0].dataRack == "r1-3");
    REQUIRE(submission.job.steps[1].dependencies == std::vector<std::uint32_t> { 0 });
    REQUIRE(submission.job.steps[1].hasCheckpoints);
    REQUIRE(submission.job.steps[1].tasksPerWorker == 2);
}

// Guards against a job that ends the entry, for which it allocates each task, and against sums that overflow.
TEST_CASE("a job with values out of range is refused", "[Platform]")
{
    const ClientApi api;
    const auto isRefused = [&](const std::string& body) {
        const auto decoded = api.decode(post("/a/5c0e7a21d94b36f8", body), "5c0e7a21d94b36f8");
        const auto* invalid = std::get_if<Scheduling::InvalidRequest>(&decoded);
        return invalid && !invalid->problem.empty();
    };
    REQUIRE_FALSE(isRefused(jobBody));
    REQUIRE_FALSE(isRefused(replaced(jobBody, "\"count\":4,", "\"count\":2000,")));
    for (const char* number : { "4294967295", "9007199254740992", "9223372036854775807", "18446744073709551616",
             "1e400", "1.5", "-1", "\"4\"" }) {
        for (const char* name : { "\"count\":4", "\"cpu\":500", "\"mem_mb\":256", "\"anti_affinity\":2" }) {
            const std::string text = name;
            if (text == "\"anti_affinity\":2" && std::string(number) == "4294967295")
                continue;
            INFO(name << " replaced by " << number);
            REQUIRE(isRefused(replaced(jobBody, text, text.substr(0, text.find(':') + 1) + number)));
        }
    }
    REQUIRE(isRefused(replaced(jobBody, "\"count\":4,", "\"count\":99990,")));
    for (const std::size_t depth : { std::size_t(100), std::size_t(100'000) })
        REQUIRE(isRefused(replaced(jobBody, "[0]", std::string(depth, '[') + std::string(depth, ']'))));
}

// Guards against a patience whose conversion overflows, so that the job expires at once or never.
TEST_CASE("a client's patience is bounded", "[Platform]")
{
    const ClientApi api;
    for (const char* patience : { "9223372036854775807", "99999999999999999999999", "9223372036855" }) {
        INFO(patience);
        Http::HttpRequest request = post("/a/5c0e7a21d94b36f8", jobBody);
        request.headers = { { "X-Deadline-Ms", patience } };
        const auto decoded = api.decode(request, "5c0e7a21d94b36f8");
        REQUIRE(std::get<Scheduling::SubmitJob>(decoded).callerTimeout == std::chrono::hours(24));
    }
}

// Guards against requests that are taken for others.
TEST_CASE("a client's other calls are told apart", "[Platform]")
{
    const ClientApi api;
    REQUIRE(std::holds_alternative<Scheduling::QueryQueue>(api.decode({ "GET", "/a/", {}, {} }, "")));
    REQUIRE(std::get<Scheduling::QueryJob>(api.decode({ "GET", "", {}, {} }, "00000000000000ff")).id == 255);
    REQUIRE(std::get<Scheduling::CancelJob>(api.decode({ "DELETE", "", {}, {} }, "00000000000000ff")).id == 255);
    for (const std::string& wrong : { without(jobBody, R"("spec":"text",)"), replaced(jobBody, "[0]", "[1]"),
             replaced(jobBody, R"("count":4,)", ""), std::string("{}"), std::string("[]"), jobBody.substr(0, 50) })
        REQUIRE(std::holds_alternative<Scheduling::InvalidRequest>(api.decode(post("/a/", wrong), "5c0e7a21d94b36f8")));
    REQUIRE(std::holds_alternative<Scheduling::InvalidRequest>(api.decode(post("/a/", jobBody), "5c0e")));
    REQUIRE(std::holds_alternative<Scheduling::InvalidRequest>(api.decode({ "PUT", "", {}, {} }, "5c0e7a21d94b36f8")));
}

// Guards against refusals that a client takes for something else, and that don't say when to come back.
TEST_CASE("answers to clients carry status, state and time to come back", "[Platform]")
{
    const ClientApi api;
    using Scheduling::AnswerKind;
    const auto done = api.encode({ AnswerKind::State, Scheduling::JobState::Completed, 0, {}, {} });
    REQUIRE(done.statusCode == 200);
    REQUIRE(done.body == R"({"state":"completed"})");
    const auto refused = api.encode({ AnswerKind::NotRun, {}, 0, std::chrono::milliseconds(1200), "no room" });
    REQUIRE(refused.statusCode == 503);
    REQUIRE(refused.headers.value("Retry-After") == "2");
    REQUIRE(api.encode({ AnswerKind::GivenUp, {}, 0, {}, {} }).statusCode == 504);
    REQUIRE(api.encode({ AnswerKind::UnknownJob, {}, 0, {}, {} }).statusCode == 410);
    REQUIRE(api.encode({ AnswerKind::UnknownQueue, {}, 0, {}, {} }).statusCode == 404);
    REQUIRE(api.encode({ AnswerKind::Pending, {}, 12, {}, {} }).body == R"({"pending":12})");
}

// Guards against orders that a worker reads differently from what was meant.
TEST_CASE("orders to a worker carry their task, lease and token", "[Platform]")
{
    const WorkerApi api;
    const Messages::TaskId task { 0x5c0e7a21d94b36f8, 0, 1, 17 };
    const Http::HttpRequest start = api.encode(Workers::StartCall { task, 2, "text", 486000, 7 }, "i-1");
    REQUIRE(start.path == "/v1/run-start");
    REQUIRE(start.headers.value("X-Expect-Instance") == "i-1");
    REQUIRE(json::parse(start.body)
        == json::parse(R"({"task":"5c0e7a21d94b36f8.0.1.17","run":2,"spec":"text","deadline_ms":486000,)"
                       R"("fencing_token":7})"));
    const Http::HttpRequest hold
        = api.encode(Workers::RenewLeaseCall { 7, 57, 486000, std::chrono::milliseconds(400) }, "");
    REQUIRE(!hold.headers.contains("X-Expect-Instance"));
    REQUIRE(json::parse(hold.body)
        == json::parse(R"({"fencing_token":7,"last_seen":57,"deadline_ms":486000,"wait_ms":400})"));
    REQUIRE(api.encode(Workers::StopCall { task, 2, 7 }, "i-1").path == "/v1/run-stop");
}

// Guards against ends that get lost, and against refusals that are taken for starts.
TEST_CASE("a worker's answers are read", "[Platform]")
{
    const WorkerApi api;
    const Workers::CallResult lists = api.decode(Workers::RenewLeaseCall {}, { 200, {}, holdBody });
    REQUIRE(lists.status == Workers::CallStatus::Accepted);
    REQUIRE(lists.clock == 482113);
    REQUIRE(lists.workerStartedAt == 5);
    REQUIRE(lists.running.size() == 1);
    REQUIRE(lists.running[0].percent == 41);
    REQUIRE(lists.running[0].milliCores == 2300);
    REQUIRE(lists.ended.size() == 2);
    REQUIRE(lists.ended[0].number == 58);
    REQUIRE(lists.ended[0].end == Messages::RunEnd::Done);
    REQUIRE(lists.ended[1].end == Messages::RunEnd::Lapsed);
    const auto refusal = [&](const std::string& reason) {
        return api.decode(Workers::StartCall {}, { 409, {}, R"({"clock_ms":1,"reason":")" + reason + "\"}" }).refusal;
    };
    REQUIRE(refusal("fence") == Workers::CallRefusal::Fence);
    REQUIRE(refusal("old") == Workers::CallRefusal::Old);
    REQUIRE(refusal("late") == Workers::CallRefusal::Late);
    REQUIRE(refusal("room") == Workers::CallRefusal::Room);
    REQUIRE(refusal("new word") == Workers::CallRefusal::Other);
    REQUIRE(api.decode(Workers::StartCall {}, { 421, {}, "{}" }).status == Workers::CallStatus::OtherIncarnation);
    REQUIRE(api.decode(Workers::StartCall {}, { 503, {}, "" }).status == Workers::CallStatus::Unhealthy);
    for (const std::string& wrong :
        { without(holdBody, "\"clock_ms\":482113,\"born\":5,\"running\":"), std::string("") })
        REQUIRE(api.decode(Workers::RenewLeaseCall {}, { 200, {}, wrong }).status == Workers::CallStatus::Unreadable);
}

// Guards against another writer's announcements that make a worker appear, change or leave.
TEST_CASE("announcements with missing or mistyped fields name no worker", "[Platform]")
{
    const WorkerApi api;
    const std::string path = "/v1/instances/i-7/heartbeat";
    const auto whole = api.decode(post(path, heartbeatBody));
    const auto& announcement = std::get<Workers::AnnounceRequest>(whole).announcement;
    REQUIRE(announcement.workerId == "i-7");
    REQUIRE(announcement.workerStartedAt == 1775115663339);
    REQUIRE(announcement.capacity == Messages::Room { 16'000, 32'768, 1 });
    REQUIRE(announcement.labels == std::vector<std::string> { "a", "r1-3" });
    REQUIRE_FALSE(announcement.isDraining);
    for (const std::string& wrong : { replaced(heartbeatBody, "\"ready\"", "\"resting\""),
             replaced(heartbeatBody, "\"ready\"", "7"), without(heartbeatBody, R"("service":"loans",)"),
             replaced(heartbeatBody, "16000", "\"16000\""), replaced(heartbeatBody, "1775115663339", "1.5"),
             replaced(heartbeatBody, "\"sequence\":4", "\"sequence\":-4"), heartbeatBody.substr(0, 60),
             std::string("\xff\xfe") })
        REQUIRE(std::get<Workers::InvalidRequest>(api.decode(post(path, wrong))).response.statusCode == 400);
    REQUIRE(
        std::get<Workers::DeregisterRequest>(api.decode(post("/v1/instances/i-7/deregister", ""))).workerId == "i-7");
    REQUIRE(std::get<Workers::InvalidRequest>(api.decode(post("/v1/instances/i-7", ""))).response.statusCode == 404);
}

// Guards against another writer's announcement that is taken for a worker with room that no sum holds, with a time that
// no clock reaches or with an address that no process can have.
TEST_CASE("announcements with values out of range name no worker", "[Platform]")
{
    const WorkerApi api;
    const auto isRefused = [&](const std::string& body) {
        const auto decoded = api.decode(post("/v1/instances/i-7/heartbeat", body));
        const auto* invalid = std::get_if<Workers::InvalidRequest>(&decoded);
        return invalid && invalid->response.statusCode == 400 && !invalid->problem.empty();
    };
    REQUIRE_FALSE(isRefused(heartbeatBody));
    REQUIRE_FALSE(isRefused(replaced(heartbeatBody, "482113", "9007199254740991")));
    REQUIRE_FALSE(isRefused(replaced(heartbeatBody, "16000", "1000000000")));
    for (const char* number : { "9007199254740992", "9223372036854775807", "9223372036854775808",
             "18446744073709551616", "123456789012345678901234567890", "1e400", "1.5", "-1" }) {
        for (const char* field : { "16000", "32768", "\"gpu\":1", "482113", "\"sequence\":4", "1775115663339" }) {
            const std::string text = field;
            const std::size_t colon = text.find(':');
            INFO(field << " replaced by " << number);
            REQUIRE(isRefused(
                replaced(heartbeatBody, text, (colon == std::string::npos ? "" : text.substr(0, colon + 1)) + number)));
        }
    }
    REQUIRE(isRefused(replaced(heartbeatBody, "16000", "1000000001")));
    for (const char* address : { "\"10.0.0.9:65536\"", "\"10.0.0.9:0\"", "\"10.0.0.9\"",
             "\"10.0.0.9:99999999999999999999\"", "\"worker:80\"", "8080" }) {
        INFO(address);
        REQUIRE(isRefused(replaced(heartbeatBody, "\"10.0.0.9:8080\"", address)));
    }
    REQUIRE(isRefused(without(heartbeatBody, "\"address\":\"10.0.0.9:8080\",")));
    REQUIRE(isRefused(replaced(heartbeatBody, "[\"a\",\"r1-3\"]", "[\"a\",7]")));
    REQUIRE(isRefused(replaced(heartbeatBody, "[\"a\",\"r1-3\"]", "\"a\"")));
    for (const std::size_t depth : { std::size_t(100), std::size_t(100'000) }) {
        const std::string nested = std::string(depth, '[') + std::string(depth, ']');
        REQUIRE(isRefused(replaced(heartbeatBody, "[\"a\",\"r1-3\"]", nested)));
        REQUIRE(isRefused(nested));
    }
    REQUIRE(
        std::holds_alternative<Workers::InvalidRequest>(api.decode(post("/v1/instances//heartbeat", heartbeatBody))));
}

// Guards against another writer's bytes that end a worker's life.
TEST_CASE("a deregistration that can't be read names no worker", "[Platform]")
{
    const WorkerApi api;
    const std::string path = "/v1/instances/i-7/deregister";
    REQUIRE(std::get<Workers::DeregisterRequest>(api.decode(post(path, R"({"born":5})"))).workerStartedAt == 5);
    REQUIRE_FALSE(std::get<Workers::DeregisterRequest>(api.decode(post(path, "{}"))).workerStartedAt);
    for (const std::string& wrong : { std::string("{"), std::string("[]"), std::string(R"({"born":"5"})"),
             std::string(R"({"born":9223372036854775807})"), std::string(R"({"born":1.5})"), std::string(200, '[') }) {
        INFO(wrong);
        REQUIRE(std::get<Workers::InvalidRequest>(api.decode(post(path, wrong))).response.statusCode == 400);
    }
}

// Guards against a run number above 32 bits that is taken for another run, whose end it then reports, and against use
// and clocks that overflow a sum.
TEST_CASE("a worker's rows with values out of range can't be read", "[Platform]")
{
    const WorkerApi api;
    const auto read = [&](const std::string& body) {
        return api.decode(Workers::RenewLeaseCall {}, { 200, {}, body });
    };
    // 2 + 2^32 and 3 + 2^32.
    for (const std::string& wrong : { replaced(holdBody, "36f8.0.1.17\",2", "36f8.0.1.17\",4294967298"),
             replaced(holdBody, "36f8.0.1.8\",3", "36f8.0.1.8\",4294967299"),
             replaced(holdBody, "0.1.17", "0.1.4294967313"), replaced(holdBody, "[59,", "[9007199254740992,"),
             replaced(holdBody, "[59,", "[9223372036854775807,") }) {
        INFO(wrong);
        const Workers::CallResult lists = read(wrong);
        REQUIRE(lists.running.size() + lists.ended.size() == 2);
        REQUIRE(lists.hasUnreadableRunning == lists.running.empty());
        REQUIRE(lists.hasUnreadableEnded == (lists.ended.size() == 1));
    }
    for (const char* percent : { "101", "4294967337", "9223372036854775807", "-1", "\"x\"" })
        REQUIRE(read(replaced(holdBody, ",41,", std::string(",") + percent + ",")).running.at(0).percent == 0);
    for (const char* use : { "1000000001", "9223372036854775807", "1e400" })
        REQUIRE(read(replaced(holdBody, "2300", use)).running.at(0).milliCores == 0);
    for (const char* clock : { "9007199254740992", "9223372036854775807" }) {
        REQUIRE_FALSE(read(replaced(holdBody, "482113", clock)).clock);
        REQUIRE_FALSE(read(replaced(holdBody, "\"born\":5", std::string("\"born\":") + clock)).workerStartedAt);
    }
}

// Guards against a document that is acknowledged and not whole, and against valid ones that are refused.
TEST_CASE("an operator's document is read whole or refused", "[Platform]")
{
    const OperatorApi api;
    const std::string path = "/v1/config/put";
    const auto decoded = api.decode(post(path, configBody));
    const auto& put = std::get<State::PutDocument>(decoded);
    REQUIRE(put.source == configBody);
    REQUIRE(put.document.version == 7);
    REQUIRE(put.document.problem().empty());
    REQUIRE(put.document.queues.size() == 1);
    REQUIRE(put.document.queues[0].stretch == 1.6);
    REQUIRE(put.document.queues[0].maximumAttempts == 4);
    REQUIRE(put.document.services[0].hasAdmissionControl);
    const auto problemOf = [&](const std::string& body) {
        const auto read = api.decode(post(path, body));
        const auto* document = std::get_if<State::PutDocument>(&read);
        return document ? document->document.problem() : std::get<State::UnreadableCall>(read).problem;
    };
    REQUIRE_FALSE(problemOf(configBody.substr(0, 200)).empty());
    REQUIRE_FALSE(problemOf(replaced(configBody, "\"service\":\"loans\"", "\"service\":\"others\"")).empty());
    REQUIRE_FALSE(problemOf(replaced(configBody, "\"timeout_ms\":1500", "\"timeout_ms\":0")).empty());
    REQUIRE_FALSE(problemOf(replaced(configBody, "\"version\":7", "\"version\":\"7\"")).empty());
    REQUIRE_FALSE(problemOf(without(configBody, "\"version\":7,")).empty());
    const std::string route = configBody.substr(
        configBody.find("{\"name\":\"r-1\""), configBody.find("],\"services\"") - configBody.find("{\"name\":\"r-1\""));
    REQUIRE_FALSE(problemOf(replaced(configBody, route, route + "," + route)).empty());
}

// Guards against a document that is acknowledged with another number than it names, or with a goal that no clock holds.
TEST_CASE("a document with numbers that can't be read is refused", "[Platform]")
{
    const OperatorApi api;
    const auto isRefused = [&](const std::string& body) {
        return std::holds_alternative<State::UnreadableCall>(api.decode(post("/v1/config/put", body)));
    };
    REQUIRE_FALSE(isRefused(configBody));
    for (const char* number : { "9007199254740992", "9223372036854775807", "1e400", "-1", "\"x\"" }) {
        for (const char* name : { "\"version\":7", "\"timeout_ms\":1500", "\"target_completion_ms\":60",
                 "\"priority\":2", "\"max_attempts\":4", "\"max_header_bytes\":16384", "\"idle_timeout_ms\":15000" }) {
            const std::string text = name;
            INFO(name << " replaced by " << number);
            REQUIRE(isRefused(replaced(configBody, text, text.substr(0, text.find(':') + 1) + number)));
        }
    }
    for (const char* stretch : { "1e400", "-1e400", "-1", "\"x\"" })
        REQUIRE(isRefused(replaced(configBody, "1.6", stretch)));
    const std::string nested = std::string(100'000, '[') + std::string(100'000, ']');
    REQUIRE(isRefused(replaced(configBody, "\"h.example\"", nested)));
}

// Guards against evacuations of a data centre whose name is cut or of none.
TEST_CASE("an evacuation order names its data centre", "[Platform]")
{
    const OperatorApi api;
    const auto decoded = api.decode(post("/v1/evacuate/thyna-depot/start", ""));
    REQUIRE(std::get<State::EvacuateDataCentre>(decoded).dataCentre == "thyna-depot");
    REQUIRE(std::get<State::EvacuateDataCentre>(decoded).isEvacuated);
    REQUIRE_FALSE(std::get<State::EvacuateDataCentre>(api.decode(post("/v1/evacuate/a/end", ""))).isEvacuated);
    for (const char* path : { "/v1/evacuate/start", "/v1/evacuate//start", "/v1/evacuate/a", "/v1/evacuate/a/b/start",
             "/v1/evacuate/a/start/", "/v1/evacuate/a/begin" })
        REQUIRE(std::holds_alternative<State::UnknownPath>(api.decode(post(path, ""))));
}

// Guards against operators that are sent to the wrong place or take a refusal for good.
TEST_CASE("answers to operators carry status and place", "[Platform]")
{
    const OperatorApi api;
    const Http::HttpRequest request = post("/v1/config/put", "");
    const auto moved = api.encode({ State::ControlOutcome::Moved, "10.0.0.4:8080" }, request);
    REQUIRE(moved.statusCode == 307);
    REQUIRE(moved.headers.value("Location") == "http://10.0.0.4:8080/v1/config/put");
    REQUIRE(api.encode({ State::ControlOutcome::Acknowledged, "" }, request).statusCode == 200);
    REQUIRE(api.encode({ State::ControlOutcome::Invalid, "why" }, request).statusCode == 400);
    REQUIRE(api.encode({ State::ControlOutcome::Unavailable, "" }, request).statusCode == 503);
    const auto document = std::make_shared<const std::string>("{\"version\":7}");
    REQUIRE(api.encode({ State::ControlOutcome::Document, "", document }, request).bodyText() == "{\"version\":7}");
}

// Guards against decoders that throw or crash on damaged bytes. Seeds 1 to CELERYSWITCH_FUZZ, 2000 by default.
TEST_CASE("damaged bytes never crash the platform's decoders", "[Platform]")
{
    const char* asked = std::getenv("CELERYSWITCH_FUZZ");
    const std::uint32_t seeds = asked ? static_cast<std::uint32_t>(std::strtoul(asked, nullptr, 10)) : 2000;
    const ClientApi client;
    const WorkerApi worker;
    const OperatorApi controller;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        std::mt19937 generator(seed);
        REQUIRE_NOTHROW(client.decode(post("/a/", mutated(jobBody, generator)), "5c0e7a21d94b36f8"));
        REQUIRE_NOTHROW(worker.decode(post("/v1/instances/i-7/heartbeat", mutated(heartbeatBody, generator))));
        REQUIRE_NOTHROW(worker.decode(Workers::RenewLeaseCall {}, { 200, {}, mutated(holdBody, generator) }));
        const auto put = controller.decode(post("/v1/config/put", mutated(configBody, generator)));
        if (const auto* document = std::get_if<State::PutDocument>(&put))
            REQUIRE_NOTHROW(document->document.problem());
    }
}
