#include "celeryswitch/State/StateClient.h"

#include "celeryswitch/Network/MessageCodec.h"
#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <pcg_random.hpp>
#include <random>

namespace celeryswitch::State {

using Core::Duration;
using Messages::StateRefusal;
using Messages::StateReply;
using SteadyClock = std::chrono::steady_clock;

namespace {

// Time for which a replica that refused a connection is not taken for the leader; about an election.
constexpr std::chrono::milliseconds unreachableTime { 500 };
// Time for which one attempt to connect is waited for before the next replica is tried as well.
constexpr std::chrono::milliseconds nextAttemptDelay { 60 };

}

/// State of a client; held by shared pointer so that callbacks can tell whether it still exists.
class StateClient::Implementation : public std::enable_shared_from_this<StateClient::Implementation> {
public:
    /// See StateClient.
    Implementation(boost::asio::io_context& context, Network::PeerTransport& transport, StateClientSettings settings)
        : context(context)
        , transport(transport)
        , settings(std::move(settings))
        , random(this->settings.seed)
        , reconnectTimer(context)
        , attemptTimer(context)
    {
        if (!this->settings.replicas.empty())
            this->replica
                = this->settings.replicas[this->random(static_cast<std::uint32_t>(this->settings.replicas.size()))];
    }

    /// See StateClient.
    void request(Body body, Duration timeout, Handler handler)
    {
        if (this->isStopped || this->settings.replicas.empty()) {
            const StateClientError code = this->isStopped ? StateClientError::Stopped : StateClientError::NoReplica;
            boost::asio::post(this->context, [handler = std::move(handler), code] { handler(Core::Error(code, "")); });
            return;
        }
        const std::uint64_t requestId = ++this->lastRequestId;
        Pending& entry = this->pending.emplace(requestId, Pending(this->context, std::move(body), std::move(handler)))
                             .first->second;
        entry.deadline = SteadyClock::now() + timeout;
        // Sending may end the request, so it happens after the caller has returned.
        boost::asio::post(this->context, [weak = this->weak_from_this(), requestId] {
            if (const auto self = weak.lock())
                self->sendRequest(requestId);
        });
    }

    /// See StateClient.
    void setReplicas(std::vector<std::string> addresses)
    {
        if (addresses.empty())
            return;
        this->settings.replicas = std::move(addresses);
        if (this->replica.empty())
            this->replica = this->settings.replicas.front();
    }

    /// See StateClient.
    void leaveReplica() { this->connectionFailed(); }

    /// See StateClient.
    void stop()
    {
        this->isStopped = true;
        this->reconnectTimer.cancel();
        this->dropConnection();
        std::map<std::uint64_t, Pending> ended = std::move(this->pending);
        this->pending.clear();
        for (auto& [requestId, entry] : ended) {
            entry.timer.cancel();
            boost::asio::post(this->context,
                [handler = std::move(entry.handler)] { handler(Core::Error(StateClientError::Stopped, "")); });
        }
    }

    /// Address of the replica in use.
    std::string replica;
    /// Requests sent again.
    std::uint64_t resent = 0;

private:
    /// A request without a final answer.
    struct Pending {
        Pending(boost::asio::io_context& context, Body body, Handler handler)
            : body(std::move(body))
            , handler(std::move(handler))
            , timer(context)
        {
        }
        Body body;
        Handler handler;
        SteadyClock::time_point deadline;
        boost::asio::steady_timer timer;
        unsigned sendCount = 0;
        std::string lastRefusal;
    };

    // Sends a request on the open connection, or opens one.
    void sendRequest(std::uint64_t requestId)
    {
        const auto found = this->pending.find(requestId);
        if (found == this->pending.end())
            return;
        Pending& entry = found->second;
        if (SteadyClock::now() >= entry.deadline) {
            this->expire(requestId);
            return;
        }
        if (!this->connection) {
            this->setTimer(requestId, entry.deadline);
            this->openConnection();
            return;
        }
        if (entry.sendCount++ > 0)
            ++this->resent;
        this->setTimer(requestId, std::min(entry.deadline, SteadyClock::now() + this->attemptTime(entry.body)));
        if (!this->connection->send(Network::encodeMessage(Messages::StateRequest { requestId, entry.body })))
            this->connectionFailed();
    }

    // Time to wait for one replica's answer.
    SteadyClock::duration attemptTime(const Body& body) const
    {
        Duration time = this->settings.attemptTimeout;
        if (const auto* watch = std::get_if<Messages::WatchView>(&body))
            time += std::chrono::milliseconds(watch->waitMilliseconds);
        else if (const auto* changes = std::get_if<Messages::WatchChanges>(&body))
            time += std::chrono::milliseconds(changes->watch.waitMilliseconds);
        // A replacement is answered once the new replica has caught up.
        if (std::holds_alternative<Messages::ReplaceReplica>(body))
            time += std::chrono::seconds(10);
        return std::chrono::duration_cast<SteadyClock::duration>(time);
    }

