#pragma once

#include "celeryswitch/Http/HttpMessage.h"
#include "celeryswitch/Scheduling/JobTypes.h"
#include <optional>
#include <string_view>

namespace celeryswitch::Scheduling {

/// Converts between callers' HTTP messages and the scheduler's requests and answers; makes no scheduling decisions.
class CallerProtocol {
public:
    virtual ~CallerProtocol() = default;
    /// Host name by which the routing document selects the queue of a request.
    virtual std::string host(const Http::HttpRequest& request) const = 0;
    /// Decodes a request; `rest` is its path after the queue's prefix. A request that can't be decoded gives
    /// InvalidRequest.
    virtual CallerRequest decode(const Http::HttpRequest& request, std::string_view rest) const = 0;
    /// Id of the job that a request submits, without reading its body; none for other requests.
    virtual std::optional<StepJobId> submittedJob(const Http::HttpRequest& request, std::string_view rest) const = 0;
    /// Encodes an answer as an HTTP response.
    virtual Http::HttpResponse encode(const CallerAnswer& answer) const = 0;
};

}
