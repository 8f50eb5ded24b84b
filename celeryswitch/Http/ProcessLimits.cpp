#include "celeryswitch/Http/ProcessLimits.h"

#include <algorithm>
#include <fstream>
#include <string>

namespace celeryswitch::Http {

namespace {

// Descriptors for files that are no sockets, pipes or data files.
constexpr std::size_t reservedDescriptors = 200;
// Receive buffer, session, parser and read buffer.
constexpr std::size_t connectionBytes = 2 * receiveBufferBytes + 8 * 1024;
// First receive window of a connection whose handshake is not done.
constexpr std::size_t handshakeBytes = 128 * 1024;
constexpr std::size_t fewestConnections = 16;
constexpr std::size_t fewestHandshakes = 16;
constexpr std::size_t smallestBacklog = 64;
constexpr std::size_t largestBacklog = 4096;
constexpr std::size_t assumedMemoryBytes = 256 * 1024 * 1024;

}

ProcessLimits deriveLimits(const ProcessAllowance& allowance, const ProcessLimits& atMost)
{
    const std::size_t memory = allowance.memoryBytes > 0 ? allowance.memoryBytes : machineMemoryBytes();
    ProcessLimits limits = atMost;
    limits.receiveBudgetBytes = allowance.receiveBudgetBytes > 0 ? allowance.receiveBudgetBytes : memory / 8;
    limits.jobBudgetBytes = allowance.jobBudgetBytes > 0 ? allowance.jobBudgetBytes : memory / 8;
    limits.valueBytes = memory / 4;
    limits.connections = std::min(limits.connections, memory / 2 / connectionBytes);
    limits.handshakes = std::min(limits.handshakes, memory / 8 / handshakeBytes);
    limits.backlog = std::clamp(memory / 16 / (2 * receiveBufferBytes), smallestBacklog, largestBacklog);
    if (allowance.descriptors > 0) {
        const std::size_t usable = allowance.descriptors - std::min(allowance.descriptors, reservedDescriptors);
        limits.connections = std::min(limits.connections, usable * 5 / 8);
        limits.readinessConnections = std::min(limits.readinessConnections, usable / 16);
        limits.handshakes = std::min(limits.handshakes, usable / 8);
    }
    limits.connections = std::max(limits.connections, fewestConnections);
    limits.readinessConnections = std::max(limits.readinessConnections, std::size_t { 4 });
    limits.handshakes = std::max(limits.handshakes, fewestHandshakes);
    return limits;
}

std::size_t machineMemoryBytes()
{
    std::ifstream file("/proc/meminfo");
    std::string key;
    std::size_t kilobytes = 0;
    // The first line is "MemTotal: N kB".
    return file >> key >> kilobytes && key == "MemTotal:" ? kilobytes * 1024 : assumedMemoryBytes;
}

}
