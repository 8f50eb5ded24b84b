// Reservations of room for tasks that have to wait, and the offers that sidecars answer them with.
#include "celeryswitch/Scheduling/JobScheduler.h"

#include "celeryswitch/Scheduling/SchedulerTime.h"
#include <algorithm>

namespace celeryswitch::Scheduling {

using Core::SteadyTime;

void JobScheduler::reserveRoom(
    SteadyTime now, Job& job, std::uint32_t stepIndex, const Placement& placement, const PlacementRequest& request)
{
    WorkerView& worker = this->workerTable.at(placement.sidecar);
    Messages::ReserveRoom reserve;
    reserve.sequence = ++worker.lastSequence;
    reserve.clockEcho = worker.clockEcho;
    reserve.reservation = ++this->lastReservation;
    reserve.need = request.need;
    reserve.units = placement.count;
    reserve.alternatives = request.reservationsPerTask;
    reserve.rank = request.rank;
    reserve.startWithinMicroseconds = static_cast<std::int64_t>(request.maximumWaitSeconds * 1e6);
    // On average each task uses one of its reservations.
    Room expectedUse = request.need * static_cast<std::int64_t>(placement.count);
    expectedUse.milliCores /= reserve.alternatives;
    expectedUse.memoryMegabytes /= reserve.alternatives;
    worker.addOrder({ reserve.sequence, expectedUse, now, sizeof(Messages::ReserveRoom) });
    this->lastSentAt[placement.sidecar] = now;
    job.reservations.push_back({ reserve.reservation, placement.sidecar, stepIndex, placement.count,
        addSeconds(now, request.maximumWaitSeconds), request.rank, worker.profile.bornAt });
    ++job.steps[stepIndex].reservations;
    this->changeRecords(job, 0, JobBudget::reservationBytes);
    this->noteDue(job);
    this->reservationJobs[reserve.reservation] = job.specification.id;
    this->trace(now, job, "room reserved",
        { { "job", Messages::jobText(job.specification.id) }, { "sidecar", placement.sidecar },
            { "reservation", reserve.reservation }, { "units", placement.count },
            { "expected_wait_ms", static_cast<std::int64_t>(placement.waitSeconds * 1000) },
            { "longest_wait_ms", static_cast<std::int64_t>(request.maximumWaitSeconds * 1000) } });
    this->actions.push_back(SendToSidecar { placement.sidecar, std::move(reserve) });
}

void JobScheduler::roomOffered(const Core::InstanceId& sidecar, const Messages::RoomOffer& offer)
{
    this->offers.emplace_back(sidecar, offer.reservation);
}

void JobScheduler::answerOffers(SteadyTime now)
{
    for (const auto& [sidecar, number] : std::exchange(this->offers, {}))
        this->answerOffer(now, sidecar, number);
}

void JobScheduler::answerOffer(SteadyTime now, const Core::InstanceId& sidecar, std::uint64_t number)
{
    const auto known = this->workerTable.find(sidecar);
    if (known == this->workerTable.end())
        return;
    WorkerView& worker = known->second;
    const auto owner = this->reservationJobs.find(number);
    Job* job = owner != this->reservationJobs.end() ? &this->jobs.at(owner->second) : nullptr;
    const auto reservation = job ? std::find_if(job->reservations.begin(), job->reservations.end(),
                                 [&](const Reservation& each) { return each.number == number; })
                                 : std::vector<Reservation>::iterator {};
    // A sidecar that took the address of another one may be reached as both of them.
    if (!job || reservation->sidecar != sidecar || reservation->units == 0 || now >= reservation->until
        || !worker.isUsable() || reservation->bornAt != worker.profile.bornAt
        || job->steps[reservation->step].tasks.waiting() == 0) {
        this->actions.push_back(SendToSidecar { sidecar, Messages::ReleaseRoom { worker.clockEcho, { number } } });
        return;
    }
    const std::uint32_t stepIndex = reservation->step;
    --reservation->units;
    Messages::StartReserved reserved { number, this->startOrder(now, *job, stepIndex, worker, 1) };
    reserved.start.rank = reservation->rank;
    this->recordOrder(now, *job, worker, reserved.start, 0);
    this->actions.push_back(SendToSidecar { sidecar, std::move(reserved) });
    if (job->steps[stepIndex].tasks.waiting() == 0)
        this->releaseReservations(*job, stepIndex);
}

void JobScheduler::releaseReservations(Job& job, std::optional<std::uint32_t> stepIndex)
{
    const auto isReleased
        = [&](const Reservation& reservation) { return !stepIndex || reservation.step == *stepIndex; };
    std::map<Core::InstanceId, Messages::ReleaseRoom> releases;
    for (const Reservation& reservation : job.reservations) {
        if (isReleased(reservation))
            releases[reservation.sidecar].reservations.push_back(reservation.number);
    }
    this->forgetReservations(job, isReleased);
    for (auto& [sidecar, release] : releases) {
        release.clockEcho = this->workerTable[sidecar].clockEcho;
        this->actions.push_back(SendToSidecar { sidecar, std::move(release) });
    }
}

void JobScheduler::forgetReservations(Job& job, const std::function<bool(const Reservation&)>& isDropped)
{
    const std::size_t dropped = std::erase_if(job.reservations, [&](const Reservation& reservation) {
        if (!isDropped(reservation))
            return false;
        this->reservationJobs.erase(reservation.number);
        --job.steps[reservation.step].reservations;
        return true;
    });
    if (dropped == 0)
        return;
    this->changeRecords(job, dropped * JobBudget::reservationBytes, 0);
    job.placeInFullAt = {};
    this->noteDue(job);
}

void JobScheduler::forgetExpiredReservations(SteadyTime now)
{
    this->workDone.jobsVisited += this->waitingJobs.size();
    for (const StepJobId& id : this->waitingJobs) {
        const auto found = this->jobs.find(id);
        if (found == this->jobs.end() || found->second.reservations.empty())
            continue;
        const std::size_t before = found->second.reservations.size();
        this->forgetReservations(
            found->second, [now](const Reservation& reservation) { return now >= reservation.until; });
        this->isPlacementDue = this->isPlacementDue || found->second.reservations.size() != before;
    }
}

void JobScheduler::forgetReservationsAt(const Core::InstanceId& sidecar)
{
    for (const StepJobId& id : this->waitingJobs) {
        if (const auto found = this->jobs.find(id); found != this->jobs.end())
            this->forgetReservations(
                found->second, [&](const Reservation& reservation) { return reservation.sidecar == sidecar; });
    }
    this->isPlacementDue = true;
}

}
