#include "celeryswitch/Entry/Forwarding.h"

namespace celeryswitch::Entry {

namespace {

constexpr Core::Duration reconnectInterval = std::chrono::milliseconds(300);
constexpr Core::Duration helloTimeout = std::chrono::seconds(3);
// Entries exchange the use of quotas once a second; one that is silent for longer is cut off or gone.
constexpr Core::Duration silenceLimit = std::chrono::seconds(3);
// Time beyond the caller's wait after which a forwarded request is taken for lost.
constexpr Core::Duration answerAllowance = std::chrono::seconds(3);

}

Forwarding::Forwarding(EntryContext& context, Handlers handlers)
    : context(context)
    , handlers(std::move(handlers))
{
}

void Forwarding::setMembers(const std::vector<Messages::Member>& members)
{
    std::map<Core::InstanceId, const Messages::Member*> entries;
    for (const Messages::Member& member : members) {
        const bool isOther = member.identity.instanceId != this->context.settings.identity.instanceId;
        if (member.identity.role == Messages::Role::Entry && isOther && member.removedAt == 0)
            entries[member.identity.instanceId] = &member;
    }
    for (const auto& [entryId, member] : entries) {
        auto [position, isNew] = this->links.try_emplace(entryId);
        Link& link = position->second;
        const bool isRestarted = link.member.identity.incarnation != member->identity.incarnation;
        link.member = *member;
        if (isNew || isRestarted) {
            this->drop(link);
            link.lastHeard = this->context.now;
            link.nextAttempt = this->context.now;
        }
    }
    for (auto position = this->links.begin(); position != this->links.end();) {
        if (entries.contains(position->first)) {
            ++position;
            continue;
        }
        this->drop(position->second);
        position = this->links.erase(position);
    }
}

void Forwarding::opened(ConnectionId connectionId)
{
    this->context.send(connectionId, this->context.settings.identity);
}

void Forwarding::closed(ConnectionId connectionId)
{
    const auto found = this->byConnection.find(connectionId);
    if (found == this->byConnection.end())
        return;
    Link& link = this->links.at(found->second);
    link.nextAttempt = after(this->context.now, reconnectInterval);
    this->drop(link);
}

void Forwarding::helloReceived(ConnectionId connectionId, const Messages::Hello& hello)
{
    const auto found = this->byConnection.find(connectionId);
    if (found == this->byConnection.end())
        return;
    Link& link = this->links.at(found->second);
    if (hello.role != Messages::Role::Entry || hello.instanceId != found->second) {
        link.nextAttempt = after(this->context.now, reconnectInterval);
        this->drop(link);
        return;
    }
    link.isOpen = true;
    link.lastHeard = this->context.now;
}

void Forwarding::heard(const Core::InstanceId& entryId)
{
    const auto found = this->links.find(entryId);
    if (found != this->links.end())
        found->second.lastHeard = this->context.now;
}

bool Forwarding::isOpen(const Core::InstanceId& entryId) const
{
    const auto found = this->links.find(entryId);
    return found != this->links.end() && found->second.isOpen;
}

bool Forwarding::forward(const Core::InstanceId& entryId, const CallerRequest& request)
{
    if (!this->isOpen(entryId))
        return false;
    const auto found = this->links.find(entryId);
    const std::uint64_t forwardId = ++this->lastForward;
    this->pending[forwardId] = { request.requestId, request.operation, found->second.connectionId };
    this->deadlines.emplace(
        after(this->context.now, std::chrono::milliseconds(request.waitMilliseconds) + answerAllowance), forwardId);
    ++this->context.counters.forwarded;
    this->context.send(found->second.connectionId,
        Messages::ForwardSubmission { forwardId, request.operation, request.waitMilliseconds, request.submission });
    return true;
}

void Forwarding::answerReceived(const Messages::ForwardedAnswer& answer)
{
    const auto found = this->pending.find(answer.requestId);
    if (found == this->pending.end())
        return;
    const RequestId requestId = found->second.requestId;
    this->pending.erase(found);
    this->handlers.onAnswer(requestId, answer);
}

void Forwarding::sendToAll(const Messages::PeerMessage& message)
{
    for (const auto& [entryId, link] : this->links) {
        if (link.isOpen)
            this->context.send(link.connectionId, message);
    }
}

void Forwarding::tick()
{
    for (auto& [entryId, link] : this->links) {
        const bool isSilent = link.isOpen ? this->context.now - link.lastHeard > silenceLimit
                                          : link.connectionId != 0 && this->context.now > link.helloDeadline;
        if (isSilent)
            this->drop(link);
        if (link.connectionId != 0 || this->context.now < link.nextAttempt)
            continue;
        link.connectionId = this->context.newConnectionId();
        link.helloDeadline = after(this->context.now, helloTimeout);
        this->byConnection[link.connectionId] = entryId;
        this->context.act(OpenConnection { link.connectionId, link.member.peerAddress });
    }
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= this->context.now) {
        const auto found = this->pending.find(this->deadlines.begin()->second);
        this->deadlines.erase(this->deadlines.begin());
        if (found == this->pending.end())
            continue;
        const Pending lost = found->second;
        this->pending.erase(found);
        this->handlers.onLost(lost.requestId, lost.operation);
    }
}

std::vector<Core::InstanceId> Forwarding::unreachableFor(Core::Duration span) const
{
    std::vector<Core::InstanceId> entries;
    for (const auto& [entryId, link] : this->links) {
        if (!link.isOpen && this->context.now - link.lastHeard > span)
            entries.push_back(entryId);
    }
    return entries;
}

void Forwarding::drop(Link& link)
{
    link.isOpen = false;
    if (link.connectionId == 0)
        return;
    const ConnectionId connectionId = std::exchange(link.connectionId, 0);
    this->context.act(CloseConnection { connectionId });
    this->byConnection.erase(connectionId);
    std::vector<Pending> lost;
    for (auto position = this->pending.begin(); position != this->pending.end();) {
        if (position->second.connectionId == connectionId) {
            lost.push_back(position->second);
            position = this->pending.erase(position);
        } else {
            ++position;
        }
    }
    for (const Pending& request : lost)
        this->handlers.onLost(request.requestId, request.operation);
}

}
