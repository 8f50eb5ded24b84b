#include "celeryswitch/Configuration/RoutingDocument.h"

#include <set>
#include <unordered_set>

namespace celeryswitch::Configuration {

const Queue* RoutingDocument::find(std::string_view host, std::string_view path) const
{
    const Queue* best = nullptr;
    for (const Queue& queue : this->queues) {
        if (queue.host == host && path.starts_with(queue.pathPrefix)
            && (!best || queue.pathPrefix.size() > best->pathPrefix.size()))
            best = &queue;
    }
    return best;
}

std::string RoutingDocument::problem() const
{
    std::unordered_set<std::string_view> known;
    for (const RoutedService& service : this->services)
        known.insert(service.name);
    std::set<std::pair<std::string_view, std::string_view>> places;
    for (const Queue& queue : this->queues) {
        if (known.count(queue.service) == 0)
            return "queue " + queue.name + " names the unknown service " + queue.service;
        if (!places.emplace(queue.host, queue.pathPrefix).second)
            return "queue " + queue.name + " has the host and prefix of another queue";
        if (queue.timeoutMilliseconds == 0)
            return "queue " + queue.name + " has a timeout of 0";
    }
    return {};
}

}
