#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace celeryswitch::Load {

/// Sum of a metric's series in the Prometheus text exposition format; nothing when there is none.
std::optional<double> metricSum(const std::string& exposition, const std::string& name);
/// Sum of metrics over entries, read from GET /metrics; nothing when an entry does not answer.
std::optional<double> metricSumOf(
    const std::vector<std::string>& entries, const std::vector<std::string>& names, const std::string& token);
/// Starts by echo text over fake endpoints, read from GET /starts; nothing when an endpoint does not answer.
std::optional<std::unordered_map<std::string, std::uint64_t>> startsOf(const std::vector<std::string>& endpoints);

}
