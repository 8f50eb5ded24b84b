#pragma once

#include "celeryswitch/Http/HttpMessage.h"
#include "celeryswitch/Workers/WorkerTypes.h"
#include <optional>
#include <string>

namespace celeryswitch::Soak {

/// The worker's side of the platform's calls, as the platform's pages describe it: what a sidecar orders, read.
/// `expectedWorker` receives the life that the order is meant for; empty for any. Nothing when it can't be read.
std::optional<Workers::WorkerCall> readOrder(const Http::HttpRequest& request, std::string& expectedWorker);
/// The response to an order; `bornAt` is the worker's start, which only lists of runs state.
Http::HttpResponse writeResult(const Workers::CallResult& result, std::int64_t bornAt, bool isList);
/// The request by which a worker announces itself.
Http::HttpRequest writeHeartbeat(const Workers::WorkerAnnouncement& announcement);
/// The request by which a caller hands in a job of alike tasks; `prefix` is its queue's. An empty `requiredLabel`
/// stands for none.
Http::HttpRequest writeJob(const std::string& host, const std::string& prefix, const std::string& id,
    std::uint32_t tasks, const Messages::Room& need, std::uint32_t declaredMilliseconds,
    const std::string& requiredLabel, std::int64_t patienceMilliseconds, std::size_t paddingBytes = 0);
/// What varies between routing documents.
struct DocumentContent {
    std::uint32_t queues = 0;
    std::uint32_t timeoutMilliseconds = 1500;
    std::size_t bodyBytes = 262'144;
    bool hasAdmissionControl = true;
};
/// A whole routing document under a version.
std::string writeDocument(std::uint64_t version, const DocumentContent& content);
/// Host of queue `number`, and its path prefix.
std::string queueHost(std::uint32_t number);
std::string queuePrefix(std::uint32_t number);
/// Version of a routing document; 0 when it can't be read.
std::uint64_t readVersion(const std::string& document);

}