    // Calls `attemptEnded` for a request at a time, unless its timer is set anew.
    void setTimer(std::uint64_t requestId, SteadyClock::time_point time)
    {
        Pending& entry = this->pending.at(requestId);
        entry.timer.expires_at(time);
        entry.timer.async_wait([weak = this->weak_from_this(), requestId](const boost::system::error_code& error) {
            if (const auto self = weak.lock(); self && !error)
                self->attemptEnded(requestId);
        });
    }

    // A request's time at a replica is over: ends it, or tries the next replica.
    void attemptEnded(std::uint64_t requestId)
    {
        const auto found = this->pending.find(requestId);
        if (found == this->pending.end())
            return;
        if (SteadyClock::now() >= found->second.deadline)
            this->expire(requestId);
        else {
            // The deadline stays watched while no replica can be reached.
            this->setTimer(requestId, found->second.deadline);
            if (this->connection)
                this->connectionFailed();
        }
    }

    // Ends a request whose timeout is over.
    void expire(std::uint64_t requestId)
    {
        auto node = this->pending.extract(requestId);
        std::string detail = "replica " + this->replica;
        if (!node.mapped().lastRefusal.empty())
            detail += ", last refusal " + node.mapped().lastRefusal;
        node.mapped().handler(Core::Error(StateClientError::TimedOut, std::move(detail)));
    }

    // Connects to the current replica unless that is under way. A replica that does not answer soon is not waited for:
    // the next one is tried beside it, and the first connection is used.
    void openConnection()
    {
        if (this->isConnecting || this->isReconnectPlanned || this->isStopped)
            return;
        this->isConnecting = true;
        this->attempts = 0;
        this->failedAttempts = 0;
        this->attempt();
    }

    // Begins one more attempt to connect.
    void attempt()
    {
        ++this->attempts;
        this->transport.connect(this->replica,
            [weak = this->weak_from_this(), generation = this->generation, address = this->replica](
                Core::Result<Network::PeerConnectionPointer> result) {
                const auto self = weak.lock();
                if (!self || self->isStopped || generation != self->generation || self->connection) {
                    if (result)
                        result.value()->close();
                    return;
                }
                self->attemptDone(address, std::move(result));
            });
        if (this->attempts >= this->settings.replicas.size())
            return;
        this->attemptTimer.expires_after(nextAttemptDelay);
        this->attemptTimer.async_wait(
            [weak = this->weak_from_this(), generation = this->generation](const boost::system::error_code& error) {
                const auto self = weak.lock();
                if (self && !error && generation == self->generation && self->isConnecting && !self->connection) {
                    self->turnToNextReplica();
                    self->attempt();
                }
            });
    }

    void attemptDone(const std::string& address, Core::Result<Network::PeerConnectionPointer> result)
    {
        if (result) {
            this->isConnecting = false;
            this->attemptTimer.cancel();
            this->replica = address;
            this->connected(std::move(result).value());
            return;
        }
        this->unreachable = address;
        this->unreachableUntil = SteadyClock::now() + unreachableTime;
        if (++this->failedAttempts >= this->attempts)
            this->connectionFailed();
    }

    // Identifies itself on a new connection and sends every waiting request.
    void connected(Network::PeerConnectionPointer opened)
    {
        this->connection = std::move(opened);
        const std::uint64_t current = this->generation;
        this->connection->start(
            [weak = this->weak_from_this(), current](std::string payload) {
                if (const auto self = weak.lock(); self && self->generation == current)
                    self->frameReceived(payload);
            },
            [weak = this->weak_from_this(), current](const std::string&) {
                if (const auto self = weak.lock(); self && self->generation == current)
                    self->connectionFailed();
            });
        this->connection->send(Network::encodeMessage(Messages::PeerMessage(this->settings.identity)));
        std::vector<std::uint64_t> requestIds;
        for (const auto& [requestId, entry] : this->pending)
            requestIds.push_back(requestId);
        for (std::uint64_t requestId : requestIds) {
            if (this->connection && this->generation == current)
                this->sendRequest(requestId);
        }
    }

