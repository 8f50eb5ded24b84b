#include "celeryswitch/Load/FleetProbe.h"

#include "celeryswitch/Http/HttpConnection.h"
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace celeryswitch::Load {

namespace {

constexpr std::chrono::seconds probeTimeout { 5 };

std::optional<std::string> bodyOf(const std::string& address, const std::string& path, const std::string& token)
{
    Http::HttpRequest request { "GET", path, {}, {} };
    if (!token.empty())
        request.headers.set("Authorization", "Bearer " + token);
    Core::Result<Http::HttpResponse> answer = Http::httpCall(address, std::move(request), probeTimeout);
    if (!answer || answer.value().statusCode != 200)
        return std::nullopt;
    return std::move(answer.value().body);
}

}

std::optional<double> metricSum(const std::string& exposition, const std::string& name)
{
    std::optional<double> sum;
    std::istringstream stream(exposition);
    for (std::string line; std::getline(stream, line);) {
        const std::size_t space = line.rfind(' ');
        const bool isSeries = line.compare(0, name.size(), name) == 0 && space != std::string::npos
            && (line[name.size()] == ' ' || line[name.size()] == '{');
        if (isSeries)
            sum = sum.value_or(0) + std::strtod(line.c_str() + space, nullptr);
    }
    return sum;
}

std::optional<double> metricSumOf(
    const std::vector<std::string>& entries, const std::vector<std::string>& names, const std::string& token)
{
    double sum = 0;
    for (const std::string& entry : entries) {
        const std::optional<std::string> exposition = bodyOf(entry, "/metrics", token);
        if (!exposition)
            return std::nullopt;
        for (const std::string& name : names) {
            const std::optional<double> value = metricSum(*exposition, name);
            if (!value)
                return std::nullopt;
            sum += *value;
        }
    }
    return sum;
}

std::optional<std::unordered_map<std::string, std::uint64_t>> startsOf(const std::vector<std::string>& journals)
{
    std::unordered_map<std::string, std::uint64_t> starts;
    for (const std::string& journal : journals) {
        std::ifstream stream(journal);
        if (!stream)
            return std::nullopt;
        for (std::string job, task; stream >> job >> task;)
            ++starts[job + "/" + task];
    }
    return starts;
}

}
