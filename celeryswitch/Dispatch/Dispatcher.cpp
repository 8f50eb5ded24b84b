#include "celeryswitch/Dispatch/Dispatcher.h"

#include <algorithm>
#include <deque>
#include <map>
#include <unordered_map>

namespace celeryswitch::Dispatch {

using Core::Duration;
using Core::JobId;
using Core::SteadyTime;
using Messages::TaskReason;

namespace {

// Delay before a task that was not run is queued again.
constexpr Duration retryDelay = std::chrono::milliseconds(20);
// Retry time given with a refusal for a full queue.
constexpr Duration queueFullRetry = std::chrono::seconds(1);

// A sidecar and the credits that this entry holds from it.
struct SidecarState {
    SidecarInfo info;
    std::uint32_t credits = 0;
    std::uint32_t recalled = 0;
    bool isDraining = false;
};

// A job with tasks that are not settled.
struct JobEntry {
    JobDescription description;
    std::deque<std::uint32_t> queued;
    std::uint32_t unsettled = 0;
};

}

/// State of the dispatcher.
class Dispatcher::Implementation {
public:
    /// Counts a task as settled and forgets its job with the last one.
    void settle(const JobId& jobId)
    {
        const auto found = this->jobs.find(jobId);
        if (found != this->jobs.end() && --found->second.unsettled == 0)
            this->jobs.erase(found);
    }
    /// Puts tasks whose backoff is over back into the queue.
    void releaseRetries(SteadyTime now)
    {
        while (!this->retries.empty() && this->retries.begin()->first <= now) {
            const Core::TaskKey task = this->retries.begin()->second;
            this->retries.erase(this->retries.begin());
            const auto found = this->jobs.find(task.jobId);
            if (found == this->jobs.end())
                continue;
            found->second.queued.push_back(task.taskIndex);
            this->order.push_front(task.jobId);
            ++this->queuedCount[found->second.description.service];
        }
    }
    /// Starts what the credits of one sidecar allow, first come first served.
    void startAt(SidecarState& sidecar, std::vector<Decision>& decisions)
    {
        for (auto next = this->order.begin(); next != this->order.end() && sidecar.credits > 0;) {
            const auto found = this->jobs.find(*next);
            if (found == this->jobs.end() || found->second.queued.empty()) {
                next = this->order.erase(next);
                continue;
            }
            JobEntry& job = found->second;
            if (job.description.service != sidecar.info.service) {
                ++next;
                continue;
            }
            StartDecision start { sidecar.info.sidecarId, job.description.jobId, {}, 0, {} };
            while (sidecar.credits > 0 && !job.queued.empty()) {
                start.taskIndexes.push_back(job.queued.front());
                job.queued.pop_front();
                --sidecar.credits;
                ++start.credits;
                --this->queuedCount[sidecar.info.service];
            }
            start.backlog.queuedTasks = this->queuedCount[sidecar.info.service];
            decisions.emplace_back(std::move(start));
        }
    }

