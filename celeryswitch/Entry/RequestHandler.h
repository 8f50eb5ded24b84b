#pragma once

#include "celeryswitch/Entry/EntryLinks.h"
#include "celeryswitch/Entry/JobRunner.h"
#include "celeryswitch/Entry/OwnershipClient.h"
#include "celeryswitch/Entry/Problem.h"
#include "celeryswitch/Entry/WaitingRequests.h"

namespace celeryswitch::Entry {

/// Answers requests of callers and of other entries: handles them if this entry owns their partition, else forwards
/// them to the owner or refuses them, and states whether their tasks may have run. Performs no I/O.
class RequestHandler {
public:
    RequestHandler(EntryContext& context, Ownership::JobTable& jobTable, Ownership::PartitionLeases& leases,
        OwnershipClient& ownership, JobRunner& jobRunner, EntryLinks& entryLinks);

    /// Handles a request of a caller or of another entry.
    void handle(const RequestOrigin& origin, CallerRequest request);
    /// Answers the requests that wait for a job, after it has ended.
    void jobFinished(const Core::JobId& jobId);
    /// Answers the requests that wait for jobs of a lost partition.
    void jobsDropped(const std::vector<Core::JobId>& jobIds);
    /// Handles the waiting requests of a partition, if it is held and ready.
    void partitionReady(Core::PartitionId partition);
    /// Handles or forwards the waiting requests of partitions whose acquisition has finished.
    void acquisitionEnded(const std::vector<Core::PartitionId>& partitions);
    /// Relays the answer to a forwarded request to its caller.
    void forwardAnswered(RequestId requestId, Messages::ForwardedAnswer answer);
    /// Answers a forwarded request that timed out or whose connection was lost.
    void forwardLost(RequestId requestId, Messages::JobOperation operation);
    /// Refuses all new submissions, as not run, from now on.
    void beginStop() { this->isStopping = true; }
    /// Answers requests whose deadline has passed, and retries those that wait for a partition's owner.
    void tick();
    /// Number of requests without an answer.
    std::size_t waitingCount() const
    {
        return this->jobWaiters.size() + this->awaitingOwner.size() + this->forwardedRequests.size();
    }

private:
    void handleOwned(const RequestOrigin& origin, CallerRequest request, Core::PartitionId partition);
    void handleSubmission(const RequestOrigin& origin, CallerRequest request, Core::PartitionId partition);
    void startJob(const RequestOrigin& origin, CallerRequest request, Core::PartitionId partition,
        const Core::JobId& jobId, const Ownership::Fingerprint& fingerprint);
    void handleNotOwned(const RequestOrigin& origin, CallerRequest request, Core::PartitionId partition);
    void waitForOwner(const RequestOrigin& origin, CallerRequest request, Core::PartitionId partition);
    /// Forwards the waiting requests of a partition to its owner. While the fleet view has no owner or the owner is not
    /// connected, they keep waiting until their deadline.
    void forwardAwaitingOwner(Core::PartitionId partition);
    void refuseOwnerUnavailable(const RequestAwaitingOwner& request);
    bool tryForward(const RequestOrigin& origin, const CallerRequest& request, Core::PartitionId partition);
    void refuseAsNotOwner(const RequestOrigin& origin, Messages::JobOperation operation, const std::string& detail);
    void refuse(const RequestOrigin& origin, Messages::JobOperation operation, Messages::TaskReason reason,
        const std::string& detail, std::uint32_t retryAfterSeconds);
    void answerOrWait(const RequestOrigin& origin, const CallerRequest& request, const Core::JobId& jobId);
    void answerJob(const RequestOrigin& origin, const Ownership::JobEntry& job, const std::string& path);
    void answer(const RequestOrigin& origin, Messages::ForwardedAnswer answer, std::string location = {});
    void answer(const RequestOrigin& origin, const Problem& problem);

    struct ForwardedRequest {
        // URL path of the job.
        std::string path;
        Core::PartitionId partition = 0;
    };
    struct JobWaiter {
        RequestOrigin origin;
        Core::JobId jobId;
        std::string path;
        Core::SteadyTime deadline {};
    };

    EntryContext& context;
    Ownership::JobTable& jobTable;
    Ownership::PartitionLeases& leases;
    OwnershipClient& ownership;
    JobRunner& jobRunner;
    EntryLinks& entryLinks;
    WaitingRequests<Core::JobId, JobWaiter> jobWaiters;
    WaitingRequests<Core::PartitionId, RequestAwaitingOwner> awaitingOwner;
    // Forwarded requests without an answer, by ID.
    std::unordered_map<RequestId, ForwardedRequest> forwardedRequests;
    bool isStopping = false;
};

}
