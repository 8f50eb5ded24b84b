#pragma once

#include "celeryswitch/Http/BudgetReport.h"
#include "celeryswitch/Http/HttpServer.h"
#include "celeryswitch/Http/ProcessLimits.h"
#include "celeryswitch/Logging/StructuredLog.h"
#include "celeryswitch/Network/PeerTransport.h"
#include "celeryswitch/State/ControlProtocol.h"
#include "celeryswitch/State/StateClient.h"
#include "celeryswitch/State/StateCore.h"
#include <functional>
#include <map>
#include <set>

namespace celeryswitch::State {

/// Serves operators over HTTP at a state replica: turns their calls into requests to the replica and its replies into
/// responses. A replica that does not lead passes a call on to the leader, and names the leader to the operator only
/// when that takes too long: an operator that follows a redirection takes both replicas for tried. Runs on the peer
/// thread.
class ControlGateway {
public:
    /// Connection number under which the gateway's requests reach the replica.
    static constexpr std::uint64_t connection = UINT64_MAX;

    /// Passes a request on; false when it can't be taken now.
    using RequestHandler = std::function<bool(ClientRequest)>;

    /// `identity` and `keys` are those of the replica towards the leader. Evacuations are served for the data centres
    /// named; without any, their calls are unknown. `protocol` and `log` outlive the gateway.
    ControlGateway(boost::asio::io_context& context, const ControlProtocol& protocol, Logging::StructuredLog& log,
        const Http::ProcessAllowance& allowance, Messages::Hello identity, Network::AuthenticationKeys keys,
        std::set<std::string> evacuableDataCentres, RequestHandler onRequest);

    /// Starts listening on "address:port".
    Core::Result<std::string> listen(const std::string& address);
    /// Takes the replica's reply to a request.
    void reply(const Messages::StateReply& reply);
    /// Stops listening and ends the connections.
    void stop();
    /// Updates the gauges of the operators' connections; on any thread.
    void collect(Metrics::MetricRegistry& registry) const { Http::collectBudget(*this->receiveBudget, registry); }

private:
    /// A call without a response.
    struct Waiting {
        Http::HttpSession::Pointer session;
        Http::HttpRequest request;
        /// What it asks, for the log.
        std::string description;
        /// Version of the document that it puts; 0 for other calls.
        std::uint64_t version = 0;
        StateClient::Body body;
        bool isForwarded = false;
    };

    void received(const Http::HttpSession::Pointer& session, Http::HttpRequest request);
    void ask(const Http::HttpSession::Pointer& session, Http::HttpRequest request, std::string description,
        std::uint64_t version, decltype(Messages::StateRequest::body) body);
    void evacuate(
        const Http::HttpSession::Pointer& session, Http::HttpRequest request, const EvacuateDataCentre& order);
    void refuse(
        const Http::HttpSession::Pointer& session, const Http::HttpRequest& request, const ControlAnswer& refusal);
    std::function<void(const Http::HttpSession::Pointer&)> abandonedHandler();
    // The operator of a call has closed its connection.
    void abandoned(const Http::HttpSession::Pointer& session);
    void forward(std::uint64_t requestId, Waiting& call, const std::string& leader);
    void answer(std::uint64_t requestId, ControlAnswer answer);

    boost::asio::io_context& context;
    const ControlProtocol& protocol;
    Logging::StructuredLog& log;
    std::set<std::string> evacuableDataCentres;
    RequestHandler onRequest;
    Http::ProcessLimits processLimits;
    std::shared_ptr<Http::ReceiveBudget> receiveBudget;
    Http::HttpServer server;
    Network::PeerTransport transport;
    StateClient leaderClient;
    /// Port that every replica serves operators at.
    std::string port;
    std::uint64_t lastRequest = 0;
    std::map<std::uint64_t, Waiting> waiting;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}
