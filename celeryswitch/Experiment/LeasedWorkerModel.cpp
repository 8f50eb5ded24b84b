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

// Ends that one answer lists.
constexpr std::size_t listedEnds = 500;

}

LeasedWorkerModel::LeasedWorkerModel(LeasedWorkerSettings settings, Planner planner, SteadyTime bornAt)
    : fixed(std::move(settings))
    , planner(std::move(planner))
    , born(bornAt)
{
}

std::int64_t LeasedWorkerModel::clock(SteadyTime now) const
{
    const double milliseconds = std::chrono::duration<double, std::milli>(now - this->born).count();
    return static_cast<std::int64_t>(std::floor(milliseconds * this->fixed.clockRate));
}

SteadyTime LeasedWorkerModel::timeOf(std::int64_t clock) const
{
    return this->born
        + std::chrono::nanoseconds(static_cast<std::int64_t>(static_cast<double>(clock) * 1e6 / this->fixed.clockRate));
}

bool LeasedWorkerModel::takeToken(std::uint64_t token)
{
    if (token < this->fencingToken)
        return false;
    this->fencingToken = token;
    return true;
}

void LeasedWorkerModel::extendLease(SteadyTime now, std::int64_t until)
{
    const std::int64_t longest
        = std::chrono::duration_cast<std::chrono::milliseconds>(this->fixed.longestLease).count();
    this->leaseEnd = std::max(this->leaseEnd, std::min(until, this->clock(now) + longest));
}

CallResult LeasedWorkerModel::refused(SteadyTime now, CallRefusal refusal) const
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
    if (!this->takeToken(hold.fencingToken))
        return this->refused(now, CallRefusal::Fence);
    if (hold.leaseEnd)
        this->extendLease(now, *hold.leaseEnd);
    this->notedEnds = std::max(this->notedEnds, hold.acknowledgedEnds);
    std::erase_if(this->ended, [&](const Workers::EndedRunRecord& row) { return row.number <= this->notedEnds; });
    if (hold.wait.count() <= 0 || !this->ended.empty())
        return this->lists(now);
    this->waiting.push_back({ ticket, now + hold.wait });
    return std::nullopt;
}

CallResult LeasedWorkerModel::start(SteadyTime now, const Workers::StartCall& call)
{
    if (!this->takeToken(call.fencingToken))
        return this->refused(now, CallRefusal::Fence);
    if (call.leaseEnd <= this->clock(now))
        return this->refused(now, CallRefusal::Late);
    this->extendLease(now, call.leaseEnd);
    const auto found = this->running.find(call.task);
    CallResult accepted;
    accepted.status = CallStatus::Accepted;
    accepted.clock = this->clock(now);
    if (found != this->running.end() && this->runs[found->second.history].run == call.run)
        return accepted;
    const auto highest = this->highestEnded.find(call.task);
    if (found != this->running.end() || (highest != this->highestEnded.end() && call.run <= highest->second))
        return this->refused(now, CallRefusal::Old);
    const RunPlan plan = this->planner(call.task, call.run);
    if (this->fixed.hasAdmissionControl && !plan.need.fits(this->fixed.capacity - this->used()))
        return this->refused(now, CallRefusal::Room);
    const bool isStalled = plan.time <= Core::Duration::zero();
    this->runs.push_back({ call.task, call.run, now });
    this->running[call.task] = { this->runs.size() - 1, plan,
        isStalled ? SteadyTime::max() : now + std::chrono::duration_cast<SteadyTime::duration>(plan.time) };
    return accepted;
}

CallResult LeasedWorkerModel::stop(SteadyTime now, const Workers::StopCall& call)
{
    if (!this->takeToken(call.fencingToken))
        return this->refused(now, CallRefusal::Fence);
    std::uint32_t& highest = this->highestEnded[call.task];
    highest = std::max(highest, call.run);
    const auto found = this->running.find(call.task);
    if (found != this->running.end() && this->runs[found->second.history].run <= call.run)
        this->endRun(found, now, RunEnd::Stopped);
    CallResult accepted;
    accepted.status = CallStatus::Accepted;
    accepted.clock = this->clock(now);
    return accepted;
}

void LeasedWorkerModel::endRun(std::map<Messages::TaskId, Running>::iterator found, SteadyTime now, RunEnd end)
{
    RunHistory& history = this->runs[found->second.history];
    history.endedAt = now;
    history.end = end;
    std::uint32_t& highest = this->highestEnded[history.task];
    highest = std::max(highest, history.run);
    this->ended.push_back({ ++this->lastEnd, history.task, history.run, end });
    this->running.erase(found);
}

CallResult LeasedWorkerModel::lists(SteadyTime now) const
{
    CallResult result;
    result.status = CallStatus::Accepted;
    result.clock = this->clock(now);
    result.workerStartedAt = this->fixed.bornAt;
    for (const auto& [task, run] : this->running) {
        const RunHistory& history = this->runs[run.history];
        std::uint32_t percent = 0;
        if (run.plan.time > Core::Duration::zero())
            percent = static_cast<std::uint32_t>(std::min<double>(99,
                std::chrono::duration<double>(now - history.startedAt).count() * 100
                    / std::chrono::duration<double>(run.plan.time).count()));
        result.running.push_back({ task, history.run, percent, run.plan.need.milliCores });
    }
    result.ended.assign(this->ended.begin(),
        this->ended.begin() + static_cast<std::ptrdiff_t>(std::min(listedEnds, this->ended.size())));
    return result;
}

std::vector<std::pair<std::uint64_t, CallResult>> LeasedWorkerModel::advance(SteadyTime now)
{
    const SteadyTime lapse = this->timeOf(this->leaseEnd);
    for (auto next = this->running.begin(); next != this->running.end();) {
        const auto found = next++;
        if (found->second.endsAt <= std::min(now, lapse))
            this->endRun(found, found->second.endsAt, found->second.plan.isFailing ? RunEnd::Failed : RunEnd::Done);
        else if (lapse <= now)
            this->endRun(found, lapse, RunEnd::Lapsed);
    }
    std::vector<std::pair<std::uint64_t, CallResult>> answers;
    std::erase_if(this->waiting, [&](const Waiting& order) {
        if (this->ended.empty() && now < order.until)
            return false;
        answers.emplace_back(order.ticket, this->lists(now));
        return true;
    });
    return answers;
}

SteadyTime LeasedWorkerModel::nextChange() const
{
    SteadyTime due = SteadyTime::max();
    for (const auto& [task, run] : this->running)
        due = std::min(due, std::min(run.endsAt, this->timeOf(this->leaseEnd)));
    for (const Waiting& order : this->waiting)
        due = std::min(due, order.until);
    return due;
}

Workers::WorkerAnnouncement LeasedWorkerModel::announcement(SteadyTime now)
{
    return { this->fixed.workerId, this->fixed.bornAt, this->fixed.service, this->fixed.capacity, this->fixed.labels,
        this->isDraining, this->clock(now), ++this->announcements };
}

void LeasedWorkerModel::die(SteadyTime now)
{
    this->advance(now);
    for (auto& [task, run] : this->running)
        this->runs[run.history].endedAt = now;
    this->running.clear();
    this->waiting.clear();
    this->alive = false;
}

Messages::Room LeasedWorkerModel::used() const
{
    Messages::Room room;
    for (const auto& [task, run] : this->running)
        room += run.plan.need;
    return room;
}

}
