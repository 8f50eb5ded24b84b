#include "celeryswitch/Experiment/LeasedWorkerModel.h"

#include <algorithm>
#include <cmath>

namespace celeryswitch::Experiment {

using Core::SteadyTime;
using Messages::RunEnd;
using Workers::CallRefusal;
using Workers::CallResult;
using Workers::CallStatus;

namespace {

// Maximum number of ended runs listed in one answer.
constexpr std::size_t maximumListedEnds = 500;

}

LeasedWorkerModel::LeasedWorkerModel(LeasedWorkerSettings settings, Planner planner, SteadyTime bornAt)
    : workerSettings(std::move(settings))
    , planner(std::move(planner))
    , startedAt(bornAt)
{
}

std::int64_t LeasedWorkerModel::clock(SteadyTime now) const
{
    const double milliseconds = std::chrono::duration<double, std::milli>(now - this->startedAt).count();
    return static_cast<std::int64_t>(std::floor(milliseconds * this->workerSettings.clockRate));
}

SteadyTime LeasedWorkerModel::timeOf(std::int64_t clock) const
{
    return this->startedAt
        + std::chrono::nanoseconds(
            static_cast<std::int64_t>(static_cast<double>(clock) * 1e6 / this->workerSettings.clockRate));
}

bool LeasedWorkerModel::acceptToken(std::uint64_t token)
{
    if (token < this->fencingToken)
        return false;
    this->fencingToken = token;
    return true;
}

void LeasedWorkerModel::extendLease(SteadyTime now, std::int64_t until)
{
    const std::int64_t maximum
        = std::chrono::duration_cast<std::chrono::milliseconds>(this->workerSettings.maximumLease).count();
    this->leaseEnd = std::max(this->leaseEnd, std::min(until, this->clock(now) + maximum));
}

CallResult LeasedWorkerModel::refuse(SteadyTime now, CallRefusal refusal) const
{
    CallResult result;
    result.status = CallStatus::Refused;
    result.refusal = refusal;
    result.clock = this->clock(now);
    return result;
}

std::optional<CallResult> LeasedWorkerModel::handle(
    SteadyTime now, const Workers::WorkerCall& call, std::uint64_t ticket)
{
    if (const auto* order = std::get_if<Workers::StartCall>(&call))
        return this->start(now, *order);
    if (const auto* order = std::get_if<Workers::StopCall>(&call))
        return this->stop(now, *order);
    const auto& hold = std::get<Workers::RenewLeaseCall>(call);
    if (!this->acceptToken(hold.fencingToken))
        return this->refuse(now, CallRefusal::Fence);
    if (hold.leaseEnd)
        this->extendLease(now, *hold.leaseEnd);
    this->acknowledgedEnds = std::max(this->acknowledgedEnds, hold.acknowledgedEnds);
    std::erase_if(
        this->ended, [&](const Workers::EndedRunRecord& row) { return row.number <= this->acknowledgedEnds; });
    if (hold.wait.count() <= 0 || !this->ended.empty())
        return this->listRuns(now);
    this->waiting.push_back({ ticket, now + hold.wait });
    return std::nullopt;
}

CallResult LeasedWorkerModel::start(SteadyTime now, const Workers::StartCall& call)
{
    if (!this->acceptToken(call.fencingToken))
        return this->refuse(now, CallRefusal::Fence);
    // A late start is taken as long as other calls have prolonged the lease.
    if (std::max(this->leaseEnd, call.leaseEnd) <= this->clock(now))
        return this->refuse(now, CallRefusal::Late);
    this->extendLease(now, call.leaseEnd);
    const auto found = this->running.find(call.task);
    CallResult accepted;
    accepted.status = CallStatus::Accepted;
    accepted.clock = this->clock(now);
    if (found != this->running.end() && this->runs[found->second.record].run == call.run)
        return accepted;
    const auto highest = this->highestEndedRun.find(call.task);
    if (found != this->running.end() || (highest != this->highestEndedRun.end() && call.run <= highest->second))
        return this->refuse(now, CallRefusal::Old);
    const RunPlan plan = this->planner(call.task, call.run);
    if (this->workerSettings.hasAdmissionControl && !plan.need.fits(this->workerSettings.capacity - this->usedRoom()))
        return this->refuse(now, CallRefusal::Room);
    const bool isStalled = plan.time <= Core::Duration::zero();
    RunRecord record;
    record.task = call.task;
    record.run = call.run;
    record.startedAt = now;
    record.workerId = this->workerSettings.workerId;
    record.bornAt = this->workerSettings.bornAt;
    record.labels = this->workerSettings.labels;
    record.isBeyondCapacity = !plan.need.fits(this->workerSettings.capacity - this->usedRoom());
    this->runs.push_back(std::move(record));
    this->running[call.task] = { this->runs.size() - 1, plan,
        isStalled ? SteadyTime::max() : now + std::chrono::duration_cast<SteadyTime::duration>(plan.time) };
    return accepted;
}

CallResult LeasedWorkerModel::stop(SteadyTime now, const Workers::StopCall& call)
{
    if (!this->acceptToken(call.fencingToken))
        return this->refuse(now, CallRefusal::Fence);
    std::uint32_t& highest = this->highestEndedRun[call.task];
    highest = std::max(highest, call.run);
    const auto found = this->running.find(call.task);
    if (found != this->running.end() && this->runs[found->second.record].run <= call.run)
        this->endRun(found, now, RunEnd::Stopped);
    CallResult accepted;
    accepted.status = CallStatus::Accepted;
    accepted.clock = this->clock(now);
    return accepted;
}

void LeasedWorkerModel::endRun(std::map<Messages::TaskId, ActiveRun>::iterator found, SteadyTime now, RunEnd end)
{
    RunRecord& record = this->runs[found->second.record];
    record.endedAt = now;
    record.end = end;
    std::uint32_t& highest = this->highestEndedRun[record.task];
    highest = std::max(highest, record.run);
    this->ended.push_back({ ++this->lastEndNumber, record.task, record.run, end });
    this->running.erase(found);
}

CallResult LeasedWorkerModel::listRuns(SteadyTime now) const
{
    CallResult result;
    result.status = CallStatus::Accepted;
    result.clock = this->clock(now);
    result.workerStartedAt = this->workerSettings.bornAt;
    for (const auto& [task, run] : this->running) {
        const RunRecord& record = this->runs[run.record];
        std::uint32_t percent = 0;
        if (run.plan.time > Core::Duration::zero())
            percent = static_cast<std::uint32_t>(std::min<double>(99,
                std::chrono::duration<double>(now - record.startedAt).count() * 100
                    / std::chrono::duration<double>(run.plan.time).count()));
        result.running.push_back({ task, record.run, percent, run.plan.need.milliCores });
    }
    result.ended.assign(this->ended.begin(),
        this->ended.begin() + static_cast<std::ptrdiff_t>(std::min(maximumListedEnds, this->ended.size())));
    return result;
}

std::vector<std::pair<std::uint64_t, CallResult>> LeasedWorkerModel::advance(SteadyTime now)
{
    const SteadyTime leaseExpiry = this->timeOf(this->leaseEnd);
    for (auto next = this->running.begin(); next != this->running.end();) {
        const auto found = next++;
        if (found->second.endsAt <= std::min(now, leaseExpiry))
            this->endRun(found, found->second.endsAt, found->second.plan.isFailing ? RunEnd::Failed : RunEnd::Done);
        else if (leaseExpiry <= now)
            this->endRun(found, leaseExpiry, RunEnd::Lapsed);
    }
    std::vector<std::pair<std::uint64_t, CallResult>> answers;
    std::erase_if(this->waiting, [&](const WaitingCall& order) {
        if (this->ended.empty() && now < order.until)
            return false;
        answers.emplace_back(order.ticket, this->listRuns(now));
        return true;
    });
    return answers;
}

SteadyTime LeasedWorkerModel::nextEventTime() const
{
    SteadyTime due = SteadyTime::max();
    for (const auto& [task, run] : this->running)
        due = std::min(due, std::min(run.endsAt, this->timeOf(this->leaseEnd)));
    for (const WaitingCall& order : this->waiting)
        due = std::min(due, order.until);
    return due;
}

Workers::WorkerAnnouncement LeasedWorkerModel::announcement(SteadyTime now)
{
    return { this->workerSettings.workerId, this->workerSettings.bornAt, this->workerSettings.service,
        this->workerSettings.capacity, this->workerSettings.labels, this->isDraining, this->clock(now),
        ++this->announcements };
}

void LeasedWorkerModel::terminate(SteadyTime now)
{
    this->advance(now);
    for (auto& [task, run] : this->running)
        this->runs[run.record].endedAt = now;
    this->running.clear();
    this->waiting.clear();
    this->alive = false;
}

Messages::Room LeasedWorkerModel::usedRoom() const
{
    Messages::Room room;
    for (const auto& [task, run] : this->running)
        room += run.plan.need;
    return room;
}

}
