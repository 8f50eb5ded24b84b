#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace celeryswitch::Scenario {

/// Distinct loopback addresses whose ports are free now, for processes that have to know each other's addresses
/// before they start. The host part belongs to the calling process, since the system could give a free port of
/// 127.0.0.1 to another process, or to a connection, before it is bound.
std::vector<std::string> freeAddresses(std::uint32_t count);

}
