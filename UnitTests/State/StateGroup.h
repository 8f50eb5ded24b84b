#pragma once

#include "celeryswitch/Configuration/AuditTrail.h"
#include "celeryswitch/Scenario/FreeAddresses.h"
#include "celeryswitch/State/StateClient.h"
#include "celeryswitch/State/StateProcess.h"
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <optional>
#include <thread>

namespace celeryswitch::State {

/// State replicas in this process, each with a data folder below a temporary one, for tests.
class StateGroup {
public:
    explicit StateGroup(std::size_t size)
    {
        char pattern[] = "/tmp/celeryswitch-state-XXXXXX";
        this->folder = ::mkdtemp(pattern);
        this->keys.keys[0] = "a secret of the state test";
        for (std::size_t index = 0; index < size; ++index)
            this->addresses["state-" + std::to_string(index)] = freeAddress();
        for (const auto& [name, address] : this->addresses)
            this->start(name);
    }
    ~StateGroup()
    {
        this->replicas.clear();
        std::filesystem::remove_all(this->folder);
    }
    StateGroup(const StateGroup&) = delete;
    StateGroup& operator=(const StateGroup&) = delete;

    /// An address whose port the system has just chosen and that no other process uses.
    static std::string freeAddress() { return Scenario::freeAddresses(1).front(); }
    /// Starts a replica on its data folder. A name that is not in the first group joins it.
    std::string start(const std::string& name)
    {
        StateSettings settings;
        settings.replicaName = name;
        settings.dataCentre = "recife";
        settings.rack = "r1";
        settings.dataFolder = this->folder + "/" + name;
        settings.initialReplicas = this->addresses;
        settings.authenticationKeys = this->keys;
        settings.snapshotThreshold = this->snapshotThreshold;
        settings.peerAddress = this->addresses.count(name) > 0 ? this->addresses.at(name) : freeAddress();
        auto started = StateProcess::Builder().setSettings(settings).setLog(this->log).start();
        if (!started)
            return started.error().message();
        this->replicas[name] = std::move(started).value();
        return {};
    }
    /// Stops a replica; what it did not sync is lost.
    void stop(const std::string& name) { this->replicas.erase(name); }
    /// Deletes a stopped replica's data folder.
    void loseDisk(const std::string& name) { std::filesystem::remove_all(this->folder + "/" + name); }
    /// Waits until some replica leads; returns its name.
    std::string waitForLeader() const
    {
        std::string leader;
        waitUntil([&] {
            for (const auto& [name, replica] : this->replicas) {
                if (replica->metrics().role == Consensus::ReplicaRole::Leader)
                    leader = name;
            }
            return !leader.empty();
        });
        return leader;
    }
    /// Waits for a condition for at most 20 s; returns whether it came true.
    template <typename F> static bool waitUntil(F&& condition)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!condition()) {
            if (std::chrono::steady_clock::now() > end)
                return false;
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
        return true;
    }

    std::string folder;
    std::map<std::string, std::string> addresses;
    Network::AuthenticationKeys keys;
    std::uint64_t snapshotThreshold = 1000;
    StateProcess::LogHook log;
    std::map<std::string, std::unique_ptr<StateProcess>> replicas;
};

/// A state client with a thread of its own, whose requests block.
class BlockingClient {
public:
    explicit BlockingClient(const StateGroup& group)
        : work(boost::asio::make_work_guard(this->context))
        , transport(this->context, group.keys)
        , client(this->context, this->transport, settings(group))
        , thread([this] { this->context.run(); })
    {
    }
    ~BlockingClient()
    {
        boost::asio::post(this->context, [this] {
            this->client.stop();
            this->work.reset();
            this->context.stop();
        });
        this->thread.join();
    }
    BlockingClient(const BlockingClient&) = delete;
    BlockingClient& operator=(const BlockingClient&) = delete;

    /// Sends a request and waits for its end.
    Core::Result<Messages::StateReply> request(
        StateClient::Body body, Core::Duration timeout = std::chrono::seconds(15))
    {
        std::promise<Core::Result<Messages::StateReply>> promise;
        std::future<Core::Result<Messages::StateReply>> future = promise.get_future();
        boost::asio::post(this->context, [&, body = std::move(body)]() mutable {
            this->client.request(std::move(body), timeout,
                [&](Core::Result<Messages::StateReply> result) { promise.set_value(std::move(result)); });
        });
        return future.get();
    }
    /// Proposes to set the default of shareWeight; returns the answer.
    Core::Result<Messages::StateReply> change(const std::string& changeId, std::uint64_t expectedVersion, int value)
    {
        return this->request(Messages::ProposeChange { changeId, "ana", "test", expectedVersion,
            R"([{"operation":"setDefault","key":"shareWeight","value":)" + std::to_string(value) + "}]" });
    }

private:
    static StateClientSettings settings(const StateGroup& group)
    {
        StateClientSettings result;
        result.identity.instanceId = "test";
        for (const auto& [name, address] : group.addresses)
            result.replicas.push_back(address);
        return result;
    }

    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    Network::PeerTransport transport;
    StateClient client;
    std::thread thread;
};

}
