#pragma once

#include "celeryswitch/Http/HttpMessage.h"
#include "celeryswitch/Scheduling/JobTypes.h"
#include <string_view>

namespace celeryswitch::Scheduling {

/// Translates between callers' HTTP requests and the requests of this library. Decides nothing.
class CallerProtocol {
public:
    virtual ~CallerProtocol() = default;
    /// Host and path that say which queue a request belongs to.
    virtual std::string host(const Http::HttpRequest& request) const = 0;
    /// What a request asks; `rest` is its path after the queue's prefix.
    virtual CallerRequest decode(const Http::HttpRequest& request, std::string_view rest) const = 0;
    /// Response that carries an answer.
    virtual Http::HttpResponse encode(const CallerAnswer& answer) const = 0;
};

}
