#pragma once

#include "celeryswitch/Http/HttpServer.h"
#include "celeryswitch/Logging/StructuredLog.h"
#include "celeryswitch/State/ControlProtocol.h"
#include "celeryswitch/State/StateCore.h"
#include <functional>
#include <map>

namespace celeryswitch::State {

/// Serves operators over HTTP at a state replica: turns their calls into requests to the replica and its replies into
/// responses. Runs on the peer thread.
class ControlGateway {
public:
    /// Connection number under which the gateway's requests reach the replica.
    static constexpr std::uint64_t connection = UINT64_MAX;

    /// Passes a request on; false when it can't be taken now.
    using RequestHandler = std::function<bool(ClientRequest)>;

    /// `protocol` and `log` outlive the gateway.
    ControlGateway(boost::asio::io_context& context, const ControlProtocol& protocol, Logging::StructuredLog& log,
        RequestHandler onRequest);

    /// Starts listening on "address:port".
    Core::Result<std::string> listen(const std::string& address);
    /// Takes the replica's reply to a request.
    void reply(const Messages::StateReply& reply);
    /// Stops listening and ends the connections.
    void stop();

private:
    /// A call without a response.
    struct Waiting {
        Http::HttpSession::Pointer session;
        Http::HttpRequest request;
        /// Version of the document that it puts; 0 for a read.
        std::uint64_t version = 0;
    };

    void received(const Http::HttpSession::Pointer& session, Http::HttpRequest request);
    void ask(const Http::HttpSession::Pointer& session, Http::HttpRequest request, std::uint64_t version,
        decltype(Messages::StateRequest::body) body);
    void answer(std::uint64_t requestId, ControlAnswer answer);

    boost::asio::io_context& context;
    const ControlProtocol& protocol;
    Logging::StructuredLog& log;
    RequestHandler onRequest;
    Http::HttpServer server;
    /// Port that every replica serves operators at.
    std::string port;
    std::uint64_t lastRequest = 0;
    std::map<std::uint64_t, Waiting> waiting;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}
