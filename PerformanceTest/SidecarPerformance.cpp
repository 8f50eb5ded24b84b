#include "PerformanceTest/SidecarPerformance.h"

#include "UnitTests/Sidecar/TestEndpoint.h"
#include "celeryswitch/Core/Assert.h"
#include "celeryswitch/Network/MessageCodec.h"
#include "celeryswitch/Sidecar/SidecarCore.h"
#include "celeryswitch/Sidecar/SidecarProcess.h"
#include <algorithm>
#include <filesystem>
#include <fstream>

namespace celeryswitch::PerformanceTest {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

const Network::AuthenticationKeys keys { 1, { { 1, "first secret of the fleet" } } };
// Records that a sidecar keeps at 37 starts a second for the retention of 600 s.
constexpr std::uint32_t retainedTasks = 22'200;
constexpr std::size_t entryCount = 3;
// Bytes of a task's payload and of its result.
constexpr std::size_t payloadSize = 200;
constexpr auto startInterval = std::chrono::microseconds(1'000'000 / 37);
constexpr auto measuredTime = 10s;
// Headers of Ethernet, IP and TCP for a frame and for its acknowledgement, which travels alone when tasks take longer
// than a delayed acknowledgement; the same for a datagram.
constexpr std::size_t segmentOverhead = 2 * 66;
constexpr std::size_t datagramOverhead = 42;

double secondsSince(Clock::time_point start) { return std::chrono::duration<double>(Clock::now() - start).count(); }

// Threads of this process.
std::vector<std::string> threadIds()
{
    std::vector<std::string> ids;
    for (const auto& entry : std::filesystem::directory_iterator("/proc/self/task"))
        ids.push_back(entry.path().filename());
    std::sort(ids.begin(), ids.end());
    return ids;
}

// Processor time of threads, in seconds.
double processorSeconds(const std::vector<std::string>& ids)
{
    double seconds = 0;
    for (const std::string& id : ids) {
        std::ifstream file("/proc/self/task/" + id + "/schedstat");
        double nanoseconds = 0;
        if (file >> nanoseconds)
            seconds += nanoseconds / 1e9;
    }
    return seconds;
}

// Resident memory of this process, in MB.
double residentMegabytes()
{
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * 4096 / 1e6;
}

// A start of one task of a job of its own.
Messages::StartTasks makeStart(std::uint64_t job, std::int64_t clockEcho, Core::Incarnation incarnation)
{
    Messages::StartTasks start;
    start.partition = static_cast<Core::PartitionId>(job % Core::partitionCount);
    start.epoch = 1;
    start.clockEcho = clockEcho;
    start.sidecarIncarnation = incarnation;
    start.jobId = { 1, job * 0x9e3779b97f4a7c15ULL };
    start.team = "counter";
    start.kind = "stock-check";
    start.jobTaskCount = 1;
    start.createdAt = Core::toUnixMilliseconds(std::chrono::system_clock::now());
    start.credits = 1;
    start.backlog = { 0, 1e6 };
    start.tasks.push_back({ 0, std::string(payloadSize, 'x'), 0 });
    return start;
}

/// Three entries on one thread that give tasks to a sidecar.
class Entries {
public:
    explicit Entries(const Sidecar::SidecarProcess& sidecar)
        : sidecar(sidecar)
    {
        CELERY_ASSERT(this->transport.bindDatagram(
            "127.0.0.1:0", [this](const std::string& payload, const std::string&) { this->countDatagram(payload); }));
        for (std::size_t index = 0; index < entryCount; ++index)
            this->connect(index);
        const auto limit = Clock::now() + 10s;
        while (this->totalCredits() < 8 && Clock::now() < limit)
            this->context.run_one_for(10ms);
        CELERY_ASSERT(this->totalCredits() == 8);
    }

    // Starts a task at the next entry that has a credit; false when none has.
    bool start()
    {
        for (std::size_t attempt = 0; attempt < entryCount; ++attempt) {
            Entry& entry = this->entries[this->next++ % entryCount];
            if (entry.credits == 0)
                continue;
            --entry.credits;
            entry.sentAt.push_back(Clock::now());
            ++this->open;
            this->send(entry, makeStart(++this->job, this->clockSample, this->sidecar.incarnation()));
            return true;
        }
        return false;
    }
    void sendHeartbeats()
    {
        for (std::size_t index = 0; index < entryCount; ++index) {
            const std::string payload = Network::encodeMessage(Messages::PeerDatagram(
                Messages::EntryHeartbeat { "entry-" + std::to_string(index), 1, 0, { 0, 1e6 } }));
            this->countDatagram(payload);
            this->transport.sendDatagram(this->sidecar.datagramAddress(), payload);
        }
    }

