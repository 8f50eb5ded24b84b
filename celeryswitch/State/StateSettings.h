#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Http/ProcessLimits.h"
#include "celeryswitch/Network/PeerTransport.h"
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace celeryswitch::State {

/// Settings of a state replica's process.
struct StateSettings {
    /// Name of the replica, unique among the state replicas.
    std::string replicaName;
    std::string dataCentre;
    std::string rack;
    /// "address:port" of the frame listener; port 0 is chosen by the system and only allowed for a single replica.
    std::string peerAddress;
    /// Folder for everything durable.
    std::string dataFolder;
    /// Replicas of the first group, by name, with their addresses; empty means a single replica. A replica that joins
    /// later lists the others but not itself.
    std::map<std::string, std::string> initialReplicas;
    /// Data centres that operators may evacuate; without any the call is unknown.
    std::set<std::string> evacuableDataCentres;
    /// Whether this is the first start of the whole system, with empty disks. The replicas in `initialReplicas` then
    /// begin as one group without waiting for each other. Must be false at every later start, also after a lost disk.
    bool isFirstStart = false;
    /// Whether the group follows its replicas by itself: one that appears is added, one that is lost is replaced.
    bool isGroupKept = false;
    /// Replicas that may be lost at once; 0 if unknown. Silent voters are removed from a kept group of more than
    /// 2 * toleratedLosses + 1.
    std::uint32_t toleratedLosses = 0;
    /// Longest time for which a replica that departs waits for the group to do without it.
    Core::Duration departureLimit = std::chrono::seconds(3);
    Network::AuthenticationKeys authenticationKeys;
    Http::ProcessAllowance allowance;
    /// Applied records after which a snapshot shortens the log; 1 or more.
    std::uint64_t snapshotThreshold = 1000;
    /// Time to connect to another replica.
    std::chrono::milliseconds connectLimit { 2000 };
    Core::Duration heartbeatInterval = std::chrono::milliseconds(100);
    Core::Duration electionTimeoutMinimum = std::chrono::milliseconds(400);
    Core::Duration electionTimeoutMaximum = std::chrono::milliseconds(800);
};

}