    // Takes an answer: final ones end their request, the others are tried again.
    void frameReceived(const std::string& payload)
    {
        Core::Result<StateReply> decoded = Network::decodeMessage<StateReply>(payload);
        if (!decoded) {
            this->connectionFailed();
            return;
        }
        StateReply& reply = decoded.value();
        const auto found = this->pending.find(reply.requestId);
        if (found == this->pending.end())
            return;
        switch (reply.refusal) {
        case StateRefusal::NotLeader:
            found->second.lastRefusal = Core::enumName(reply.refusal);
            this->followLeader(reply.detail);
            return;
        case StateRefusal::NoQuorum:
        case StateRefusal::Busy:
        case StateRefusal::StorageFailed:
            found->second.lastRefusal = std::string(Core::enumName(reply.refusal)) + " " + reply.detail;
            this->connectionFailed();
            return;
        default:
            break;
        }
        this->failures = 0;
        auto node = this->pending.extract(found);
        node.mapped().timer.cancel();
        node.mapped().handler(std::move(reply));
    }

    // Moves to the leader that a replica named, or to the next replica when it knows none.
    void followLeader(const std::string& leader)
    {
        // Until the others have noticed the loss of a leader they go on naming it.
        const bool isUnreachable = leader == this->unreachable && SteadyClock::now() < this->unreachableUntil;
        // Two replicas that name each other must not be asked in a tight loop.
        if (leader.empty() || isUnreachable || leader == this->replica || ++this->failures > 3) {
            this->connectionFailed();
            return;
        }
        this->dropConnection();
        this->replica = leader;
        this->openConnection();
    }

    // Gives up the connection and plans one to the next replica.
    void connectionFailed()
    {
        this->dropConnection();
        this->turnToNextReplica();
        if (this->isReconnectPlanned || this->isStopped || this->pending.empty())
            return;
        this->isReconnectPlanned = true;
        this->reconnectTimer.expires_after(std::chrono::duration_cast<SteadyClock::duration>(this->nextBackoff()));
        this->reconnectTimer.async_wait([weak = this->weak_from_this()](const boost::system::error_code& error) {
            if (const auto self = weak.lock(); self && !error) {
                self->isReconnectPlanned = false;
                self->openConnection();
            }
        });
    }

    void turnToNextReplica()
    {
        const auto& replicas = this->settings.replicas;
        const auto current = std::find(replicas.begin(), replicas.end(), this->replica);
        this->replica = current == replicas.end() || std::next(current) == replicas.end() ? replicas.front()
                                                                                          : *std::next(current);
    }

    // Full jitter over an exponentially growing bound.
    Duration nextBackoff()
    {
        const unsigned doublings = std::min(this->failures++, 10U);
        const Duration bound
            = std::min(this->settings.minimumBackoff * (1U << doublings), this->settings.maximumBackoff);
        return Duration(std::uniform_int_distribution<std::int64_t>(
            this->settings.minimumBackoff.count() / 2, bound.count())(this->random));
    }

    // Closes the connection and ignores whatever still arrives from it.
    void dropConnection()
    {
        ++this->generation;
        this->isConnecting = false;
        this->attemptTimer.cancel();
        if (this->connection)
            this->connection->close();
        this->connection.reset();
    }

    boost::asio::io_context& context;
    Network::PeerTransport& transport;
    StateClientSettings settings;
    pcg32 random;
    Network::PeerConnectionPointer connection;
    /// Rises with each connection; tells callbacks of an older one.
    std::uint64_t generation = 0;
    /// Replica that refused a connection, and until when it is not followed as a leader.
    std::string unreachable;
    SteadyClock::time_point unreachableUntil;
    bool isConnecting = false;
    bool isReconnectPlanned = false;
    bool isStopped = false;
    /// Attempts without a final answer since the last one.
    unsigned failures = 0;
    boost::asio::steady_timer reconnectTimer;
    /// Begins the next attempt beside one that takes long.
    boost::asio::steady_timer attemptTimer;
    std::size_t attempts = 0;
    std::size_t failedAttempts = 0;
    std::uint64_t lastRequestId = 0;
    std::map<std::uint64_t, Pending> pending;
};

StateClient::StateClient(
    boost::asio::io_context& context, Network::PeerTransport& transport, StateClientSettings settings)
    : implementation(std::make_shared<Implementation>(context, transport, std::move(settings)))
{
}

StateClient::~StateClient() { this->stop(); }

void StateClient::request(Body body, Core::Duration timeout, Handler handler)
{
    this->implementation->request(std::move(body), timeout, std::move(handler));
}

void StateClient::setReplicas(std::vector<std::string> addresses)
{
    this->implementation->setReplicas(std::move(addresses));
}

void StateClient::leaveReplica() { this->implementation->leaveReplica(); }

void StateClient::stop() { this->implementation->stop(); }

const std::string& StateClient::currentReplica() const { return this->implementation->replica; }

std::uint64_t StateClient::resentCount() const { return this->implementation->resent; }

}
