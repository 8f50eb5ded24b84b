#pragma once

#include "celeryswitch/Http/HttpServer.h"
#include "celeryswitch/Metrics/MetricRegistry.h"
#include <functional>

namespace celeryswitch::Program {

/// Serves the metrics of a process as text under GET /metrics. Every function runs on the io_context's thread.
class MetricsServer {
public:
    /// `collect` is called before each answer and sets the gauges; `registry` outlives the server.
    MetricsServer(boost::asio::io_context& context, Metrics::MetricRegistry& registry,
        std::function<void(Metrics::MetricRegistry&)> collect);

    /// Starts listening on "address:port".
    Core::Result<std::string> listen(const std::string& address) { return this->server.listen(address); }

private:
    Metrics::MetricRegistry& registry;
    std::function<void(Metrics::MetricRegistry&)> collect;
    Http::HttpServer server;
};

}
