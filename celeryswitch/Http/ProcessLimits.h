#pragma once

#include <cstddef>
#include <cstdint>

namespace celeryswitch::Http {

/// What a process may use. 0 stands for what the settings don't name.
struct ProcessAllowance {
    std::size_t memoryBytes = 0;
    /// File descriptors.
    std::size_t descriptors = 0;
    /// Bytes received and not handled.
    std::size_t receiveBudgetBytes = 0;
    /// Records of open jobs.
    std::size_t jobBudgetBytes = 0;
};

/// Limits of what strangers may take of a process.
struct ProcessLimits {
    /// Bytes received and not handled, of all connections.
    std::size_t receiveBudgetBytes = 0;
    /// Records of open jobs, in bytes.
    std::size_t jobBudgetBytes = 0;
    /// Values that one body is decoded into, in bytes.
    std::size_t valueBytes = 0;
    /// Connections of the main HTTP listener.
    std::size_t connections = 0;
    /// Connections of the readiness check.
    std::size_t readinessConnections = 0;
    /// Connections of each HTTP listener that wait to be accepted.
    std::size_t backlog = 0;
    /// Connections of other processes whose handshake is not done, and of those that wait to be accepted.
    std::size_t handshakes = 0;
};

/// Receive buffer of each accepted connection. The system charges at most twice as much for it.
inline constexpr int receiveBufferBytes = 16 * 1024;
/// Send buffer of each accepted connection, charged in the same way.
inline constexpr int sendBufferBytes = 32 * 1024;

/// Derives the limits: an eighth of the memory for each of the two budgets, a quarter for the values of the body that
/// is being decoded, a half for the receive buffers and the objects of the connections, a sixteenth for those that wait
/// at a listener to be accepted. Three eighths of the descriptors are left for the process's own links, of which
/// handshakes take a third.
ProcessLimits deriveLimits(const ProcessAllowance& allowance, const ProcessLimits& atMost);

/// Memory of the machine, from /proc/meminfo.
std::size_t machineMemoryBytes();

}
