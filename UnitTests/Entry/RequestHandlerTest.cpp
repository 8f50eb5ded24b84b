#include "celeryswitch/Entry/EntryCore.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;

namespace {

// Drives an entry core; the test supplies state replies and connection events.
class EntryCoreHarness {
public:
    EntryCoreHarness()
        : core(settings())
    {
    }

    // Handles an event and collects the resulting actions.
    void handle(Entry::EntryEvent event)
    {
        this->core.handle(this->clock.steadyNow(), this->wallMilliseconds(), std::move(event));
        this->step();
    }
    // Advances the clock, polls the core and collects its actions.
    void step(Core::Duration duration = std::chrono::milliseconds(10))
    {
        this->clock.advance(duration);
        for (Entry::EntryAction& action : this->core.poll(this->clock.steadyNow(), this->wallMilliseconds()))
            this->actions.push_back(std::move(action));
    }
    // Replies to the latest state request of a type.
    template <typename Body> void replyTo(Messages::StateReply reply)
    {
        for (auto action = this->actions.rbegin(); action != this->actions.rend(); ++action) {
            const auto* call = std::get_if<Entry::SendStateRequest>(&*action);
            if (call && std::holds_alternative<Body>(call->body)) {
                const std::uint64_t callId = call->callId;
                this->handle(Entry::StateReplyReceived { callId, std::move(reply) });
                return;
            }
        }
        FAIL("the entry sent no state request of this type");
    }
    // Returns the latest action of a type, or null.
    template <typename Action> const Action* lastAction() const
    {
        for (auto action = this->actions.rbegin(); action != this->actions.rend(); ++action) {
            if (const auto* found = std::get_if<Action>(&*action))
                return found;
        }
        return nullptr;
    }
    // Whether the entry forwarded a submission.
    bool hasForwarded() const
    {
        for (const Entry::EntryAction& action : this->actions) {
            const auto* frame = std::get_if<Entry::SendFrame>(&action);
            if (frame && std::holds_alternative<Messages::ForwardSubmission>(frame->message))
                return true;
        }
        return false;
    }
    std::int64_t wallMilliseconds() const { return Core::toUnixMilliseconds(this->clock.wallNow()); }

private:
    static Entry::EntryCoreSettings settings()
    {
        Entry::EntryCoreSettings settings;
        settings.identity = { Messages::Role::Entry, "entry-1", 1, "centre-1", "rack-1", "", 0 };
        settings.peerAddress = "127.0.0.1:1";
        settings.datagramAddress = "127.0.0.1:2";
        return settings;
    }

    Core::ManualClock clock;
    Entry::EntryCore core;
    std::vector<Entry::EntryAction> actions;
};

Messages::Submission makeSubmission(std::int64_t createdAt)
{
    Messages::Submission submission { "team-1", "caller-1", "key-1", createdAt, "ordering", "stock-check" };
    submission.tasks = { { "task-1", "{}" } };
    return submission;
}

}

// Guards against refusing a submission while a fleet starts: another entry has just acquired the partition, and the
// fleet view with the new owner has not arrived.
TEST_CASE("a submission waits for the view when another entry has just acquired its partition", "[Entry]")
{
    EntryCoreHarness entry;
    entry.step();
    entry.replyTo<Messages::RegisterMember>({});
    entry.handle(
        Entry::CallerRequest { 7, Messages::JobOperation::Submit, 1000, makeSubmission(entry.wallMilliseconds()) });
    entry.replyTo<Messages::AcquirePartitions>({ 0, Messages::StateRefusal::LeaseHeld });
    REQUIRE(entry.lastAction<Entry::AnswerCaller>() == nullptr);

    Messages::FleetView view;
    view.viewVersion = 5;
    Messages::Member other;
    other.identity = { Messages::Role::Entry, "entry-2", 2, "centre-1", "rack-1", "", 0 };
    other.peerAddress = "127.0.0.1:3";
    view.members = { other };
    view.partitions[Core::partitionOf("team-1", "caller-1")] = { "entry-2", 2, 1, entry.wallMilliseconds() };
    entry.replyTo<Messages::WatchView>({ 0, Messages::StateRefusal::None, "", view });
    entry.step();
    const auto* opened = entry.lastAction<Entry::OpenConnection>();
    REQUIRE(opened != nullptr);
    const Entry::ConnectionId connection = opened->connectionId;
    entry.handle(Entry::ConnectionOpened { connection });
    entry.handle(Entry::FrameReceived { connection, other.identity });
    entry.step();
    REQUIRE(entry.lastAction<Entry::AnswerCaller>() == nullptr);
    REQUIRE(entry.hasForwarded());
}

// Guards against a submission that never gets an answer because the owner of its partition is unreachable.
TEST_CASE("a submission is refused as not run when the owner of its partition stays unreachable", "[Entry]")
{
    EntryCoreHarness entry;
    entry.step();
    entry.replyTo<Messages::RegisterMember>({});
    entry.handle(
        Entry::CallerRequest { 7, Messages::JobOperation::Submit, 1000, makeSubmission(entry.wallMilliseconds()) });
    entry.replyTo<Messages::AcquirePartitions>({ 0, Messages::StateRefusal::LeaseHeld });
    entry.step(std::chrono::seconds(4));
    const auto* answer = entry.lastAction<Entry::AnswerCaller>();
    REQUIRE(answer != nullptr);
    REQUIRE(answer->answer.statusCode == 503);
    REQUIRE(answer->answer.body.find("\"execution\":\"not-run\"") != std::string::npos);
}
