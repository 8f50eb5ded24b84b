#pragma once

#include "celeryswitch/Entry/EntryContext.h"
#include <map>
#include <unordered_map>

namespace celeryswitch::Entry {

/// Origin of a request: a caller of this entry, or another entry over a connection.
struct RequestOrigin {
    /// 0 if the request came from a caller of this entry.
    ConnectionId connectionId = 0;
    RequestId requestId = 0;
};

/// A request that waits until the owner of its partition is known and can handle it.
struct RequestAwaitingOwner {
    RequestOrigin origin;
    CallerRequest request;
    Core::PartitionId partition = 0;
    Core::SteadyTime deadline {};
};

/// Waiting requests, by key and by deadline. `Request` has a member `deadline`.
template <typename Key, typename Request> class WaitingRequests {
public:
    /// Adds a request under a key.
    void add(const Key& key, Request request)
    {
        const std::uint64_t sequenceNumber = ++this->lastSequenceNumber;
        this->deadlines.emplace(request.deadline, sequenceNumber);
        this->sequenceNumbersByKey[key].push_back(sequenceNumber);
        this->requests.emplace(sequenceNumber, Entry { key, std::move(request) });
    }
    /// Removes and returns all requests of a key in the order in which they were added.
    std::vector<Request> take(const Key& key)
    {
        std::vector<Request> taken;
        const auto found = this->sequenceNumbersByKey.find(key);
        if (found == this->sequenceNumbersByKey.end())
            return taken;
        const std::vector<std::uint64_t> sequenceNumbers = std::move(found->second);
        this->sequenceNumbersByKey.erase(found);
        for (const std::uint64_t sequenceNumber : sequenceNumbers) {
            const auto request = this->requests.find(sequenceNumber);
            if (request == this->requests.end())
                continue;
            taken.push_back(std::move(request->second.request));
            this->requests.erase(request);
        }
        return taken;
    }
    /// Removes and returns all requests whose deadline has passed.
    std::vector<Request> takeExpired(Core::SteadyTime now)
    {
        std::vector<Request> taken;
        while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
            const std::uint64_t sequenceNumber = this->deadlines.begin()->second;
            this->deadlines.erase(this->deadlines.begin());
            const auto request = this->requests.find(sequenceNumber);
            if (request == this->requests.end())
                continue;
            const auto sequenceNumbersOfKey = this->sequenceNumbersByKey.find(request->second.key);
            if (sequenceNumbersOfKey != this->sequenceNumbersByKey.end()) {
                std::erase(sequenceNumbersOfKey->second, sequenceNumber);
                if (sequenceNumbersOfKey->second.empty())
                    this->sequenceNumbersByKey.erase(sequenceNumbersOfKey);
            }
            taken.push_back(std::move(request->second.request));
            this->requests.erase(request);
        }
        return taken;
    }
    /// Keys of all waiting requests.
    std::vector<Key> keys() const
    {
        std::vector<Key> waitingKeys;
        for (const auto& [key, sequenceNumbers] : this->sequenceNumbersByKey)
            waitingKeys.push_back(key);
        return waitingKeys;
    }
    /// Number of waiting requests.
    std::size_t size() const { return this->requests.size(); }

private:
    struct Entry {
        Key key;
        Request request;
    };

    std::unordered_map<Key, std::vector<std::uint64_t>> sequenceNumbersByKey;
    std::unordered_map<std::uint64_t, Entry> requests;
    std::multimap<Core::SteadyTime, std::uint64_t> deadlines;
    std::uint64_t lastSequenceNumber = 0;
};

}
