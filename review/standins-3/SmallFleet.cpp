#include "review/standins-3/SmallFleet.h"

#include "Soak/SoakWire.h"
#include "platform/TaskNames.h"
#include <cstdlib>
#include <set>
#include <unistd.h>

namespace celeryswitch::Review {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds readyLimit { 30'000 };
// Longer than contact_ms.
constexpr milliseconds calmTime { 4000 };

// Two numbers of loopback addresses that no other run of a case uses at the same time.
std::string freeNetwork()
{
    return std::to_string(60 + ::getpid() / 250 % 40) + "." + std::to_string(1 + ::getpid() % 250);
}

}

bool isTroubled()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

SmallFleet::SmallFleet(const std::string& program, const std::string& folder, Soak::SoakSize size,
    std::function<Core::Duration(const Messages::TaskId&)> timeOf)
    : processes(program, folder, freeNetwork(), size)
    , record("record.txt")
    , timeOf(std::move(timeOf))
{
    for (std::uint32_t number = 1; number <= size.workers; ++number)
        this->workers.push_back(std::make_unique<Soak::SoakWorker>(
            this->context, std::to_string(number), this->processes.controlAddress("sidecar-" + std::to_string(number)),
            [this](const Messages::TaskId& task, std::uint32_t) {
                return Experiment::RunPlan { this->timeOf(task), false, { 2000, 64, 0 } };
            },
            number));
}

bool SmallFleet::start(int timeoutMilliseconds)
{
    for (std::size_t index = 0; index < this->workers.size(); ++index) {
        if (const Core::Result<void> started = this->workers[index]->start(); !started) {
            this->note("not run: a worker can't start: " + started.error().message());
            return false;
        }
        this->processes.setWorkerAddress(static_cast<std::uint32_t>(index + 1), this->workers[index]->address());
    }
    for (const char* role : { "state", "sidecar", "entry" }) {
        for (const std::string& process : this->processes.processes(role)) {
            if (const Core::Result<void> started = this->processes.start(process); !started) {
                this->note("not run: " + process + " can't start: " + started.error().message());
                return false;
            }
        }
    }
    const Core::SteadyTime limit = now() + readyLimit;
    std::set<std::string> served;
    std::uint64_t number = 0;
    bool isPut = false;
    const std::vector<std::string> entries = this->processes.processes("entry");
    while (now() < limit && served.size() < entries.size()) {
        this->run(milliseconds(200));
        isPut = isPut || this->putDocument(timeoutMilliseconds);
        for (const std::string& entry : entries) {
            if (isPut && served.count(entry) == 0
                && this->call(this->processes.entryAddress(entry),
                       Soak::writeJob(Soak::queueHost(0), Soak::queuePrefix(0), Messages::jobText(++number), 1,
                           { 2000, 64, 0 }, 200, "", 2000),
                       milliseconds(2500))
                    == 200)
                served.insert(entry);
        }
    }
    this->run(calmTime);
    if (served.size() < entries.size())
        this->note("not run: not every entry serves jobs");
    return served.size() == entries.size();
}

bool SmallFleet::putDocument(int timeoutMilliseconds)
{
    const Http::HttpRequest request { "POST", "/v1/config/put", { { "Content-Type", "application/json" } },
        Soak::writeDocument(7, { 1, static_cast<std::uint32_t>(timeoutMilliseconds), 262'144, true }) };
    return this->call(this->processes.controlAddress("state-1"), request, milliseconds(1000)) == 200;
}

void SmallFleet::run(Core::Duration span) { this->context.run_for(span); }

void SmallFleet::later(Core::Duration span, std::function<void()> action)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(
        this->context, std::chrono::duration_cast<std::chrono::steady_clock::duration>(span));
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code& error) {
        if (!error)
            action();
    });
}

void SmallFleet::note(const std::string& text)
{
    this->record << (this->begunAt == Core::SteadyTime {} ? 0 : this->elapsed(now())) << " ms: " << text << std::endl;
}

std::int64_t SmallFleet::elapsed(Core::SteadyTime time) const
{
    return std::chrono::duration_cast<milliseconds>(time - this->begunAt).count();
}

std::vector<SeenStart> SmallFleet::starts(const std::string& job) const
{
    std::vector<SeenStart> found;
    for (const auto& worker : this->workers) {
        for (const Experiment::RunRecord& run : worker->history()) {
            if (Messages::jobText(run.task.job) == job)
                found.push_back({ Platform::taskName(run.task) + " run " + std::to_string(run.run), run.workerId,
                    run.startedAt, run.endedAt, std::string(Core::enumName(run.end)) });
        }
    }
    std::sort(found.begin(), found.end(),
        [](const SeenStart& left, const SeenStart& right) { return left.startedAt < right.startedAt; });
    return found;
}

std::uint16_t SmallFleet::call(const std::string& address, Http::HttpRequest request, Core::Duration timeout)
{
    std::optional<std::uint16_t> status;
    Http::HttpConnection connection(this->context, address);
    connection.request(std::move(request), timeout,
        [&](const Core::Result<Http::HttpResponse>& answer) { status = answer ? answer.value().statusCode : 0; });
    while (!status)
        this->run(milliseconds(5));
    return *status;
}

}
