#include "celeryswitch/Entry/EntryLinks.h"

namespace celeryswitch::Entry {

namespace {

constexpr Core::Duration reconnectInterval = std::chrono::milliseconds(300);
constexpr Core::Duration helloTimeout = std::chrono::seconds(3);
// Entries send their quota usage every second, so a longer silence means that the peer or the network has failed.
constexpr Core::Duration silenceTimeout = std::chrono::seconds(3);
// Time after the caller's wait at which a forwarded request counts as lost.
constexpr Core::Duration answerMargin = std::chrono::seconds(3);

}

EntryLinks::EntryLinks(EntryContext& context, Handlers handlers)
    : context(context)
    , handlers(std::move(handlers))
{
}

void EntryLinks::setMembers(const std::vector<Messages::Member>& members)
{
    std::map<Core::InstanceId, const Messages::Member*> entries;
    for (const Messages::Member& member : members) {
        const bool isOtherEntry = member.identity.instanceId != this->context.settings.identity.instanceId;
        if (member.identity.role == Messages::Role::Entry && isOtherEntry && member.removedAt == 0)
            entries[member.identity.instanceId] = &member;
    }
    for (const auto& [entryId, member] : entries) {
        auto [iterator, isNew] = this->links.try_emplace(entryId);
        Link& link = iterator->second;
        const bool isRestarted = link.member.identity.incarnation != member->identity.incarnation;
        link.member = *member;
        if (isNew || isRestarted) {
            this->disconnect(link);
            link.lastHeard = this->context.now;
            link.nextConnectAttempt = this->context.now;
        }
    }
    for (auto iterator = this->links.begin(); iterator != this->links.end();) {
        if (entries.contains(iterator->first)) {
            ++iterator;
            continue;
        }
        this->disconnect(iterator->second);
        iterator = this->links.erase(iterator);
    }
}

void EntryLinks::connectionOpened(ConnectionId connectionId)
{
    this->context.send(connectionId, this->context.settings.identity);
}

void EntryLinks::connectionClosed(ConnectionId connectionId)
{
    const auto found = this->entriesByConnection.find(connectionId);
    if (found == this->entriesByConnection.end())
        return;
    Link& link = this->links.at(found->second);
    link.nextConnectAttempt = addDuration(this->context.now, reconnectInterval);
    this->disconnect(link);
}

void EntryLinks::helloReceived(ConnectionId connectionId, const Messages::Hello& hello)
{
    const auto found = this->entriesByConnection.find(connectionId);
    if (found == this->entriesByConnection.end())
        return;
    Link& link = this->links.at(found->second);
    if (hello.role != Messages::Role::Entry || hello.instanceId != found->second) {
        link.nextConnectAttempt = addDuration(this->context.now, reconnectInterval);
        this->disconnect(link);
        return;
    }
    link.isConnected = true;
    link.lastHeard = this->context.now;
}

void EntryLinks::recordContact(const Core::InstanceId& entryId)
{
    const auto found = this->links.find(entryId);
    if (found != this->links.end())
        found->second.lastHeard = this->context.now;
}

bool EntryLinks::isConnected(const Core::InstanceId& entryId) const
{
    const auto found = this->links.find(entryId);
    return found != this->links.end() && found->second.isConnected;
}

bool EntryLinks::forward(const Core::InstanceId& entryId, const CallerRequest& request)
{
    if (!this->isConnected(entryId))
        return false;
    const auto found = this->links.find(entryId);
    const std::uint64_t forwardId = ++this->lastForwardId;
    this->pendingRequests[forwardId] = { request.requestId, request.operation, found->second.connectionId };
    this->deadlines.emplace(
        addDuration(this->context.now, std::chrono::milliseconds(request.waitMilliseconds) + answerMargin), forwardId);
    ++this->context.counters.requestsForwarded;
    this->context.send(found->second.connectionId,
        Messages::ForwardSubmission { forwardId, request.operation, request.waitMilliseconds, request.submission });
    return true;
}

void EntryLinks::answerReceived(const Messages::ForwardedAnswer& answer)
{
    const auto found = this->pendingRequests.find(answer.requestId);
    if (found == this->pendingRequests.end())
        return;
    const RequestId requestId = found->second.requestId;
    this->pendingRequests.erase(found);
    this->handlers.onAnswerReceived(requestId, answer);
}

void EntryLinks::sendToAll(const Messages::PeerMessage& message)
{
    for (const auto& [entryId, link] : this->links) {
        if (link.isConnected)
            this->context.send(link.connectionId, message);
    }
}

void EntryLinks::tick()
{
    for (auto& [entryId, link] : this->links) {
        const bool isSilent = link.isConnected ? this->context.now - link.lastHeard > silenceTimeout
                                               : link.connectionId != 0 && this->context.now > link.helloDeadline;
        if (isSilent)
            this->disconnect(link);
        if (link.connectionId != 0 || this->context.now < link.nextConnectAttempt)
            continue;
        link.connectionId = this->context.newConnectionId();
        link.helloDeadline = addDuration(this->context.now, helloTimeout);
        this->entriesByConnection[link.connectionId] = entryId;
        this->context.addAction(OpenConnection { link.connectionId, link.member.peerAddress });
    }
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= this->context.now) {
        const auto found = this->pendingRequests.find(this->deadlines.begin()->second);
        this->deadlines.erase(this->deadlines.begin());
        if (found == this->pendingRequests.end())
            continue;
        const PendingRequest lost = found->second;
        this->pendingRequests.erase(found);
        this->handlers.onRequestLost(lost.requestId, lost.operation);
    }
}

std::vector<Core::InstanceId> EntryLinks::entriesUnreachableFor(Core::Duration duration) const
{
    std::vector<Core::InstanceId> entries;
    for (const auto& [entryId, link] : this->links) {
        if (!link.isConnected && this->context.now - link.lastHeard > duration)
            entries.push_back(entryId);
    }
    return entries;
}

void EntryLinks::disconnect(Link& link)
{
    link.isConnected = false;
    if (link.connectionId == 0)
        return;
    const ConnectionId connectionId = std::exchange(link.connectionId, 0);
    this->context.addAction(CloseConnection { connectionId });
    this->entriesByConnection.erase(connectionId);
    std::vector<PendingRequest> lost;
    for (auto iterator = this->pendingRequests.begin(); iterator != this->pendingRequests.end();) {
        if (iterator->second.connectionId == connectionId) {
            lost.push_back(iterator->second);
            iterator = this->pendingRequests.erase(iterator);
        } else {
            ++iterator;
        }
    }
    for (const PendingRequest& request : lost)
        this->handlers.onRequestLost(request.requestId, request.operation);
}

}
