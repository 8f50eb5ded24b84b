#include "StandIns/FakeEndpoint.h"

#include <boost/json.hpp>
#include <cmath>
#include <cstdlib>
#include <fstream>

namespace celeryswitch::StandIns {

namespace json = boost::json;

FakeEndpoint::FakeEndpoint(boost::asio::io_context& context, FakeEndpointSettings settings)
    : context(context)
    , settings(std::move(settings))
    , random(this->settings.seed)
    , server(context,
          [this](const Request& request, HttpServer::Respond respond) { this->handle(request, std::move(respond)); })
{
    if (!this->settings.journal.empty())
        this->readJournal();
}

FakeEndpoint::~FakeEndpoint()
{
    if (this->journalFile)
        std::fclose(this->journalFile);
}

void FakeEndpoint::handle(const Request& request, HttpServer::Respond respond)
{
    if (request.method == "GET" && request.path == "/starts")
        return respond({ 200, this->startsAsJson() });
    if (request.method == "GET" && request.path == "/starts/all")
        return respond({ 200, this->allStartsAsJson() });
    if (request.method != "POST" || request.path != "/")
        return respond({ 404, R"({"error":"use POST /, GET /starts or GET /starts/all"})" });
    const auto header = [&](const std::string& name) {
        const auto found = request.headers.find(name);
        return found != request.headers.end() ? found->second : std::string();
    };
    this->countStart(header("Celery-Job"), header("Celery-Task"));
    Order order = this->readOrder(request.body);
    ++this->running;
    this->mostRunning = std::max(this->mostRunning, this->running);
    if (order.serviceTime.count() == 0)
        return this->end(order, respond);
    const auto timer = std::make_shared<boost::asio::steady_timer>(this->context, order.serviceTime);
    timer->async_wait([this, timer, order = std::move(order), respond = std::move(respond)](
                          const boost::system::error_code&) { this->end(order, respond); });
}

FakeEndpoint::Order FakeEndpoint::readOrder(const std::string& body)
{
    Order order;
    std::uniform_real_distribution<double> uniform(0, 1);
    // Both numbers are always drawn, so that one task's body does not change the fate of the next.
    const double durationDraw = uniform(this->random);
    const double failureDraw = uniform(this->random);
    const double shortest = std::max(0.001, double(this->settings.shortest.count()));
    const double longest = std::max(shortest, double(this->settings.longest.count()));
    if (this->settings.longest.count() > 0)
        order.serviceTime
            = std::chrono::microseconds(std::llround(1000 * shortest * std::pow(longest / shortest, durationDraw)));
    if (failureDraw < this->settings.failureRate)
        order.failure = this->settings.failure;
    boost::system::error_code error;
    const json::value value = json::parse(body, error);
    if (error || !value.is_object()) {
        order.echo = body;
        return order;
    }
    const json::object& object = value.get_object();
    if (const json::value* serviceTime = object.if_contains("serviceMs"); serviceTime && serviceTime->is_number())
        order.serviceTime = std::chrono::microseconds(std::llround(1000 * serviceTime->to_number<double>()));
    if (const json::value* failure = object.if_contains("fail"); failure && failure->is_string())
        order.failure = failure->get_string().c_str();
    if (const json::value* echo = object.if_contains("echo"); echo && echo->is_string())
        order.echo = echo->get_string().c_str();
    return order;
}

void FakeEndpoint::countStart(const std::string& job, const std::string& task)
{
    ++this->starts[{ job, task }];
    ++this->startCount;
    if (this->journalFile) {
        std::fprintf(this->journalFile, "%s %s\n", job.c_str(), task.c_str());
        std::fflush(this->journalFile);
    }
}

void FakeEndpoint::end(const Order& order, const HttpServer::Respond& respond)
{
    if (order.failure == "crash")
        std::_Exit(3);
    if (order.failure == "stall") {
        this->stalled.push_back(respond);
        return;
    }
    --this->running;
    if (order.failure == "close")
        return respond({ 0, {}, true });
    if (order.failure == "error")
        return respond({ 500, R"({"error":"the task failed as ordered"})" });
    respond({ 200, json::serialize(json::object { { "echo", order.echo } }) });
}

void FakeEndpoint::readJournal()
{
    std::ifstream file(this->settings.journal);
    std::string job;
    std::string task;
    while (file >> job >> task) {
        ++this->starts[{ job, task }];
        ++this->startCount;
    }
    this->journalFile = std::fopen(this->settings.journal.c_str(), "a");
}

std::string FakeEndpoint::startsAsJson() const
{
    json::array repeated;
    for (const auto& [key, count] : this->starts) {
        if (count > 1)
            repeated.push_back(json::object { { "job", key.first }, { "task", key.second }, { "starts", count } });
    }
    return json::serialize(json::object { { "starts", this->startCount }, { "tasks", this->starts.size() },
        { "running", this->running }, { "mostRunning", this->mostRunning }, { "repeated", std::move(repeated) } });
}

std::string FakeEndpoint::allStartsAsJson() const
{
    json::array list;
    for (const auto& [key, count] : this->starts)
        list.push_back(json::array { key.first, key.second, count });
    return json::serialize(list);
}

}
