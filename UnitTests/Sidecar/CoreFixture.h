#pragma once

#include "celeryswitch/Sidecar/SidecarCore.h"
#include <catch2/catch.hpp>

namespace celeryswitch::Sidecar {

/// A core with a manual clock; records the frames sent on each connection and the other actions.
class CoreFixture {
public:
    explicit CoreFixture(std::uint32_t slots = 2)
        : core(makeSettings(slots))
    {
    }

    static SidecarCoreSettings makeSettings(std::uint32_t slots)
    {
        SidecarCoreSettings settings;
        settings.identity = { Messages::Role::Sidecar, "sidecar-1", 77, "recife", "rack-1", "ordering", slots };
        return settings;
    }

    /// Connects an entry.
    void connect(ConnectionId connectionId, const std::string& entryId)
    {
        this->core.connectionOpened(this->clock.steadyNow(), connectionId);
        this->receive(connectionId, Messages::Hello { Messages::Role::Entry, entryId, 1, "recife" });
    }
    /// Delivers a frame and executes the resulting actions.
    void receive(ConnectionId connectionId, Messages::PeerMessage message)
    {
        this->core.frameReceived(this->clock.steadyNow(), this->clock.wallNow(), connectionId, std::move(message));
        this->poll();
    }
    void heartbeat(const std::string& entryId, Messages::Backlog backlog = { 0, 1e6 }, std::uint64_t version = 0)
    {
        this->core.heartbeatReceived(this->clock.steadyNow(), { entryId, 1, version, backlog }, entryId + ":1");
        this->poll();
    }
    /// Ends the call of a task.
    void finish(const Core::TaskKey& task, Messages::TaskOutcome outcome = Messages::TaskOutcome::Succeeded,
        Messages::TaskReason reason = Messages::TaskReason::None, std::uint16_t status = 200)
    {
        this->core.callFinished(this->clock.steadyNow(), this->clock.wallNow(),
            { task, { task.taskIndex, outcome, reason, status, "done", 1000, 0 } });
        this->poll();
    }
    void advance(Core::Duration span)
    {
        this->clock.advance(span);
        this->poll();
    }
    void poll()
    {
        for (Action& action : this->core.poll(this->clock.steadyNow(), this->clock.wallNow())) {
            if (auto* frame = std::get_if<SendFrame>(&action))
                this->sent[frame->connectionId].push_back(std::move(frame->message));
            else if (auto* call = std::get_if<StartCall>(&action))
                this->calls.push_back(std::move(*call));
            else if (auto* close = std::get_if<CloseConnection>(&action))
                this->closed.push_back(close->connectionId);
            else if (auto* heartbeatAction = std::get_if<SendHeartbeat>(&action))
                this->heartbeats.push_back(std::move(*heartbeatAction));
            else
                ++this->probes;
        }
    }
    /// A start of tasks `first` to `first + count - 1` of a job.
    Messages::StartTasks start(std::uint64_t job, std::uint32_t first, std::uint32_t count, std::uint32_t credits,
        std::uint32_t jobTaskCount = 1) const
    {
        Messages::StartTasks message;
        message.partition = 5;
        message.epoch = 3;
        message.clockEcho = Core::toClockSample(this->clock.steadyNow());
        message.sidecarIncarnation = 77;
        message.jobId = { 0, job };
        message.kind = "stock-check";
        message.jobTaskCount = jobTaskCount;
        message.createdAt = Core::toUnixMilliseconds(this->clock.wallNow());
        message.credits = credits;
        message.backlog = { 0, 1e6 };
        for (std::uint32_t index = first; index < first + count; ++index)
            message.tasks.push_back({ index, "payload", 0 });
        return message;
    }
    /// Removes and returns the messages of one type that were sent on a connection.
    template <typename Message> std::vector<Message> take(ConnectionId connectionId)
    {
        std::vector<Message> found;
        std::erase_if(this->sent[connectionId], [&](Messages::PeerMessage& message) {
            if (!std::holds_alternative<Message>(message))
                return false;
            found.push_back(std::move(std::get<Message>(message)));
            return true;
        });
        return found;
    }
    /// Removes and returns the results of all messages sent on a connection.
    std::vector<Messages::TaskResult> takeResults(ConnectionId connectionId)
    {
        std::vector<Messages::TaskResult> results;
        for (Messages::TaskResults& message : this->take<Messages::TaskResults>(connectionId)) {
            this->creditsReturned += message.creditsReturned;
            results.insert(results.end(), message.results.begin(), message.results.end());
        }
        return results;
    }

    Core::ManualClock clock;
    SidecarCore core;
    std::map<ConnectionId, std::vector<Messages::PeerMessage>> sent;
    std::vector<StartCall> calls;
    std::vector<ConnectionId> closed;
    std::vector<SendHeartbeat> heartbeats;
    std::uint32_t creditsReturned = 0;
    int probes = 0;
};

}
