#include "PerformanceTest/CapacityPerformance.h"

#include "PerformanceTest/Slope.h"
#include "celeryswitch/Dispatch/Dispatcher.h"
#include "celeryswitch/Entry/JobCodec.h"
#include "celeryswitch/Network/DatagramCodec.h"
#include "celeryswitch/Network/FrameCodec.h"
#include "celeryswitch/Ownership/JobTable.h"
#include "celeryswitch/Ownership/TaskFence.h"
#include "celeryswitch/State/StateMachine.h"

namespace celeryswitch::PerformanceTest {

namespace {

using namespace std::chrono_literals;

// Body of a typical answer of an endpoint, in bytes.
constexpr std::size_t answerBytes = 100;
constexpr std::size_t batchTasks = 200;

Core::JobId jobIdOf(std::size_t index) { return Core::makeJobId("team", "caller", std::to_string(index)); }

Messages::TaskResult resultOf(std::uint32_t index)
{
    return { index, Messages::TaskOutcome::Succeeded, Messages::TaskReason::None, 200, std::string(answerBytes, 'x'),
        120'000, 0 };
}

Messages::StartTasks startOf(std::size_t job, std::uint32_t tasks)
{
    Messages::StartTasks start;
    start.epoch = 1;
    start.jobId = jobIdOf(job);
    start.team = "team";
    start.kind = "stock-check";
    start.jobTaskCount = tasks;
    for (std::uint32_t index = 0; index < tasks; ++index)
        start.tasks.push_back({ index, std::string(answerBytes, 'p'), 0 });
    return start;
}

// Memory of a job table with ended jobs of one task.
double jobTableBytes(std::size_t jobs)
{
    const double before = allocatedBytes();
    Ownership::JobTable table;
    for (std::size_t index = 0; index < jobs; ++index) {
        Ownership::JobEntry entry;
        entry.jobId = jobIdOf(index);
        entry.fingerprint = Ownership::Fingerprint { index, index };
        entry.taskCount = 1;
        entry.taskIds = { "task-1" };
        table.add(std::move(entry));
        table.finish(jobIdOf(index), { resultOf(0) });
    }
    return allocatedBytes() - before;
}

// Memory of a fence with finished tasks of single-task jobs.
double fenceBytes(std::size_t tasks)
{
    const double before = allocatedBytes();
    Ownership::TaskFence fence({});
    const Core::ManualClock clock;
    for (std::size_t index = 0; index < tasks; ++index) {
        const Messages::StartTasks start = startOf(index, 1);
        fence.accept(clock.wallNow(), start, 0);
        fence.markStarted({ start.jobId, 0 });
        fence.markFinished(clock.wallNow(), start.jobId, resultOf(0));
    }
    return allocatedBytes() - before;
}

// Memory of a dispatcher that knows sidecars with all their credits.
double dispatcherBytes(std::size_t sidecars)
{
    const double before = allocatedBytes();
    Dispatch::Dispatcher dispatcher({});
    const Core::ManualClock clock;
    for (std::size_t index = 0; index < sidecars; ++index) {
        const std::string name = "sidecar-" + std::to_string(index);
        dispatcher.addSidecar(clock.steadyNow(),
            { name, "ordering", "centre-" + std::to_string(index % 4), "rack-" + std::to_string(index / 30), 8 });
        dispatcher.creditsGranted(clock.steadyNow(), name, 8);
    }
    return allocatedBytes() - before;
}

// A sidecar as the state log records it.
Messages::Member memberOf(std::size_t index)
{
    Messages::Member member;
    member.identity = { Messages::Role::Sidecar, "sidecar-" + std::to_string(index), index + 1, "centre-1", "rack-1",
        "ordering", 8 };
    member.peerAddress = "127.0.0.1:7001";
    member.datagramAddress = "127.0.0.1:7002";
    return member;
}

// Memory of a state machine with members.
double memberBytes(std::size_t members)
{
    const double before = allocatedBytes();
    State::StateMachine machine;
    for (std::size_t index = 0; index < members; ++index) {
        const Messages::Member member = memberOf(index);
        machine.apply(index + 1,
            Network::encodeMessage(State::StateCommand { 1'700'000'000'000, Messages::RegisterMember { member } }));
    }
    return allocatedBytes() - before;
}

// Bytes of a fleet view with members, as an entry receives it.
double viewBytes(std::size_t members)
{
    Messages::FleetView view;
    for (std::size_t index = 0; index < members; ++index) {
        view.members.push_back(memberOf(index));
    }
    return double(Network::encodeMessage(view).size());
}

// Processor time of a state replica that applies accepted changes.
double changeMicroseconds(std::size_t changes)
{
    State::StateMachine machine;
    return processorMicroseconds([&] {
        for (std::size_t index = 0; index < changes; ++index) {
            const Messages::ProposeChange change { "change-" + std::to_string(index), "operator", "capacity", index,
                R"([{"operation":"setDefault","key":"reservedSlotsPercent","value":7}])" };
            machine.apply(index + 1, Network::encodeMessage(State::StateCommand { 1'700'000'000'000, change }));
        }
    });
}

// Processor time of sealing and opening authenticated frames with one start of one task.
double frameMicroseconds(std::size_t frames)
{
    const Network::ConnectionKeys keys { std::string(32, 'k'), std::string(32, 'k'), 1, 1 };
    Network::FrameSealer sealer(keys);
    Network::FrameOpener opener(keys);
    return processorMicroseconds([&] {
        for (std::size_t index = 0; index < frames; ++index) {
            const std::string payload = Network::encodeMessage(Messages::PeerMessage { startOf(index, 1) });
            opener.append(sealer.head(payload));
            opener.append(payload);
            const auto opened = opener.next();
            if (opened && opened.value())
                static_cast<void>(Network::decodeMessage<Messages::PeerMessage>(*opened.value()));
        }
    });
}

// Processor time of sealing and opening heartbeats.
double heartbeatMicroseconds(std::size_t heartbeats)
{
    Network::DatagramCodec codec({ 1, { { 1, std::string(32, 'k') } } });
    const Core::ManualClock clock;
    const Messages::SidecarHeartbeat heartbeat { "sidecar-1", 1, 1, 4, 0, false, 1 };
    return processorMicroseconds([&] {
        for (std::size_t index = 0; index < heartbeats; ++index) {
            const std::string sealed
                = codec.seal(clock.wallNow(), Network::encodeMessage(Messages::PeerDatagram { heartbeat }));
            const auto opened = codec.open(clock.wallNow(), sealed);
            if (opened)
                static_cast<void>(Network::decodeMessage<Messages::PeerDatagram>(opened.value()));
        }
    });
}

// Processor time of reading submissions of `tasks` tasks, 2,000 tasks in all at least.
double submissionMicroseconds(std::size_t tasks)
{
    std::string body
        = R"({"team":"t","caller":"c","idempotencyKey":"k","createdAt":1700000000000,"service":"ordering",)"
          R"("kind":"stock-check","urgency":"normal","tasks":[)";
    for (std::size_t index = 0; index < tasks; ++index)
        body += (index ? "," : "") + (R"({"id":"task-)" + std::to_string(index)) + R"(","payload":")"
            + std::string(answerBytes, 'p') + R"("})";
    body += "]}";
    constexpr std::size_t repeats = 20;
    const double total = processorMicroseconds([&] {
        for (std::size_t index = 0; index < repeats; ++index)
            static_cast<void>(Entry::parseSubmission(body));
    });
    return total / double(repeats);
}

// Processor time of dispatching tasks in jobs of `batchTasks` to a fleet with enough slots.
double dispatchMicroseconds(std::size_t tasks)
{
    Dispatch::Dispatcher dispatcher({});
    Core::ManualClock clock;
    constexpr std::size_t sidecars = 100;
    for (std::size_t index = 0; index < sidecars; ++index) {
        const std::string name = "sidecar-" + std::to_string(index);
        dispatcher.addSidecar(clock.steadyNow(), { name, "ordering", "", "", 8 });
        dispatcher.creditsGranted(clock.steadyNow(), name, 8);
    }
    return processorMicroseconds([&] {
        for (std::size_t job = 0; job < tasks / batchTasks; ++job) {
            Dispatch::JobDescription description;
            description.jobId = jobIdOf(job);
            description.service = "ordering";
            description.kind = "stock-check";
            description.team = "team";
            description.taskCount = batchTasks;
            dispatcher.submit(clock.steadyNow(), description);
            for (std::size_t finished = 0; finished < batchTasks;) {
                const std::size_t before = finished;
                for (const Dispatch::Decision& decision : dispatcher.poll(clock.steadyNow())) {
                    const auto* start = std::get_if<Dispatch::StartDecision>(&decision);
                    if (!start)
                        continue;
                    for (std::uint32_t index : start->taskIndexes) {
                        dispatcher.taskFinished(clock.steadyNow(), start->sidecarId, start->jobId, resultOf(index));
                        ++finished;
                    }
                    dispatcher.creditsGranted(clock.steadyNow(), start->sidecarId, start->credits);
                }
                clock.advance(1ms);
                if (finished == before)
                    clock.advance(100ms);
            }
        }
    });
}

}

