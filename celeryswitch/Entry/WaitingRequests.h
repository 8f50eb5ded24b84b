#pragma once

#include "celeryswitch/Entry/EntryContext.h"
#include <map>
#include <unordered_map>

namespace celeryswitch::Entry {

/// Who asked: a caller of this entry, or another entry over a connection.
struct RequestOrigin {
    /// 0 for a caller of this entry.
    ConnectionId connectionId = 0;
    RequestId requestId = 0;
};

/// A request that waits until the owner of its partition is known and ready.
struct ParkedRequest {
    RequestOrigin origin;
    CallerRequest request;
    Core::PartitionId partition = 0;
    Core::SteadyTime deadline {};
};

/// Requests that wait, with their deadlines. Pure.
template <typename Key, typename Request> class WaitingRequests {
public:
    /// Adds a request that waits under a key until its deadline.
    void add(const Key& key, Request request)
    {
        const std::uint64_t number = ++this->lastNumber;
        this->deadlines.emplace(request.deadline, number);
        this->byKey[key].push_back(number);
        this->requests.emplace(number, Entry { key, std::move(request) });
    }
    /// Takes every request that waits under a key, in order of arrival.
    std::vector<Request> take(const Key& key)
    {
        std::vector<Request> taken;
        const auto found = this->byKey.find(key);
        if (found == this->byKey.end())
            return taken;
        const std::vector<std::uint64_t> numbers = std::move(found->second);
        this->byKey.erase(found);
        for (const std::uint64_t number : numbers) {
            const auto request = this->requests.find(number);
            if (request == this->requests.end())
                continue;
            taken.push_back(std::move(request->second.request));
            this->requests.erase(request);
        }
        return taken;
    }
    /// Takes every request whose deadline has passed.
    std::vector<Request> takeOverdue(Core::SteadyTime now)
    {
        std::vector<Request> taken;
        while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
            const std::uint64_t number = this->deadlines.begin()->second;
            this->deadlines.erase(this->deadlines.begin());
            const auto request = this->requests.find(number);
            if (request == this->requests.end())
                continue;
            const auto waiting = this->byKey.find(request->second.key);
            if (waiting != this->byKey.end()) {
                std::erase(waiting->second, number);
                if (waiting->second.empty())
                    this->byKey.erase(waiting);
            }
            taken.push_back(std::move(request->second.request));
            this->requests.erase(request);
        }
        return taken;
    }
    /// Keys under which requests wait.
    std::vector<Key> keys() const
    {
        std::vector<Key> waiting;
        for (const auto& [key, numbers] : this->byKey)
            waiting.push_back(key);
        return waiting;
    }
    /// Number of requests that wait.
    std::size_t size() const { return this->requests.size(); }

private:
    struct Entry {
        Key key;
        Request request;
    };

    std::unordered_map<Key, std::vector<std::uint64_t>> byKey;
    std::unordered_map<std::uint64_t, Entry> requests;
    std::multimap<Core::SteadyTime, std::uint64_t> deadlines;
    std::uint64_t lastNumber = 0;
};

}
