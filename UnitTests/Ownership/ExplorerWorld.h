#pragma once

#include "ExplorerCallers.h"
#include "ExplorerNetwork.h"
#include "ExplorerStateService.h"
#include "celeryswitch/Entry/EntryCore.h"
#include "celeryswitch/Sidecar/SidecarCore.h"

namespace celeryswitch::Explorer {

/// One schedule: real entry and sidecar cores, a fake state service, endpoints, callers, and faults, all drawn from a
/// seed. Throws Violation when a promise is broken.
class World {
public:
    World(std::uint64_t seed, const Mechanisms& mechanisms, Coverage& coverage);

    /// Runs the schedule to its end.
    void run();

private:
    struct EntryNode {
        std::unique_ptr<Entry::EntryCore> core;
        std::uint32_t life = 0;
        NodeClock clock;
        Core::Duration frozenUntil {};
        // Events that arrived while the process was frozen.
        std::vector<Entry::EntryEvent> inbox;
        bool isPollPlanned = false;
        Core::Duration cutFromStateUntil {};
    };
    struct SidecarNode {
        std::unique_ptr<Sidecar::SidecarCore> core;
        std::uint32_t life = 0;
        NodeClock clock;
        bool isPollPlanned = false;
    };

    bool isEntry(std::uint32_t process) const { return process < this->entries.size(); }
    SidecarNode& sidecarOf(std::uint32_t process) { return this->sidecars[process - this->entries.size()]; }
    bool isAlive(Place place) const;
    std::uint32_t lifeOf(std::uint32_t process) const;
    static Core::Incarnation incarnationOf(Place place) { return (place.process + 1) * 1000 + place.life; }

    void startEntry(std::uint32_t process);
    void startSidecar(std::uint32_t process);
    void registerSidecar(Place place);
    void stopProcess(std::uint32_t process, Core::Duration pause);
    void toEntry(Place place, Entry::EntryEvent event);
    void planPoll(Place place, Core::Duration delay);
    void pollEntry(Place place);
    void performEntry(Place place, std::vector<Entry::EntryAction> actions);
    void performEntry(Place place, Entry::EntryAction& action);
    void freeze(std::uint32_t process, Core::Duration span);
    void thaw(Place place);
    void pollSidecar(Place place);
    void performSidecar(Place place, Sidecar::Action& action);
    void startCall(Place place, const Sidecar::StartCall& call);
    void datagram(std::uint32_t from, std::uint32_t to, std::function<void()> deliver);
    void tick(std::uint32_t process);
    void planFaults(Core::Duration until);
    void fault();
    void isolate(std::uint32_t entry, std::uint32_t sidecar);

    Loop loop;
    Mechanisms mechanisms;
    Coverage& coverage;
    std::vector<EntryNode> entries;
    std::vector<SidecarNode> sidecars;
    Network network;
    StateService state;
    Callers callers;
    bool isLong = false;
    // Chance in a thousand that an entry freezes between a decision and its effects.
    std::uint32_t freezePerMille = 0;
};

}
