#pragma once

#include "celeryswitch/Network/PeerTransport.h"
#include <chrono>
#include <string>
#include <vector>

namespace celeryswitch::Settings {

/// Settings of the operator's commands.
struct OperatorSettings {
    /// Name that the audit trail shows for changes made with this file.
    std::string author;
    std::vector<std::string> stateAddresses;
    Network::AuthenticationKeys keys;
    /// HTTP addresses of entries, for the commands on jobs; may be empty.
    std::vector<std::string> entryAddresses;
    /// Bearer token for entries; may be empty.
    std::string token;
    /// Time that a command waits for its answer.
    std::chrono::milliseconds requestTimeout { 10'000 };
};

}
