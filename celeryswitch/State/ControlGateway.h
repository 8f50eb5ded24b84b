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
#include <optional>
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
    void reply(Messages::StateReply reply);
    /// Stops listening and ends the connections.
    void stop();
    /// Updates the gauges of the operators' connections; on any thread.
    void collect(Metrics::MetricRegistry& registry) const { Http::collectBudget(*this->receiveBudget, registry); }

private:
    /// An operator who waits for a response.
    struct Caller {
        Http::HttpSession::Pointer session;
        Http::HttpRequest request;
    };
    /// A request to the replica without a reply.
    struct Waiting {
        /// More than one for a read that was delayed: all of them came before it was passed on.
        std::vector<Caller> callers;
        /// What it asks, for the log.
        std::string description;
        /// Version of the document that it puts; 0 for other calls.
        std::uint64_t version = 0;
        StateClient::Body body;
        bool isForwarded = false;
    };
    using WaitingCalls = std::map<std::uint64_t, Waiting>;

    void received(const Http::HttpSession::Pointer& session, Http::HttpRequest request);
    void ask(
        Caller caller, std::string description, std::uint64_t version, decltype(Messages::StateRequest::body) body);
    // Reads the document. While several reads are under way, further callers share the next one.
    void read(Caller caller);
    // Passes the delayed read on when it is its turn.
    void passOnDelayedRead();
    // Passes a request on to the replica.
    void passOn(std::uint64_t requestId, decltype(Messages::StateRequest::body) body);
    // Answers a request as unavailable when its reply has not come in time.
    void startTimer(std::uint64_t requestId);
    // Removes a request; it may have been the read that others wait for.
    WaitingCalls::node_type take(std::uint64_t requestId);
    // The document of a reply, shared with the answers that hold the same one. It counts towards the budget once.
    std::shared_ptr<const std::string> shareDocument(std::string source);
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
    WaitingCalls waiting;
    /// Reads under way, and the one that is delayed until one of them has ended.
    std::set<std::uint64_t> reads;
    std::optional<std::uint64_t> delayedRead;
    std::weak_ptr<const std::string> latestDocument;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}
