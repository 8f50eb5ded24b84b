#include "celeryswitch/Entry/EntryCore.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;

namespace {

// An entry core whose state replies and connections the test plays.
class EntryUnderTest {
public:
    EntryUnderTest()
        : core(settings())
    {
    }

    // Passes an event and collects the actions that follow.
    void handle(Entry::EntryEvent event)
    {
        this->core.handle(this->clock.steadyNow(), this->wallMilliseconds(), std::move(event));
        this->step();
    }
    // Moves time and collects the actions that are due.
    void step(Core::Duration span = std::chrono::milliseconds(10))
    {
        this->clock.advance(span);
        for (Entry::EntryAction& action : this->core.poll(this->clock.steadyNow(), this->wallMilliseconds()))
            this->actions.push_back(std::move(action));
    }
    // Answers the newest call of a kind.
    template <typename Body> void reply(Messages::StateReply reply)
    {
        for (auto action = this->actions.rbegin(); action != this->actions.rend(); ++action) {
            const auto* call = std::get_if<Entry::CallState>(&*action);
            if (call && std::holds_alternative<Body>(call->body)) {
                const std::uint64_t callId = call->callId;
                this->handle(Entry::StateReplied { callId, std::move(reply) });
                return;
            }
        }
        FAIL("the entry made no such call");
    }
    // The newest action of a kind, or null.
    template <typename Action> const Action* newest() const
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

Messages::Submission submission(std::int64_t createdAt)
{
    Messages::Submission submission { "team-1", "caller-1", "key-1", createdAt, "ordering", "stock-check" };
    submission.tasks = { { "task-1", "{}" } };
    return submission;
}

}

// Guards against a submission refused at the start of a fleet: another entry had just acquired the partition, and the
// view that names it had not arrived yet.
TEST_CASE("a submission waits for the view when another entry has just acquired its partition", "[Entry]")
{
    EntryUnderTest entry;
    entry.step();
    entry.reply<Messages::RegisterMember>({});
    entry.handle(
        Entry::CallerRequest { 7, Messages::JobOperation::Submit, 1000, submission(entry.wallMilliseconds()) });
    entry.reply<Messages::AcquirePartitions>({ 0, Messages::StateRefusal::LeaseHeld });
    REQUIRE(entry.newest<Entry::AnswerCaller>() == nullptr);

    Messages::FleetView view;
    view.viewVersion = 5;
    Messages::Member other;
    other.identity = { Messages::Role::Entry, "entry-2", 2, "centre-1", "rack-1", "", 0 };
    other.peerAddress = "127.0.0.1:3";
    view.members = { other };
    view.partitions[Core::partitionOf("team-1", "caller-1")] = { "entry-2", 2, 1, entry.wallMilliseconds() };
    entry.reply<Messages::WatchView>({ 0, Messages::StateRefusal::None, "", view });
    entry.step();
    const auto* opened = entry.newest<Entry::OpenConnection>();
    REQUIRE(opened != nullptr);
    const Entry::ConnectionId connection = opened->connectionId;
    entry.handle(Entry::ConnectionOpened { connection });
    entry.handle(Entry::FrameReceived { connection, other.identity });
    entry.step();
    REQUIRE(entry.newest<Entry::AnswerCaller>() == nullptr);
    REQUIRE(entry.hasForwarded());
}

// Guards against a submission that waits without an answer when its partition's owner stays out of reach.
TEST_CASE("a submission whose partition stays out of reach is refused as not run", "[Entry]")
{
    EntryUnderTest entry;
    entry.step();
    entry.reply<Messages::RegisterMember>({});
    entry.handle(
        Entry::CallerRequest { 7, Messages::JobOperation::Submit, 1000, submission(entry.wallMilliseconds()) });
    entry.reply<Messages::AcquirePartitions>({ 0, Messages::StateRefusal::LeaseHeld });
    entry.step(std::chrono::seconds(4));
    const auto* answer = entry.newest<Entry::AnswerCaller>();
    REQUIRE(answer != nullptr);
    REQUIRE(answer->answer.statusCode == 503);
    REQUIRE(answer->answer.body.find("\"execution\":\"not-run\"") != std::string::npos);
}
