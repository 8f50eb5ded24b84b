#pragma once

#include "celeryswitch/Entry/Forwarding.h"
#include "celeryswitch/Entry/JobRunner.h"
#include "celeryswitch/Entry/OwnershipDriver.h"
#include "celeryswitch/Entry/Problem.h"
#include "celeryswitch/Entry/WaitingRequests.h"

namespace celeryswitch::Entry {

/// Answers the requests of callers and of other entries: handles them here, forwards them to the owner of their
/// partition, or refuses them truthfully. Pure.
class RequestHandler {
public:
    RequestHandler(EntryContext& context, Ownership::JobTable& table, Ownership::PartitionLeases& leases,
        OwnershipDriver& driver, JobRunner& runner, Forwarding& forwarding);

    /// Handles a request.
    void handle(const RequestOrigin& origin, CallerRequest request);
    /// Answers the requests that wait for a job that has ended.
    void jobFinished(const Core::JobId& jobId);
    /// Answers the requests that wait for jobs of a partition that was lost.
    void jobsDropped(const std::vector<Core::JobId>& jobIds);
    /// Handles the waiting requests of a partition again, if it is held and ready.
    void partitionReady(Core::PartitionId partition);
    /// Ends the wait for partitions whose acquisition has ended.
    void acquireEnded(const std::vector<Core::PartitionId>& partitions);
    /// Relays the answer to a forwarded request.
    void forwardAnswered(RequestId requestId, Messages::ForwardedAnswer answer);
    /// Answers a forwarded request whose answer was lost.
    void forwardLost(RequestId requestId, Messages::JobOperation operation);
    /// Refuses new submissions as not run from now on.
    void beginStop() { this->isStopping = true; }
    /// Answers requests whose wait is over.
    void tick();
    /// Requests that wait here.
    std::size_t waitingCount() const { return this->waiters.size() + this->parked.size() + this->forwarded.size(); }

private:
    void handleOwned(const RequestOrigin& origin, CallerRequest request, Core::PartitionId partition);
    void handleSubmission(const RequestOrigin& origin, CallerRequest request, Core::PartitionId partition);
    void startJob(const RequestOrigin& origin, CallerRequest request, Core::PartitionId partition,
        const Core::JobId& jobId, const Ownership::Fingerprint& fingerprint);
    void handleElsewhere(const RequestOrigin& origin, CallerRequest request, Core::PartitionId partition);
    void park(const RequestOrigin& origin, CallerRequest request, Core::PartitionId partition);
    /// Forwards what waits for a partition of another entry; what can't be forwarded yet, because the view does not
    /// name the owner or the connection is not open, waits on until its deadline.
    void forwardParked(Core::PartitionId partition);
    void refuseParked(const ParkedRequest& parked);
    bool tryForward(const RequestOrigin& origin, const CallerRequest& request, Core::PartitionId partition);
    void refuseAsNotOwner(const RequestOrigin& origin, Messages::JobOperation operation, const std::string& detail);
    void refuse(const RequestOrigin& origin, Messages::JobOperation operation, Messages::TaskReason reason,
        const std::string& detail, std::uint32_t retryAfterSeconds);
    void answerOrWait(const RequestOrigin& origin, const CallerRequest& request, const Core::JobId& jobId);
    void answerJob(const RequestOrigin& origin, const Ownership::JobEntry& job, const std::string& path);
    void answer(const RequestOrigin& origin, Messages::ForwardedAnswer answer, std::string location = {});
    void answer(const RequestOrigin& origin, const Problem& problem);

    struct Forwarded {
        // Path of the job.
        std::string path;
        Core::PartitionId partition = 0;
    };
    struct Waiter {
        RequestOrigin origin;
        Core::JobId jobId;
        std::string path;
        Core::SteadyTime deadline {};
    };

    EntryContext& context;
    Ownership::JobTable& table;
    Ownership::PartitionLeases& leases;
    OwnershipDriver& driver;
    JobRunner& runner;
    Forwarding& forwarding;
    WaitingRequests<Core::JobId, Waiter> waiters;
    WaitingRequests<Core::PartitionId, ParkedRequest> parked;
    // Requests that were forwarded and have no answer yet.
    std::unordered_map<RequestId, Forwarded> forwarded;
    bool isStopping = false;
};

}
