#include "PerformanceTest/EntryPerformance.h"
#include "celeryswitch/Entry/EntryCore.h"
#include <ctime>

namespace celeryswitch::PerformanceTest {

using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t sidecarCount = 11;
constexpr std::uint32_t slots = 8;
constexpr std::uint32_t tasksPerJob = 200;
constexpr std::uint32_t jobsAtOnce = 8;
constexpr std::size_t resultsPerMessage = 8;
constexpr std::int64_t wallMilliseconds = 1'700'000'000'000;

double threadSeconds()
{
    timespec time {};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

// One entry core with sidecars that answer every start at once.
class DecisionRun {
public:
    DecisionRun()
        : core(makeSettings())
    {
        for (std::uint32_t number = 0; number < sidecarCount; ++number) {
            Messages::Member member;
            member.identity = { Messages::Role::Sidecar, name(number), 1, "dc", "rack", "service", slots };
            member.peerAddress = name(number);
            this->view.members.push_back(member);
        }
        this->view.viewVersion = 1;
        this->view.partitions[this->partition] = { "entry", 1, 1, wallMilliseconds };
    }
    // Runs until this many tasks have started; returns thread seconds.
    double run(std::uint64_t taskCount)
    {
        this->settle();
        const double begin = threadSeconds();
        while (this->started < taskCount) {
            while (this->runningJobs < jobsAtOnce)
                this->submit();
            this->step(1ms);
        }
        return threadSeconds() - begin;
    }

    std::uint64_t started = 0;
    std::uint64_t messages = 0;
    std::uint64_t answers = 0;

private:
    static Entry::EntryCoreSettings makeSettings()
    {
        Entry::EntryCoreSettings settings;
        settings.identity = { Messages::Role::Entry, "entry", 1, "dc", "rack" };
        settings.storedBytesLimit = std::size_t(8) << 30;
        return settings;
    }
    static std::string name(std::uint32_t number) { return "sidecar-" + std::to_string(number); }
    // Registers, acquires the partition and connects.
    void settle()
    {
        for (int round = 0; round < 200; ++round)
            this->step(10ms);
    }
    void submit()
    {
        Entry::CallerRequest request { ++this->lastRequest, Messages::JobOperation::Submit, 100'000 };
        Messages::Submission& submission = request.submission;
        submission.team = "team";
        submission.caller = "caller";
        submission.idempotencyKey = std::to_string(request.requestId);
        submission.createdAt = wallMilliseconds;
        submission.service = "service";
        submission.kind = "kind";
        for (std::uint32_t index = 0; index < tasksPerJob; ++index)
            submission.tasks.push_back({ "task-" + std::to_string(index), std::string(100, 'x') });
        ++this->runningJobs;
        this->core.handle(this->now, wallMilliseconds, std::move(request));
    }
    void step(Core::Duration span)
    {
        this->now += span;
        for (Entry::EntryAction& action : this->core.poll(this->now, wallMilliseconds))
            std::visit([this](auto& alternative) { this->perform(alternative); }, action);
        for (Entry::EntryEvent& event : std::exchange(this->events, {}))
            this->core.handle(this->now, wallMilliseconds, std::move(event));
    }
    void receive(Entry::ConnectionId connectionId, Messages::PeerMessage message)
    {
        ++this->messages;
        this->events.emplace_back(Entry::FrameReceived { connectionId, std::move(message) });
    }
    void perform(Entry::OpenConnection& action)
    {
        this->addresses[action.connectionId] = action.address;
        this->events.emplace_back(Entry::ConnectionOpened { action.connectionId });
    }
    void perform(Entry::SendFrame& action)
    {
        ++this->messages;
        if (std::holds_alternative<Messages::Hello>(action.message)) {
            this->receive(action.connectionId,
                Messages::Hello {
                    Messages::Role::Sidecar, this->addresses[action.connectionId], 1, "dc", "rack", "service", slots });
            this->receive(action.connectionId, Messages::CreditUpdate { 1, slots, 0, 1 });
        } else if (const auto* start = std::get_if<Messages::StartTasks>(&action.message)) {
            this->answerStart(action.connectionId, *start);
        }
    }
    void answerStart(Entry::ConnectionId connectionId, const Messages::StartTasks& start)
    {
        this->started += start.tasks.size();
        Messages::TaskResults results { start.jobId, {}, 0, 1 };
        for (const Messages::TaskStart& task : start.tasks) {
            results.results.push_back({ task.taskIndex, Messages::TaskOutcome::Succeeded, Messages::TaskReason::None,
                200, std::string(100, 'y'), 50'000, 0 });
            const bool isLast = &task == &start.tasks.back();
            if (!isLast && results.results.size() < resultsPerMessage)
                continue;
            results.creditsReturned = isLast ? start.credits : 0;
            this->receive(connectionId, results);
            results.results.clear();
        }
    }
    void perform(Entry::SendStateRequest& action)
    {
        Messages::StateReply reply;
        if (std::holds_alternative<Messages::WatchView>(action.body)) {
            if (this->isViewSent)
                return;
            this->isViewSent = true;
            reply.body = this->view;
        } else if (!std::holds_alternative<Messages::AppendReport>(action.body)) {
            reply.body = Messages::LeaseGrant { this->view.partitions, 3000, 0 };
        }
        this->events.emplace_back(Entry::StateReplyReceived { action.callId, std::move(reply) });
    }
    void perform(Entry::AnswerCaller& action)
    {
        this->answers += action.answer.statusCode == 200 ? 1 : 0;
        --this->runningJobs;
    }
    void perform(Entry::SendDatagram& action)
    {
        for (std::uint32_t number = 0; number < sidecarCount; ++number)
            this->events.emplace_back(Entry::DatagramReceived { Messages::SidecarHeartbeat { name(number), 1, 1 } });
        static_cast<void>(action);
    }
    void perform(Entry::CloseConnection&) { }
    void perform(Entry::StopFinished&) { }

    Core::PartitionId partition = Core::partitionOf("team", "caller");
    Messages::FleetView view;
    Entry::EntryCore core;
    Core::SteadyTime now { 100s };
    std::vector<Entry::EntryEvent> events;
    std::map<Entry::ConnectionId, std::string> addresses;
    Entry::RequestId lastRequest = 0;
    std::uint32_t runningJobs = 0;
    bool isViewSent = false;
};

}

std::vector<PerformanceCase> measureEntryDecisions()
{
    constexpr std::uint64_t taskCount = 200'000;
    DecisionRun run;
    const double seconds = run.run(taskCount);
    return {
        { "entry decisions, starts a second on one core in jobs of 200", static_cast<double>(run.started) / seconds,
            "starts/s", 25'000, false },
        { "entry messages a task in jobs of 200, results in eights",
            static_cast<double>(run.messages) / static_cast<double>(run.started), "messages", 0.5, true },
        { "entry decisions, jobs answered whole", static_cast<double>(run.answers) * tasksPerJob, "tasks",
            static_cast<double>(taskCount) * 0.9, false },
    };
}

}
