#include "celeryswitch/Workers/WorkerCaller.h"

namespace celeryswitch::Workers {

WorkerCaller::WorkerCaller(boost::asio::io_context& context, std::string address, std::size_t connectionLimit,
    const WorkerProtocol& protocol, ResultHandler onResult)
    : context(context)
    , address(std::move(address))
    , connectionLimit(connectionLimit)
    , protocol(protocol)
    , onResult(std::move(onResult))
{
}

void WorkerCaller::call(CallWorker order)
{
    if (!this->idle.empty()) {
        Connection connection = std::move(this->idle.back());
        this->idle.pop_back();
        this->send(std::move(connection), std::move(order));
    } else if (this->open < this->connectionLimit) {
        ++this->open;
        ++this->opened;
        this->send(std::make_shared<Http::HttpConnection>(this->context, this->address), std::move(order));
    } else {
        this->waiting.push_back(std::move(order));
    }
}

void WorkerCaller::send(Connection connection, CallWorker order)
{
    Http::HttpRequest request = this->protocol.encode(order.call, order.workerId);
    Http::HttpConnection* const used = connection.get();
    used->request(std::move(request), order.timeout,
        [this, guard = std::weak_ptr<bool>(this->alive), connection = std::move(connection), callId = order.callId,
            call = std::move(order.call)](Core::Result<Http::HttpResponse> response) mutable {
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

void WorkerCaller::released(Connection connection, bool isUsable)
{
    if (!isUsable) {
        --this->open;
        connection.reset();
    }
    if (this->waiting.empty()) {
        if (connection)
            this->idle.push_back(std::move(connection));
        return;
    }
    CallWorker next = std::move(this->waiting.front());
    this->waiting.pop_front();
    if (connection)
        this->idle.push_back(std::move(connection));
    this->call(std::move(next));
}

}
