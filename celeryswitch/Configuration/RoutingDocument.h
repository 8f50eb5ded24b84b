#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace celeryswitch::Configuration {

/// A queue of jobs: which requests belong to it and how its jobs run.
struct Queue {
    std::string name;
    /// Requests belong to the queue with this host whose prefix is the longest that their path begins with.
    std::string host;
    std::string pathPrefix;
    /// Service whose workers run the queue's tasks.
    std::string service;
    /// Longest time that a caller waits, in milliseconds; 1 or more.
    std::uint32_t timeoutMilliseconds = 0;
    /// Added to `stretch` times the work of a job, the time in which it should be answered, in milliseconds.
    std::uint32_t targetMilliseconds = 0;
    double stretch = 1;
    /// 0 goes first.
    std::uint32_t priority = 0;
    /// Failed runs of a task after which its job has failed; 1 or more.
    std::uint32_t maximumAttempts = 1;

    friend bool operator==(const Queue&, const Queue&) = default;
    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->name, this->host, this->pathPrefix, this->service, this->timeoutMilliseconds,
            this->targetMilliseconds, this->stretch, this->priority, this->maximumAttempts);
    }
};

/// A service that queues name.
struct RoutedService {
    std::string name;
    std::string healthPath;
    /// Whether the service's workers refuse what does not fit.
    bool hasAdmissionControl = false;
    /// Whether the service's workers are off until they are needed.
    bool isStandby = false;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->name, this->healthPath, this->hasAdmissionControl, this->isStandby);
    }
};

/// Limits of callers' requests.
struct RequestLimits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint32_t bodyBytes = 256 * 1024;
    std::uint32_t headerMilliseconds = 3000;
    std::uint32_t idleMilliseconds = 15'000;

    friend bool operator==(const RequestLimits&, const RequestLimits&) = default;
    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->headerBytes, this->bodyBytes, this->headerMilliseconds, this->idleMilliseconds);
    }
};

/// Whole document of queues and services. Operators replace it as a whole; the highest version is in force.
struct RoutingDocument {
    /// 0 before the first document.
    std::uint64_t version = 0;
    std::vector<Queue> queues;
    std::vector<RoutedService> services;
    RequestLimits limits;

    /// The queue that a request belongs to; null when there is none.
    const Queue* find(std::string_view host, std::string_view path) const;
    /// What makes the document unusable, naming the part; empty when nothing does.
    std::string problem() const;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->version, this->queues, this->services, this->limits);
    }
};

}
