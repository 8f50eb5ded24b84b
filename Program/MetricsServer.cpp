#include "Program/MetricsServer.h"

namespace celeryswitch::Program {

namespace {

constexpr std::size_t connectionsLimit = 16;
constexpr Http::HttpLimits limits { 4096, 16 * 1024, std::chrono::seconds(3), std::chrono::seconds(10),
    std::chrono::seconds(30) };

}

MetricsServer::MetricsServer(boost::asio::io_context& context, Metrics::MetricRegistry& registry,
    std::function<void(Metrics::MetricRegistry&)> collect)
    : registry(registry)
    , collect(std::move(collect))
    , server(context, limits, connectionsLimit,
          { [this](const Http::HttpSession::Pointer& session, const Http::HttpRequest& request) {
               if (request.method != "GET" || request.path != "/metrics")
                   return session->respond({ 404, {}, "" });
               this->collect(this->registry);
               session->respond(
                   { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, this->registry.exposition() });
           },
              [](std::uint16_t status, const std::string& reason) {
                  return Http::HttpResponse { status, {}, reason };
              },
              {} })
{
}

}
