#pragma once

#include "celeryswitch/Configuration/RoutingDocument.h"
#include "celeryswitch/Logging/StructuredLog.h"
#include "celeryswitch/State/StateClient.h"
#include "celeryswitch/State/ViewFreshness.h"
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace celeryswitch::State {

/// Settings of a watcher; fixed for its life.
struct FleetWatcherSettings {
    /// Identity sent to the replicas, and registered by the member when `registration` is set.
    Messages::Hello identity;
    /// Registered and kept registered; nothing for a process that only watches.
    std::optional<Messages::Member> registration;
    /// Whether the fleet is watched.
    bool isWatching = true;
    /// Addresses of state replicas to begin with.
    std::vector<std::string> replicas;
    /// Time between two renewals of the registration.
    Core::Duration renewalInterval = std::chrono::seconds(5);
    /// Age of a replica's contact with its leader above which another replica is asked.
    Core::Duration contactAgeLimit = std::chrono::milliseconds(1000);
    std::uint64_t seed = 1;
};

/// Keeps a process informed of the fleet and of the routing document, and registered as a member. Knows the replicas
/// from their own answers, beside those that it was given. Every function runs on the io_context's thread.
class FleetWatcher {
public:
    /// What a watcher calls.
    struct Handlers {
        /// Members have changed; removed ones are left out.
        std::function<void(const std::vector<Messages::Member>&)> onMembers;
        /// A newer routing document is in force.
        std::function<void(Configuration::RoutingDocument)> onRouting;
        /// The evacuated data centres have changed; may be empty. Known from the views, or, of a process that does not
        /// watch, from the renewals of its registration.
        std::function<void(const std::set<std::string>&)> onEvacuations;
    };

    /// `context`, `transport` and `log` outlive the watcher.
    FleetWatcher(boost::asio::io_context& context, Network::PeerTransport& transport, Logging::StructuredLog& log,
        FleetWatcherSettings settings, Handlers handlers);

    /// Begins to watch and to register.
    void start();
    /// Replaces the addresses that the settings named.
    void setReplicas(std::vector<std::string> addresses);
    /// Changes the registration; nothing happens before `start`.
    void setRegistration(Messages::Member member);
    /// Ends everything.
    void stop();
    /// Version of the newest routing document; 0 before the first.
    std::uint64_t routingVersion() const { return this->knownRoutingVersion; }

private:
    void watch();
    // Returns whether another view may be asked for at once.
    bool changesReceived(const Messages::FleetChanges& changes);
    void membersReceived(const Messages::FleetChanges& changes);
    void routingReceived(const Messages::FleetView& view);
    void evacuationsReceived(const std::vector<std::string>& dataCentres);
    void registerMember();
    void renew();
    void later(boost::asio::steady_timer& timer, Core::Duration span, void (FleetWatcher::*next)());
    void useReplicas();

    Logging::StructuredLog& log;
    FleetWatcherSettings settings;
    Handlers handlers;
    /// Watching and registering must not wait for each other.
    StateClient watchClient;
    StateClient memberClient;
    boost::asio::steady_timer watchTimer;
    boost::asio::steady_timer memberTimer;
    std::vector<std::string> learned;
    ViewFreshness freshness;
    std::map<Core::InstanceId, Messages::Member> members;
    std::set<std::string> evacuated;
    std::uint64_t viewVersion = 0;
    std::uint64_t knownRoutingVersion = 0;
    bool isFresh = true;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}
