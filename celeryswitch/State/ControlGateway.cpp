#include "celeryswitch/State/ControlGateway.h"

#include "celeryswitch/Core/BlockBytes.h"
#include "celeryswitch/Network/MessageCodec.h"

namespace celeryswitch::State {

using Logging::LogLevel;
using Messages::StateRefusal;

namespace {

// Operators turn to another replica after a second without a response.
constexpr std::chrono::milliseconds answerLimit { 900 };
// Time that a call may take by way of the leader.
constexpr std::chrono::milliseconds forwardLimit { 450 };
constexpr std::chrono::milliseconds forwardConnectLimit { 200 };
constexpr std::size_t connectionsLimit = 512;
// Reads of the document that are under way at the same time. Each takes the memory of a document.
constexpr std::size_t readsLimit = 4;
constexpr Http::HttpLimits limits { 4 * 1024 * 1024, 16 * 1024, std::chrono::seconds(3), std::chrono::seconds(10),
    std::chrono::seconds(30) };

StateClientSettings leaderSettings(Messages::Hello identity)
{
    StateClientSettings settings;
    // Towards the leader the gateway is a client, not a replica.
    settings.identity = std::move(identity);
    settings.identity.role = Messages::Role::Operator;
    settings.attemptTimeout = forwardLimit;
    return settings;
}

}

ControlGateway::ControlGateway(boost::asio::io_context& context, const ControlProtocol& protocol,
    Logging::StructuredLog& log, const Http::ProcessAllowance& allowance, Messages::Hello identity,
    Network::AuthenticationKeys keys, std::set<std::string> evacuableDataCentres, RequestHandler onRequest)
    : context(context)
    , protocol(protocol)
    , log(log)
    , evacuableDataCentres(std::move(evacuableDataCentres))
    , onRequest(std::move(onRequest))
    , processLimits(Http::deriveLimits(allowance, { .connections = connectionsLimit }))
    , receiveBudget(Http::makeBudget(this->processLimits.receiveBudgetBytes, log))
    , server(context, limits, this->processLimits.connections,
          { [this](const Http::HttpSession::Pointer& session, Http::HttpRequest request) {
               this->received(session, std::move(request));
           },
              [this](std::uint16_t, const std::string& reason) {
                  return this->protocol.encode({ ControlOutcome::Invalid, reason }, {});
              },
              this->abandonedHandler() },
          this->receiveBudget)
    , transport(context, std::move(keys))
    , leaderClient(context, this->transport, leaderSettings(std::move(identity)))
{
    this->transport.setConnectLimit(forwardConnectLimit);
}

std::function<void(const Http::HttpSession::Pointer&)> ControlGateway::abandonedHandler()
{
    // Routing documents are ordered by their versions. Evacuations are not: a start that was read late, after a freeze
    // of this process, must not follow the end that its operator was confirmed elsewhere.
    if (this->evacuableDataCentres.empty())
        return {};
    return [this](const Http::HttpSession::Pointer& session) { this->abandoned(session); };
}

Core::Result<std::string> ControlGateway::listen(const std::string& address)
{
    this->port = address.substr(std::min(address.size(), address.rfind(':') + 1));
    this->server.setBacklog(this->processLimits.backlog);
    return this->server.listen(address);
}

void ControlGateway::received(const Http::HttpSession::Pointer& session, Http::HttpRequest request)
{
    ControlRequest decoded = this->protocol.decode(request);
    if (auto* put = std::get_if<PutDocument>(&decoded)) {
        const std::string problem = put->document.problem();
        if (problem.empty()) {
            const std::uint64_t version = put->document.version;
            this->ask({ session, std::move(request) }, "document put", version,
                Messages::PutRouting { "operator", Network::encodeMessage(put->document), std::move(put->source) });
            return;
        }
        decoded = UnreadableCall { problem };
    } else if (std::holds_alternative<GetDocument>(decoded)) {
        this->read({ session, std::move(request) });
        return;
    } else if (const auto* order = std::get_if<EvacuateDataCentre>(&decoded)) {
        this->evacuate(session, std::move(request), *order);
        return;
    }
    ControlAnswer refusal { ControlOutcome::Unknown, {} };
    if (const auto* unreadable = std::get_if<UnreadableCall>(&decoded))
        refusal = { ControlOutcome::Invalid, unreadable->problem };
    else if (const auto* unserved = std::get_if<UnservedCall>(&decoded))
        refusal = { ControlOutcome::Unavailable, unserved->reason };
    this->refuse(session, request, refusal);
}

void ControlGateway::evacuate(
    const Http::HttpSession::Pointer& session, Http::HttpRequest request, const EvacuateDataCentre& order)
{
    if (this->evacuableDataCentres.count(order.dataCentre) == 0) {
        const bool isServed = !this->evacuableDataCentres.empty();
        this->refuse(session, request,
            { ControlOutcome::Unknown, isServed ? "no data centre is named \"" + order.dataCentre + "\"" : "" });
        return;
    }
    this->ask({ session, std::move(request) }, order.isEvacuated ? "evacuation start" : "evacuation end", 0,
        Messages::SetEvacuation { "operator", order.dataCentre, order.isEvacuated });
}

void ControlGateway::abandoned(const Http::HttpSession::Pointer& session)
{
    // Not answered. A call that was passed on already may still be carried out.
    std::vector<std::uint64_t> abandonedCalls;
    for (auto& [requestId, call] : this->waiting) {
        std::erase_if(call.callers, [&](const Caller& caller) { return caller.session == session; });
        if (call.callers.empty())
            abandonedCalls.push_back(requestId);
    }
    for (const std::uint64_t requestId : abandonedCalls)
        this->take(requestId);
}

void ControlGateway::refuse(
    const Http::HttpSession::Pointer& session, const Http::HttpRequest& request, const ControlAnswer& refusal)
{
    this->log.write(LogLevel::Info, "operator call refused",
        { { "path", request.path }, { "outcome", std::string(Core::enumName(refusal.outcome)) },
            { "detail", refusal.text } });
    session->respond(this->protocol.encode(refusal, request));
}

void ControlGateway::ask(
    Caller caller, std::string description, std::uint64_t version, decltype(Messages::StateRequest::body) body)
{
    const std::uint64_t requestId = ++this->lastRequest;
    this->waiting[requestId] = { { std::move(caller) }, std::move(description), version, body };
    this->startTimer(requestId);
    this->passOn(requestId, std::move(body));
}

void ControlGateway::read(Caller caller)
{
    if (this->delayedRead) {
        this->waiting.at(*this->delayedRead).callers.push_back(std::move(caller));
        return;
    }
    const std::uint64_t requestId = ++this->lastRequest;
    this->waiting[requestId] = { { std::move(caller) }, "document read", 0, Messages::QueryRouting {} };
    this->startTimer(requestId);
    this->delayedRead = requestId;
    this->passOnDelayedRead();
}

void ControlGateway::passOnDelayedRead()
{
    if (!this->delayedRead || this->reads.size() >= readsLimit)
        return;
    const std::uint64_t requestId = *std::exchange(this->delayedRead, std::nullopt);
    this->reads.insert(requestId);
    this->passOn(requestId, Messages::QueryRouting {});
}

void ControlGateway::passOn(std::uint64_t requestId, decltype(Messages::StateRequest::body) body)
{
    if (!this->onRequest({ connection, { requestId, std::move(body) } }))
        this->answer(requestId, { ControlOutcome::Unavailable, "the replica is overloaded" });
}

void ControlGateway::startTimer(std::uint64_t requestId)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(this->context, answerLimit);
    timer->async_wait([this, guard = std::weak_ptr<bool>(this->alive), requestId, timer](boost::system::error_code) {
        if (!guard.expired())
            this->answer(requestId, { ControlOutcome::Unavailable, "no quorum has answered in time" });
    });
}