std::vector<PerformanceCase> capacityCases()
{
    const std::vector<std::size_t> records { 10'000, 20'000, 40'000, 80'000 };
    const std::vector<std::size_t> members { 1'000, 2'000, 4'000, 8'100 };
    const std::vector<std::size_t> tasks { 200, 500, 1'000, 2'000 };
    const std::vector<SlopeSettings> slopes {
        { "job table memory a single-task job", "B", records, 5, jobTableBytes },
        { "fence memory a task", "B", records, 5, fenceBytes },
        { "dispatcher memory a sidecar", "B", members, 5, dispatcherBytes },
        { "state memory a member", "B", members, 5, memberBytes },
        { "fleet view size a member", "B", members, 3, viewBytes },
        { "state time a configuration change", "us", { 500, 1'000, 2'000, 4'000 }, 5, changeMicroseconds },
        { "time a frame, sealed and opened", "us", records, 5, frameMicroseconds },
        { "time a heartbeat, sealed and opened", "us", records, 5, heartbeatMicroseconds },
        { "time a task of a submission, parsed", "us", tasks, 5, submissionMicroseconds },
        { "decision time a task, jobs of 200", "us", { 2'000, 4'000, 8'000, 16'000 }, 5, dispatchMicroseconds },
    };
    std::vector<PerformanceCase> cases;
    for (const SlopeSettings& slope : slopes) {
        const std::vector<PerformanceCase> measured = measureSlope(slope);
        cases.insert(cases.end(), measured.begin(), measured.end());
    }
    return cases;
}

}
