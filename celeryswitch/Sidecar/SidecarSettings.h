#pragma once

#include "celeryswitch/Core/Identifiers.h"
#include "celeryswitch/Network/PeerTransport.h"
#include <string>
#include <vector>

namespace celeryswitch::Sidecar {

/// Settings of a sidecar process; constant after its start.
struct SidecarSettings {
    /// Name of this sidecar and its endpoint, unique in the fleet.
    Core::InstanceId instanceId;
    std::string dataCentre;
    std::string rack;
    /// Service of the endpoint.
    std::string service;
    /// Maximum number of concurrent tasks at the endpoint, 1 to 1024.
    std::uint32_t slots = 8;
    /// Maximum number of connections to the endpoint, at least `slots`.
    std::uint32_t connections = 64;
    /// "address:port" of the endpoint.
    std::string endpointAddress;
    /// "address:port" to listen on for entries; port 0 is chosen by the system.
    std::string peerAddress = "127.0.0.1:0";
    /// "address:port" of the UDP socket; port 0 is chosen by the system.
    std::string datagramAddress = "127.0.0.1:0";
    /// "address:port" of each state replica.
    std::vector<std::string> stateAddresses;
    Network::AuthenticationKeys authentication;
};

}