    struct Entry {
        Network::PeerConnectionPointer connection;
        std::uint32_t credits = 0;
        std::deque<Clock::time_point> sentAt;
    };

    std::uint32_t totalCredits() const
    {
        std::uint32_t total = 0;
        for (const Entry& entry : this->entries)
            total += entry.credits;
        return total;
    }

    const Sidecar::SidecarProcess& sidecar;
    boost::asio::io_context context { 1 };
    Network::PeerTransport transport { this->context, keys };
    std::array<Entry, entryCount> entries;
    std::size_t next = 0;
    std::uint64_t job = 0;
    std::size_t open = 0;
    std::uint64_t bytes = 0;
    std::uint64_t frames = 0;
    std::int64_t clockSample = 0;
    // Microseconds from the start to the result.
    std::vector<double> times;

private:
    void connect(std::size_t index)
    {
        this->transport.connect(this->sidecar.peerAddress(), [this, index](auto result) {
            Entry& entry = this->entries[index];
            entry.connection = std::move(result).value();
            entry.connection->start([this, &entry](const std::string& payload) { this->take(entry, payload); }, {});
            this->send(entry, Messages::Hello { Messages::Role::Entry, "entry-" + std::to_string(index), 1, "recife" });
        });
    }
    void send(Entry& entry, const Messages::PeerMessage& message)
    {
        std::string payload = Network::encodeMessage(message);
        this->countFrame(payload);
        CELERY_ASSERT(entry.connection->send(std::move(payload)));
    }
    void take(Entry& entry, const std::string& payload)
    {
        this->countFrame(payload);
        const auto message = Network::decodeMessage<Messages::PeerMessage>(payload).value();
        if (const auto* update = std::get_if<Messages::CreditUpdate>(&message)) {
            entry.credits += update->granted;
            this->clockSample = std::max(this->clockSample, update->clockSample);
            const std::uint32_t returned = std::min(entry.credits, update->recalled);
            entry.credits -= returned;
            if (update->recalled > 0)
                this->send(entry, Messages::CreditReturn { returned, { 0, 1e6 } });
        } else if (const auto* results = std::get_if<Messages::TaskResults>(&message)) {
            entry.credits += results->creditsReturned;
            this->clockSample = std::max(this->clockSample, results->clockSample);
            for (const Messages::TaskResult& result : results->results) {
                CELERY_ASSERT(result.outcome == Messages::TaskOutcome::Succeeded);
                this->times.push_back(secondsSince(entry.sentAt.front()) * 1e6);
                entry.sentAt.pop_front();
                --this->open;
            }
        }
    }
    void countFrame(const std::string& payload)
    {
        ++this->frames;
        this->bytes += payload.size() + 32 + segmentOverhead;
    }
    void countDatagram(const std::string& payload)
    {
        const auto datagram = Network::decodeMessage<Messages::PeerDatagram>(payload).value();
        if (const auto* heartbeat = std::get_if<Messages::SidecarHeartbeat>(&datagram))
            this->clockSample = std::max(this->clockSample, heartbeat->clockSample);
        this->bytes += payload.size() + 44 + datagramOverhead;
    }
};

// Gives tasks as fast as the credits allow, until this many have ended; returns the tasks a second.
double fill(Entries& entries)
{
    const auto start = Clock::now();
    auto nextHeartbeat = start;
    while (entries.times.size() < retainedTasks) {
        if (Clock::now() >= nextHeartbeat) {
            nextHeartbeat += 500ms;
            entries.sendHeartbeats();
        }
        while (entries.start()) { }
        entries.context.run_one_for(10ms);
        entries.context.poll();
    }
    return retainedTasks / secondsSince(start);
}

// Gives 37 tasks a second for the measured time.
void runSteadily(Entries& entries)
{
    auto nextStart = Clock::now();
    auto nextHeartbeat = nextStart;
    const auto end = nextStart + measuredTime;
    while (Clock::now() < end || entries.open > 0) {
        if (Clock::now() >= nextHeartbeat) {
            nextHeartbeat += 500ms;
            entries.sendHeartbeats();
        }
        if (Clock::now() >= nextStart && nextStart < end) {
            nextStart += startInterval;
            entries.start();
        }
        entries.context.run_one_until(std::min(nextStart, nextHeartbeat));
    }
}

}

