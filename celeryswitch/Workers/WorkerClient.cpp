#include "celeryswitch/Workers/WorkerClient.h"

#include <algorithm>

namespace celeryswitch::Workers {

WorkerClient::WorkerClient(boost::asio::io_context& context, std::string address, std::size_t connectionLimit,
    const WorkerProtocol& protocol, ResultHandler onResult)
    : context(context)
    , address(std::move(address))
    , connectionLimit(connectionLimit)
    , protocol(protocol)
    , onResult(std::move(onResult))
{
}

void WorkerClient::call(CallWorker action)
{
    if (Connection idle = this->takeIdle(action.call); idle.http) {
        this->send(std::move(idle), std::move(action));
    } else if (this->openCount < this->connectionLimit) {
        ++this->openCount;
        ++this->openedCount;
        this->send({ std::make_shared<Http::HttpConnection>(this->context, this->address), {} }, std::move(action));
    } else {
        this->queuedCalls.push_back(std::move(action));
    }
}

WorkerClient::Connection WorkerClient::takeIdle(const WorkerCall& call)
{
    const auto* start = std::get_if<StartCall>(&call);
    const auto isPreferred = [&](const Connection& connection) {
        // Lists of runs identify connections that are not identified yet.
        return start ? connection.workerStartedAt == start->workerStartedAt
                     : !connection.workerStartedAt && std::holds_alternative<RenewLeaseCall>(call);
    };
    while (!this->idleConnections.empty()) {
        const auto preferred = std::find_if(this->idleConnections.rbegin(), this->idleConnections.rend(), isPreferred);
        const auto chosen = preferred != this->idleConnections.rend() ? std::prev(preferred.base())
                                                                      : std::prev(this->idleConnections.end());
        Connection connection = std::move(*chosen);
        this->idleConnections.erase(chosen);
        if (!start || connection.http->isOpen())
            return connection;
        --this->openCount;
    }
    return {};
}

void WorkerClient::send(Connection connection, CallWorker action)
{
    const auto* start = std::get_if<StartCall>(&action.call);
    if (start && connection.workerStartedAt != start->workerStartedAt)
        this->identify(std::move(connection), std::move(action));
    else
        this->transmit(std::move(connection), std::move(action));
}

void WorkerClient::transmit(Connection connection, CallWorker action)
{
    Http::HttpRequest request = this->protocol.encode(action.call, action.workerId);
    Http::HttpConnection* const used = connection.http.get();
    used->request(std::move(request), action.timeout,
        [this, guard = std::weak_ptr<bool>(this->lifetimeToken), connection = std::move(connection),
            callId = action.callId, call = std::move(action.call)](Core::Result<Http::HttpResponse> response) mutable {
            if (guard.expired())
                return;
            CallResult result;
            if (response)
                result = this->protocol.decode(call, response.value());
            else if (response.error().is(Http::HttpError::ConnectFailed))
                result.status = CallStatus::NotSent;
            if (result.workerStartedAt)
                connection.workerStartedAt = result.workerStartedAt;
            this->released(std::move(connection), response.has_value());
            this->onResult(callId, std::move(result));
        });
}

void WorkerClient::identify(Connection connection, CallWorker action)
{
    const WorkerCall list = RenewLeaseCall { std::get<StartCall>(action.call).fencingToken, 0, std::nullopt, {} };
    Http::HttpRequest request = this->protocol.encode(list, action.workerId);
    Http::HttpConnection* const used = connection.http.get();
    const Core::Duration timeout = action.timeout;
    used->request(std::move(request), timeout,
        [this, guard = std::weak_ptr<bool>(this->lifetimeToken), connection = std::move(connection), list,
            action = std::move(action)](Core::Result<Http::HttpResponse> response) mutable {
            if (guard.expired())
                return;
            const CallResult answer = response ? this->protocol.decode(list, response.value()) : CallResult {};
            const bool isListed = answer.status == CallStatus::Accepted || answer.status == CallStatus::Unreadable;
            if (answer.workerStartedAt)
                connection.workerStartedAt = answer.workerStartedAt;
            if (isListed && connection.workerStartedAt == std::get<StartCall>(action.call).workerStartedAt
                && connection.http->isOpen()) {
                this->transmit(std::move(connection), std::move(action));
                return;
            }
            // The start was not sent. A refusal of the list applies to the start as well.
            CallResult result;
            result.status = isListed ? CallStatus::NotIdentified : response ? answer.status : CallStatus::NotSent;
            result.refusal = answer.refusal;
            result.clock = answer.clock;
            result.workerStartedAt = answer.workerStartedAt;
            this->released(std::move(connection), response.has_value());
            this->onResult(action.callId, std::move(result));
        });
}

void WorkerClient::released(Connection connection, bool isUsable)
{
    // A connection that the worker ends after a response would be opened anew, possibly to another incarnation.
    if (isUsable && connection.http->isOpen())
        this->idleConnections.push_back(std::move(connection));
    else
        --this->openCount;
    if (this->queuedCalls.empty())
        return;
    CallWorker next = std::move(this->queuedCalls.front());
    this->queuedCalls.pop_front();
    this->call(std::move(next));
}

}
