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
/// Starts by task ("job id/task index"), read from the journals of fake endpoints; nothing when a file can't be read.
std::optional<std::unordered_map<std::string, std::uint64_t>> startsOf(const std::vector<std::string>& journals);

}
