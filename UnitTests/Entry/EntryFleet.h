#pragma once

#include "../Sidecar/TestEndpoint.h"
#include "../State/StateGroup.h"
#include "celeryswitch/Entry/EntryProcess.h"
#include "celeryswitch/Http/HttpConnection.h"
#include "celeryswitch/Sidecar/SidecarProcess.h"
#include <boost/json.hpp>
#include <catch2/catch.hpp>

namespace celeryswitch::Entry {

/// Test fleet within one process: one state replica, one endpoint with its sidecar, and any number of entries.
class EntryFleet {
public:
    explicit EntryFleet(std::size_t entryCount)
        : state(1)
    {
        this->state.waitForLeader();
        Sidecar::SidecarSettings settings;
        settings.instanceId = "sidecar-1";
        settings.dataCentre = "recife";
        settings.service = "ordering";
        settings.endpointAddress = this->endpoint.address();
        settings.stateAddresses = this->stateAddresses();
        settings.authentication = this->state.keys;
        this->sidecar = std::move(Sidecar::SidecarProcess::Builder().setSettings(settings).start()).value();
        for (std::size_t index = 0; index < entryCount; ++index)
            this->addEntry({});
    }

    /// Starts an entry and waits until it is ready and connected to the sidecar.
    EntryProcess& addEntry(std::vector<AccessToken> tokens)
    {
        EntrySettings settings;
        settings.instanceId = "entry-" + std::to_string(this->entries.size());
        settings.dataCentre = "recife";
        settings.httpAddress = settings.peerAddress = settings.datagramAddress = "127.0.0.1:0";
        settings.stateAddresses = this->stateAddresses();
        settings.authenticationKeys = this->state.keys;
        settings.tokens = std::move(tokens);
        settings.bodyBytesLimit = 1024 * 1024;
        this->entries.push_back(std::move(EntryProcess::Builder().setSettings(settings).start()).value());
        EntryProcess& entry = *this->entries.back();
        REQUIRE(State::StateGroup::waitUntil([&] {
            const EntrySnapshot snapshot = entry.snapshot();
            return snapshot.isReady && snapshot.connectedSidecars == 1;
        }));
        return entry;
    }
    std::vector<std::string> stateAddresses() const
    {
        std::vector<std::string> addresses;
        for (const auto& [name, address] : this->state.addresses)
            addresses.push_back(address);
        return addresses;
    }
    /// JSON body of a submission with one task per payload.
    static std::string makeSubmission(const std::string& key, const std::vector<std::string>& payloads)
    {
        boost::json::array tasks;
        for (const std::string& payload : payloads)
            tasks.push_back({ { "id", "t" + std::to_string(tasks.size()) }, { "payload", payload } });
        return boost::json::serialize(boost::json::object {
            { "team", "sales" },
            { "caller", "till 1" },
            { "idempotencyKey", key },
            { "createdAt", Core::toUnixMilliseconds(std::chrono::system_clock::now()) },
            { "service", "ordering" },
            { "kind", "quote" },
            { "tasks", tasks },
        });
    }
    /// Sends an HTTP request to an entry and waits for the response.
    static Http::HttpResponse sendRequest(const EntryProcess& entry, const std::string& method, const std::string& path,
        const std::string& body = {}, Http::HttpHeaders headers = {})
    {
        boost::asio::io_context context;
        Http::HttpConnection connection(context, entry.httpAddress());
        std::optional<Core::Result<Http::HttpResponse>> answer;
        connection.request({ method, path, std::move(headers), body }, std::chrono::seconds(20),
            [&](Core::Result<Http::HttpResponse> result) { answer = std::move(result); });
        while (!answer && context.run_one() > 0) { }
        REQUIRE(answer);
        REQUIRE(*answer);
        return answer->value();
    }
    static boost::json::object parse(const Http::HttpResponse& answer)
    {
        return boost::json::parse(answer.body).as_object();
    }

    State::StateGroup state;
    Sidecar::TestEndpoint endpoint;
    std::unique_ptr<Sidecar::SidecarProcess> sidecar;
    std::vector<std::unique_ptr<EntryProcess>> entries;
};

}
