#include "celeryswitch/Workers/WorkerClient.h"

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
    if (!this->idleConnections.empty()) {
        Connection connection = std::move(this->idleConnections.back());
        this->idleConnections.pop_back();
        this->send(std::move(connection), std::move(action));
    } else if (this->openCount < this->connectionLimit) {
        ++this->openCount;
        ++this->openedCount;
        this->send(std::make_shared<Http::HttpConnection>(this->context, this->address), std::move(action));
    } else {
        this->queuedCalls.push_back(std::move(action));
    }
}

void WorkerClient::send(Connection connection, CallWorker action)
{
    Http::HttpRequest request = this->protocol.encode(action.call, action.workerId);
    Http::HttpConnection* const used = connection.get();
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
            this->released(std::move(connection), response.has_value());
            this->onResult(callId, std::move(result));
        });
}

void WorkerClient::released(Connection connection, bool isUsable)
{
    if (!isUsable) {
        --this->openCount;
        connection.reset();
    }
    if (this->queuedCalls.empty()) {
        if (connection)
            this->idleConnections.push_back(std::move(connection));
        return;
    }
    CallWorker next = std::move(this->queuedCalls.front());
    this->queuedCalls.pop_front();
    if (connection)
        this->idleConnections.push_back(std::move(connection));
    this->call(std::move(next));
}

}
