#pragma once

#include "ExplorerLoop.h"
#include "celeryswitch/Entry/EntryEvents.h"
#include <memory>
#include <set>

namespace celeryswitch::Explorer {

/// What happened in schedules, to show that they reach the cases that matter.
struct Coverage {
    std::uint64_t starts = 0;
    std::uint64_t complete = 0;
    std::uint64_t failed = 0;
    std::uint64_t notRun = 0;
    std::uint64_t mayHaveRun = 0;
    std::uint64_t transfers = 0;
    std::uint64_t neverStartedTasks = 0;
    std::uint64_t unconfirmedTasks = 0;
};

/// Callers that submit, resubmit, fetch and cancel jobs, and check every answer and every start against the promises.
class Callers {
public:
    /// Sends a request to an entry; false when nothing listens there.
    using Sender = std::function<bool(std::uint32_t entry, const Entry::CallerRequest& request)>;

    Callers(Loop& loop, Coverage& coverage, std::uint32_t entryCount, Sender send);

    /// Plans jobs that are created until a time.
    void plan(Core::Duration until);
    /// An entry answers a request.
    void answered(const Entry::AnswerCaller& answer);
    /// An endpoint starts a task.
    void started(const Core::TaskKey& task);
    /// Body that the endpoint returns for a task.
    static std::string resultOf(const Core::TaskKey& task);

private:
    struct Attempt {
        // Tasks that the answer to this attempt says were not run.
        std::set<std::uint32_t> notRun;
    };
    struct Job {
        Messages::Submission submission;
        Core::JobId jobId;
        std::vector<Attempt> attempts;
        std::vector<std::uint32_t> starts;
    };
    struct Request {
        std::shared_ptr<Job> job;
        // Number of the attempt; -1 for Fetch and Cancel.
        int attempt = -1;
    };

    void create();
    void submit(const std::shared_ptr<Job>& job);
    void ask(const std::shared_ptr<Job>& job, Messages::JobOperation operation);
    void send(Request request, Messages::JobOperation operation);
    void checkJobAnswer(const Request& request, const std::string& body);
    void checkProblem(const Request& request, const std::string& body);
    static void checkClaims(const Job& job, std::uint32_t index);
    static std::string describe(const Job& job);

    Loop& loop;
    Coverage& coverage;
    std::uint32_t entryCount;
    Sender sender;
    std::map<Core::JobId, std::shared_ptr<Job>> jobs;
    std::map<Entry::RequestId, Request> pending;
    Entry::RequestId lastRequest = 0;
    std::uint32_t lastJob = 0;
    std::int64_t wallSkewMilliseconds;
};

}
