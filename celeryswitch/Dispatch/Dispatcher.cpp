#include "celeryswitch/Dispatch/Dispatcher.h"

#include "celeryswitch/Dispatch/DispatcherState.h"

namespace celeryswitch::Dispatch {

using Core::SteadyTime;

Dispatcher::Dispatcher(DispatcherSettings settings)
    : state(std::make_unique<DispatcherState>(std::move(settings)))
{
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::setConfiguration(Configuration::ConfigurationDocument document)
{
    this->state->setConfiguration(std::move(document));
}

void Dispatcher::addSidecar(SteadyTime now, const SidecarInfo& info) { this->state->addSidecar(now, info); }

void Dispatcher::removeSidecar(SteadyTime, const Core::InstanceId& sidecarId)
{
    if (const auto sidecar = this->state->find(sidecarId))
        this->state->removeSidecar(*sidecar);
}

void Dispatcher::setDraining(SteadyTime now, const Core::InstanceId& sidecarId, bool isDraining)
{
    const auto sidecar = this->state->find(sidecarId);
    if (!sidecar)
        return;
    this->state->sidecars[*sidecar].isDraining = isDraining;
    this->state->updateUsability(now, *sidecar);
}

void Dispatcher::creditsGranted(SteadyTime now, const Core::InstanceId& sidecarId, std::uint32_t credits)
{
    if (const auto sidecar = this->state->find(sidecarId))
        this->state->sidecars[*sidecar].service->ledger.grant(now, *sidecar, credits);
}

void Dispatcher::creditsRecalled(SteadyTime, const Core::InstanceId& sidecarId, std::uint32_t credits)
{
    const auto sidecar = this->state->find(sidecarId);
    if (!sidecar)
        return;
    this->state->sidecars[*sidecar].recalled += credits;
    this->state->recallingSidecars.push_back(*sidecar);
}

AdmissionResult Dispatcher::submit(SteadyTime now, const JobDescription& job) { return this->state->submit(now, job); }

void Dispatcher::taskFinished(
    SteadyTime now, const Core::InstanceId& sidecarId, const Core::JobId& jobId, const Messages::TaskResult& result)
{
    this->state->taskFinished(now, this->state->find(sidecarId), jobId, result);
}

bool Dispatcher::taskNotRun(
    SteadyTime now, const Core::InstanceId& sidecarId, const Core::TaskKey& task, Messages::TaskReason reason)
{
    return this->state->taskNotRun(now, this->state->find(sidecarId), task, reason);
}

std::vector<std::uint32_t> Dispatcher::cancelJob(SteadyTime, const Core::JobId& jobId)
{
    return this->state->cancelJob(jobId);
}

void Dispatcher::teamUsageReceived(SteadyTime now, const Core::InstanceId& entryId, const Messages::TeamUsage& usage)
{
    this->state->quota.usageReceived(now, entryId, usage);
}

Messages::TeamUsage Dispatcher::takeTeamUsage(SteadyTime now) { return this->state->quota.takeUsage(now); }

std::vector<Decision> Dispatcher::poll(SteadyTime now) { return this->state->poll(now); }

std::optional<SteadyTime> Dispatcher::nextWakeUp() const { return this->state->nextWakeUp(); }

Messages::Backlog Dispatcher::backlog(const std::string& service) const
{
    const auto found = this->state->services.find(service);
    return found == this->state->services.end() ? Messages::Backlog {}
                                                : this->state->backlogOf(this->state->polledAt, found->second);
}

EndpointHealth Dispatcher::health(const Core::InstanceId& sidecarId) const
{
    const auto sidecar = this->state->find(sidecarId);
    return sidecar ? this->state->detector.health(*sidecar) : EndpointHealth::Active;
}

}