std::vector<PerformanceCase> fenceCases()
{
    Core::ManualClock clock;
    Sidecar::SidecarCoreSettings settings;
    settings.identity = { Messages::Role::Sidecar, "sidecar-1", 7, "recife", "rack-1", "ordering", 8 };
    Sidecar::SidecarCore core(settings);
    core.connectionOpened(clock.steadyNow(), 1);
    core.frameReceived(
        clock.steadyNow(), clock.wallNow(), 1, Messages::Hello { Messages::Role::Entry, "entry-1", 1, "recife" });
    core.poll(clock.steadyNow(), clock.wallNow());
    constexpr std::uint32_t taskCount = 100'000;
    const auto start = Clock::now();
    for (std::uint32_t job = 1; job <= taskCount; ++job) {
        clock.advance(1ms);
        const std::int64_t echo = Core::toClockSample(clock.steadyNow());
        core.frameReceived(clock.steadyNow(), clock.wallNow(), 1, makeStart(job, echo, 7));
        for (Sidecar::Action& action : core.poll(clock.steadyNow(), clock.wallNow())) {
            if (const auto* call = std::get_if<Sidecar::StartCall>(&action))
                core.callFinished(clock.steadyNow(), clock.wallNow(),
                    { call->task, { 0, Messages::TaskOutcome::Succeeded, {}, 200, std::string(200, 'y'), 1, 0 } });
        }
        core.poll(clock.steadyNow(), clock.wallNow());
    }
    const double perTask = secondsSince(start) * 1e6 / taskCount;
    CELERY_ASSERT(core.counts().succeeded == taskCount);

    Ownership::TaskFence fence({ .incarnation = 7 });
    const auto fenceStart = Clock::now();
    for (std::uint32_t job = 1; job <= taskCount; ++job) {
        const Messages::StartTasks message = makeStart(job, Core::toClockSample(clock.steadyNow()), 7);
        CELERY_ASSERT(fence.check(clock.steadyNow(), message) == Messages::TaskReason::None);
        CELERY_ASSERT(fence.accept(clock.wallNow(), message, 0));
        fence.markStarted({ message.jobId, 0 });
        fence.markFinished(clock.wallNow(), message.jobId, { 0, Messages::TaskOutcome::Succeeded });
    }
    const double fencePerTask = secondsSince(fenceStart) * 1e6 / taskCount;
    const auto recoverStart = Clock::now();
    std::size_t recovered = 0;
    for (Core::PartitionId partition = 0; partition < Core::partitionCount; ++partition)
        recovered += fence.records(partition).size();
    CELERY_ASSERT(recovered == taskCount);
    return { { "sidecar core, a whole task", perTask, "us" }, { "fence, a whole task", fencePerTask, "us", 500 },
        { "fence, all records of 100,000 tasks", secondsSince(recoverStart) * 1e3, "ms" } };
}

std::vector<PerformanceCase> sidecarCases()
{
    Sidecar::TestEndpoint endpoint;
    const std::vector<std::string> before = threadIds();
    const double memoryBefore = residentMegabytes();
    Sidecar::SidecarSettings settings;
    settings.instanceId = "sidecar-1";
    settings.dataCentre = "recife";
    settings.service = "ordering";
    settings.endpointAddress = endpoint.address();
    settings.authentication = keys;
    auto sidecar = Sidecar::SidecarProcess::Builder().setSettings(settings).start();
    CELERY_ASSERT(sidecar);
    std::vector<std::string> threads;
    const std::vector<std::string> after = threadIds();
    std::set_difference(after.begin(), after.end(), before.begin(), before.end(), std::back_inserter(threads));

    Entries entries(*sidecar.value());
    const double perSecond = fill(entries);
    entries.times.clear();
    entries.bytes = entries.frames = 0;
    const double processorBefore = processorSeconds(threads);
    const auto start = Clock::now();
    runSteadily(entries);
    const double seconds = secondsSince(start);
    const double processor = processorSeconds(threads) - processorBefore;
    std::sort(entries.times.begin(), entries.times.end());
    const std::size_t count = entries.times.size();
    // Each task carries a payload, which the endpoint echoes as its body.
    const double payloadBytes = 2.0 * payloadSize * double(count);
    return { { "sidecar, 0 ms tasks with 8 credits", perSecond, "tasks/s" },
        { "sidecar at 37 starts/s, processor", processor / seconds * 100, "% of a core", 4.4 },
        { "sidecar with 22,200 records, memory beyond the test's", residentMegabytes() - memoryBefore, "MB", 128 },
        { "sidecar at 37 starts/s, network without payloads", (double(entries.bytes) - payloadBytes) / seconds / 1000,
            "KB/s", 22 },
        { "the same with payloads and bodies of 200 bytes", double(entries.bytes) / seconds / 1000, "KB/s" },
        { "sidecar at 37 starts/s, frames a task", double(entries.frames) / double(count), "frames", 2.5 },
        { "sidecar, start to result of a 0 ms task, p50", entries.times[count / 2] / 1000, "ms", 0.3 },
        { "sidecar, start to result of a 0 ms task, p99", entries.times[count * 99 / 100] / 1000, "ms", 1.5 } };
}

}
