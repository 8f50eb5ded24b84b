#pragma once

#include "celeryswitch/Http/HttpMessage.h"
#include "celeryswitch/Workers/WorkerTypes.h"

namespace celeryswitch::Workers {

/// A request that a worker sent to its sidecar.
struct WorkerAnnounces {
    WorkerAnnouncement announcement;
};
/// A worker ends on purpose and runs nothing any more.
struct WorkerLeaves {
    std::string workerId;
};
/// A request that is none of these; `response` answers it.
struct UnknownAnnouncement {
    std::string problem;
    Http::HttpResponse response;
};

using WorkerRequest = std::variant<WorkerAnnounces, WorkerLeaves, UnknownAnnouncement>;

/// Translates between the orders of this library and the HTTP calls that a worker understands. Decides nothing.
class WorkerProtocol {
public:
    virtual ~WorkerProtocol() = default;
    /// Request that carries an order to the worker with this id.
    virtual Http::HttpRequest encode(const WorkerCall& call, const std::string& workerId) const = 0;
    /// What a response to an order says.
    virtual CallResult decode(const WorkerCall& call, const Http::HttpResponse& response) const = 0;
    /// What a worker's own request says.
    virtual WorkerRequest decode(const Http::HttpRequest& request) const = 0;
    /// Response that acknowledges a worker's request.
    virtual Http::HttpResponse acknowledgement() const = 0;
};

}
