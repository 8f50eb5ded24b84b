#pragma once

#include "ExplorerLoop.h"
#include "celeryswitch/Membership/LeaseTracker.h"
#include "celeryswitch/Membership/MemberTable.h"
#include <list>

namespace celeryswitch::Explorer {

/// Fake of the state replicas: one log, a leader that may be replaced, the real member, partition and lease tables.
class StateService {
public:
    using Body = decltype(Messages::StateRequest::body);
    using ReplyHandler = std::function<void(std::optional<Messages::StateReply>)>;

    StateService(Loop& loop, const Mechanisms& mechanisms)
        : loop(loop)
        , clock(NodeClock::draw(loop))
        , book(mechanisms.hasTransferWait
                  ? Membership::LeaseTiming {}
                  : Membership::LeaseTiming { std::chrono::seconds(3), {}, -std::chrono::seconds(3) })
    {
        this->book.beginLeadership(this->clock.steady(loop));
    }

    /// Handles a request of a client that retries until the timeout.
    void request(
        const std::function<bool()>& isReachable, const Body& body, Core::Duration timeout, ReplyHandler onReply)
    {
        const Core::Duration deadline = this->loop.now + timeout;
        this->attempt(isReachable, body, deadline, std::move(onReply));
    }
    /// Replaces the leader after an outage; renewals that the old one answered are forgotten.
    void changeLeader(Core::Duration outage)
    {
        this->isUp = false;
        this->loop.after(outage, [this] {
            this->isUp = true;
            this->book.beginLeadership(this->clock.steady(this->loop));
        });
    }

    std::uint64_t transfers = 0;

private:
    struct Watcher {
        std::uint64_t knownVersion = 0;
        ReplyHandler onReply;
    };

    void attempt(
        const std::function<bool()>& isReachable, const Body& body, Core::Duration deadline, ReplyHandler onReply)
    {
        this->loop.after(this->loop.span(1, 40), [=, this] {
            if (this->loop.now > deadline)
                return onReply(std::nullopt);
            if (!this->isUp || !isReachable())
                return this->retry(isReachable, body, deadline, onReply);
            // A client resends a request whose answer was lost, so that it is applied twice.
            if (this->loop.happens(30)) {
                this->apply(body, [](auto) {});
                return this->retry(isReachable, body, deadline, onReply);
            }
            this->apply(body, [=, this](std::optional<Messages::StateReply> reply) {
                this->loop.after(this->loop.span(1, 40), [=, this] {
                    if (!isReachable())
                        this->retry(isReachable, body, deadline, onReply);
                    else
                        onReply(reply);
                });
            });
        });
    }
    void retry(
        const std::function<bool()>& isReachable, const Body& body, Core::Duration deadline, ReplyHandler onReply)
    {
        this->loop.after(this->loop.span(100, 300), [=, this] { this->attempt(isReachable, body, deadline, onReply); });
    }

    void apply(const Body& body, const ReplyHandler& onReply)
    {
        if (const auto* watch = std::get_if<Messages::WatchView>(&body)) {
            if (this->version > watch->knownVersion)
                return onReply(this->view());
            const auto position = this->watchers.insert(this->watchers.end(), { watch->knownVersion, onReply });
            this->loop.after(
                std::chrono::milliseconds(watch->waitMilliseconds), [this, position, id = ++this->lastWatcher] {
                    if (this->liveWatchers.erase(id) == 0)
                        return;
                    const ReplyHandler handler = std::move(position->onReply);
                    this->watchers.erase(position);
                    handler(this->view());
                });
            this->liveWatchers.emplace(this->lastWatcher, position);
            return;
        }
        onReply(this->execute(body));
        this->wakeWatchers();
    }
    void wakeWatchers()
    {
        if (this->version == this->announced)
            return;
        this->announced = this->version;
        std::map<std::uint64_t, std::list<Watcher>::iterator> live = std::exchange(this->liveWatchers, {});
        std::list<Watcher> woken = std::exchange(this->watchers, {});
        for (const Watcher& watcher : woken)
            watcher.onReply(this->view());
    }

    Messages::StateReply execute(const Body& body)
    {
        const std::int64_t wall = this->clock.wall(this->loop);
        if (const auto* registration = std::get_if<Messages::RegisterMember>(&body)) {
            this->version += this->members.registerMember(wall, registration->member) ? 1 : 0;
        } else if (const auto* removal = std::get_if<Messages::RemoveMember>(&body)) {
            this->version += this->members.removeMember(wall, *removal) ? 1 : 0;
        } else if (const auto* renewal = std::get_if<Messages::RenewLeases>(&body)) {
            return this->grant(renewal->owner, renewal->ownerIncarnation);
        } else if (const auto* release = std::get_if<Messages::ReleasePartitions>(&body)) {
            this->version += this->partitions.release(*release) ? 1 : 0;
            return this->grant(release->owner, release->ownerIncarnation);
        } else if (const auto* acquire = std::get_if<Messages::AcquirePartitions>(&body)) {
            Membership::GrantPartitions transfer { acquire->owner, acquire->ownerIncarnation, {} };
            for (const Core::PartitionId partition : acquire->partitions) {
                const Messages::PartitionOwner holder = this->partitions.owner(partition);
                const bool isOwn
                    = holder.owner == acquire->owner && holder.ownerIncarnation == acquire->ownerIncarnation;
                if (!isOwn && this->book.isTransferable(this->clock.steady(this->loop), holder)) {
                    transfer.expectedEpochs[partition] = holder.epoch;
                    this->transfers += holder.epoch > 0 ? 1 : 0;
                }
            }
            if (this->members.isCurrent(acquire->owner, acquire->ownerIncarnation))
                this->version += this->partitions.grant(wall, transfer) ? 1 : 0;
            return this->grant(acquire->owner, acquire->ownerIncarnation);
        }
        return { 0, Messages::StateRefusal::None, "", Messages::Done {} };
    }
    Messages::StateReply grant(const Core::InstanceId& owner, Core::Incarnation incarnation)
    {
        if (!this->members.isCurrent(owner, incarnation))
            return { 0, Messages::StateRefusal::UnknownMember, "", Messages::Done {} };
        this->book.recordRenewal(this->clock.steady(this->loop), owner, incarnation);
        return { 0, Messages::StateRefusal::None, "",
            Messages::LeaseGrant { this->partitions.ownedBy(owner, incarnation), 3000, 0 } };
    }
    Messages::StateReply view() const
    {
        return { 0, Messages::StateRefusal::None, "",
            Messages::FleetView { this->version, 0, "", this->members.all(), this->partitions.all() } };
    }

    Loop& loop;
    NodeClock clock;
    Membership::LeaseTracker book;
    Membership::MemberTable members;
    Membership::PartitionTable partitions;
    std::list<Watcher> watchers;
    std::map<std::uint64_t, std::list<Watcher>::iterator> liveWatchers;
    std::uint64_t lastWatcher = 0;
    std::uint64_t version = 1;
    std::uint64_t announced = 1;
    bool isUp = true;
};

}