ControlGateway::WaitingCalls::node_type ControlGateway::take(std::uint64_t requestId)
{
    WaitingCalls::node_type call = this->waiting.extract(requestId);
    if (this->delayedRead == requestId)
        this->delayedRead.reset();
    if (this->reads.erase(requestId) > 0)
        this->passOnDelayedRead();
    return call;
}

std::shared_ptr<const std::string> ControlGateway::shareDocument(std::string source)
{
    if (std::shared_ptr<const std::string> latest = this->latestDocument.lock(); latest && *latest == source)
        return latest;
    const std::size_t bytes = Core::blockBytes(source.capacity());
    const std::shared_ptr<const std::string> document(
        new std::string(std::move(source)), [budget = this->receiveBudget, bytes](const std::string* text) {
            delete text;
            budget->change(bytes, 0);
        });
    this->receiveBudget->change(0, bytes);
    this->latestDocument = document;
    return document;
}

void ControlGateway::reply(Messages::StateReply reply)
{
    ControlAnswer answer { ControlOutcome::Unavailable, reply.detail };
    auto* source = std::get_if<Messages::RoutingSource>(&reply.body);
    if (reply.refusal == StateRefusal::None && !source)
        answer = { ControlOutcome::Acknowledged, {} };
    else if (reply.refusal == StateRefusal::None && source->version > 0)
        answer = { ControlOutcome::Document, {}, this->shareDocument(std::move(source->source)) };
    else if (reply.refusal == StateRefusal::None)
        answer.text = "there is no document yet";
    else if (reply.refusal == StateRefusal::InvalidChange)
        answer.outcome = ControlOutcome::Invalid;
    else if (reply.refusal == StateRefusal::NotLeader && !reply.detail.empty()) {
        const auto found = this->waiting.find(reply.requestId);
        if (found != this->waiting.end() && !found->second.isForwarded)
            return this->forward(reply.requestId, found->second, reply.detail);
        answer = { ControlOutcome::Moved, reply.detail.substr(0, reply.detail.rfind(':') + 1) + this->port };
    }
    this->answer(reply.requestId, std::move(answer));
}

