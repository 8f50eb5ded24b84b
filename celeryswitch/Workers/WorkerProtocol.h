#pragma once

#include "celeryswitch/Http/HttpMessage.h"
#include "celeryswitch/Workers/WorkerTypes.h"

namespace celeryswitch::Workers {

/// Announcement of a worker to its sidecar.
struct AnnounceRequest {
    WorkerAnnouncement announcement;
};
/// Deregistration of a worker that shuts down and has no more runs.
struct DeregisterRequest {
    std::string workerId;
    /// Start of the worker, in milliseconds since 1970; std::nullopt if the request did not contain it.
    std::optional<std::int64_t> workerStartedAt;
};
/// A request that can't be decoded; `response` is the reply to it.
struct InvalidRequest {
    std::string problem;
    Http::HttpResponse response;
};

using WorkerRequest = std::variant<AnnounceRequest, DeregisterRequest, InvalidRequest>;

/// Translates between worker calls and the HTTP interface of a worker. Stateless.
class WorkerProtocol {
public:
    virtual ~WorkerProtocol() = default;
    /// Encodes a call to the worker with id `workerId`.
    virtual Http::HttpRequest encode(const WorkerCall& call, const std::string& workerId) const = 0;
    /// Decodes the response to a call.
    virtual CallResult decode(const WorkerCall& call, const Http::HttpResponse& response) const = 0;
    /// Decodes a request that a worker sent.
    virtual WorkerRequest decode(const Http::HttpRequest& request) const = 0;
    /// Response that acknowledges a worker's request.
    virtual Http::HttpResponse acknowledgement() const = 0;
};

}