    Configuration::ConfigurationDocument configuration;
    std::map<Core::InstanceId, SidecarState> sidecars;
    std::unordered_map<JobId, JobEntry> jobs;
    std::deque<JobId> order;
    std::multimap<SteadyTime, Core::TaskKey> retries;
    std::unordered_map<std::string, std::uint32_t> queuedCount;
};

Dispatcher::Dispatcher(DispatcherSettings settings)
    : implementation(std::make_unique<Implementation>())
{
    static_cast<void>(settings);
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::setConfiguration(Configuration::ConfigurationDocument document)
{
    this->implementation->configuration = std::move(document);
}

void Dispatcher::addSidecar(SteadyTime, const SidecarInfo& info)
{
    this->implementation->sidecars[info.sidecarId] = SidecarState { info, 0, 0, false };
}

void Dispatcher::removeSidecar(SteadyTime, const Core::InstanceId& sidecarId)
{
    this->implementation->sidecars.erase(sidecarId);
}

void Dispatcher::setDraining(SteadyTime, const Core::InstanceId& sidecarId, bool isDraining)
{
    const auto found = this->implementation->sidecars.find(sidecarId);
    if (found != this->implementation->sidecars.end())
        found->second.isDraining = isDraining;
}

void Dispatcher::creditsGranted(SteadyTime, const Core::InstanceId& sidecarId, std::uint32_t credits)
{
    const auto found = this->implementation->sidecars.find(sidecarId);
    if (found != this->implementation->sidecars.end())
        found->second.credits += credits;
}

void Dispatcher::creditsRecalled(SteadyTime, const Core::InstanceId& sidecarId, std::uint32_t credits)
{
    const auto found = this->implementation->sidecars.find(sidecarId);
    if (found != this->implementation->sidecars.end())
        found->second.recalled += credits;
}

AdmissionVerdict Dispatcher::submit(SteadyTime, const JobDescription& job)
{
    Implementation& state = *this->implementation;
    const bool isServed = std::any_of(state.sidecars.begin(), state.sidecars.end(),
        [&](const auto& sidecar) { return sidecar.second.info.service == job.service; });
    if (!isServed)
        return { false, TaskReason::NoSuchService, {} };
    const auto limit
        = state.configuration.value(Configuration::ConfigurationKey::QueuedTasksLimit, { .service = job.service });
    if (state.queuedCount[job.service] + std::int64_t(job.taskCount) > limit)
        return { false, TaskReason::QueueFull, queueFullRetry };
    JobEntry entry { job, {}, job.taskCount };
    for (std::uint32_t index = 0; index < job.taskCount; ++index)
        entry.queued.push_back(index);
    state.queuedCount[job.service] += job.taskCount;
    state.jobs.emplace(job.jobId, std::move(entry));
    state.order.push_back(job.jobId);
    return {};
}

void Dispatcher::taskFinished(SteadyTime, const Core::InstanceId&, const JobId& jobId, const Messages::TaskResult&)
{
    this->implementation->settle(jobId);
}

bool Dispatcher::taskNotRun(SteadyTime now, const Core::InstanceId&, const Core::TaskKey& task, TaskReason reason)
{
    Implementation& state = *this->implementation;
    if (!state.jobs.contains(task.jobId))
        return false;
    if (reason == TaskReason::Cancelled || reason == TaskReason::Revoked) {
        state.settle(task.jobId);
        return false;
    }
    state.retries.emplace(now + retryDelay, task);
    return true;
}

std::vector<std::uint32_t> Dispatcher::cancelJob(SteadyTime, const JobId& jobId)
{
    Implementation& state = *this->implementation;
    const auto found = state.jobs.find(jobId);
    if (found == state.jobs.end())
        return {};
    JobEntry& job = found->second;
    std::vector<std::uint32_t> cancelled(job.queued.begin(), job.queued.end());
    state.queuedCount[job.description.service] -= static_cast<std::uint32_t>(cancelled.size());
    for (auto next = state.retries.begin(); next != state.retries.end();) {
        if (next->second.jobId == jobId) {
            cancelled.push_back(next->second.taskIndex);
            next = state.retries.erase(next);
        } else
            ++next;
    }
    job.queued.clear();
    job.unsettled -= static_cast<std::uint32_t>(cancelled.size());
    if (job.unsettled == 0)
        state.jobs.erase(found);
    return cancelled;
}

void Dispatcher::teamUsageReceived(SteadyTime, const Core::InstanceId&, const Messages::TeamUsage&) { }

Messages::TeamUsage Dispatcher::takeTeamUsage(SteadyTime) { return {}; }

std::vector<Decision> Dispatcher::poll(SteadyTime now)
{
    Implementation& state = *this->implementation;
    std::vector<Decision> decisions;
    state.releaseRetries(now);
    for (auto& [sidecarId, sidecar] : state.sidecars) {
        if (!sidecar.isDraining)
            state.startAt(sidecar, decisions);
        const std::uint32_t returned = std::min(sidecar.credits, sidecar.recalled);
        if (returned > 0) {
            sidecar.credits -= returned;
            decisions.emplace_back(CreditReturnDecision { sidecarId, returned, this->backlog(sidecar.info.service) });
        }
        sidecar.recalled = 0;
    }
    return decisions;
}

std::optional<SteadyTime> Dispatcher::nextWakeUp() const
{
    const Implementation& state = *this->implementation;
    if (state.retries.empty())
        return std::nullopt;
    return state.retries.begin()->first;
}

Messages::Backlog Dispatcher::backlog(const std::string& service) const
{
    const auto found = this->implementation->queuedCount.find(service);
    return { found == this->implementation->queuedCount.end() ? 0 : found->second, 0 };
}

}
