#pragma once

#include <cstddef>
#include <string>
#include <sys/types.h>

namespace celeryswitch::Soak {

/// Kilobytes that wait in the connections of a loopback "address:port" with any port, received and unread or sent and
/// not taken.
std::size_t queuedKilobytes(const std::string& address);

/// Kilobytes of a line of /proc/PID/status, for example "VmRSS"; 0 when there is none.
std::size_t statusKilobytes(pid_t process, const std::string& key);

/// Descriptors that a process has open.
std::size_t openDescriptors(pid_t process);

}