void ControlGateway::forward(std::uint64_t requestId, Waiting& call, const std::string& leader)
{
    call.isForwarded = true;
    this->leaderClient.setReplicas({ leader });
    if (this->leaderClient.currentReplica() != leader)
        this->leaderClient.leaveReplica();
    this->leaderClient.request(call.body, forwardLimit,
        [this, guard = std::weak_ptr<bool>(this->alive), requestId, leader](Core::Result<Messages::StateReply> result) {
            if (guard.expired())
                return;
            Messages::StateReply reply;
            if (result) {
                reply = std::move(result).value();
            } else {
                reply.refusal = StateRefusal::NotLeader;
                reply.detail = leader;
            }
            reply.requestId = requestId;
            this->reply(std::move(reply));
        });
}

void ControlGateway::answer(std::uint64_t requestId, ControlAnswer answer)
{
    const WaitingCalls::node_type node = this->take(requestId);
    if (node.empty())
        return;
    const Waiting& call = node.mapped();
    this->log.write(LogLevel::Info, call.description,
        { { "path", call.callers.front().request.path }, { "version", call.version },
            { "outcome", std::string(Core::enumName(answer.outcome)) }, { "forwarded", call.isForwarded ? 1 : 0 },
            { "callers", static_cast<std::uint64_t>(call.callers.size()) }, { "detail", answer.text } });
    for (const Caller& caller : call.callers)
        caller.session->respond(this->protocol.encode(answer, caller.request));
}

void ControlGateway::stop()
{
    this->alive.reset();
    this->server.stop();
    this->leaderClient.stop();
    this->waiting.clear();
    this->reads.clear();
    this->delayedRead.reset();
}

}
