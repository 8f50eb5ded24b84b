#pragma once

#include "celeryswitch/Load/JobApiClient.h"
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace celeryswitch::Scenario {

/// A submission and every answer that its requests got.
struct JobRecord {
    Messages::Submission submission;
    /// Final answers (Ended), in the order of their arrival.
    std::vector<Messages::JobAnswer> answers;
    /// Requests that have no final answer yet.
    std::uint32_t openRequests = 0;
    /// Meaning of the last answer that was not final, or the reason of a lost request.
    std::string lastNews;
};

/// Submits, resubmits and cancels jobs in the background, each request on a thread of its own that asks again until the
/// job has ended.
class JobRunner {
public:
    /// `patience` is the time after which a request is given up.
    explicit JobRunner(Core::Duration patience);
    /// Waits for the requests; those without an answer end once `patience` is over.
    ~JobRunner();
    JobRunner(const JobRunner&) = delete;
    JobRunner& operator=(const JobRunner&) = delete;

    /// Submits a new job of `tasks` tasks that run for `serviceMilliseconds` each.
    void submit(
        const std::string& job, const std::string& entryAddress, std::uint32_t tasks, std::int64_t serviceMilliseconds);
    /// Sends the same submission to another entry; false when there is no such job.
    bool resubmit(const std::string& job, const std::string& entryAddress);
    /// Cancels a job; false when there is no such job or the entry did not answer.
    bool cancel(const std::string& job, const std::string& entryAddress);
    /// What is known of a job; nothing when there is no such job.
    std::optional<JobRecord> record(const std::string& job) const;
    /// Names of all jobs.
    std::vector<std::string> jobs() const;
    /// Ends the requests early.
    void stop() { this->isStopped = true; }

private:
    void send(const std::string& job, const std::string& entryAddress);
    void follow(const std::string& job, const std::string& entryAddress, const Messages::Submission& submission);
    void note(const std::string& job, const std::string& news);

    Core::Duration patience;
    std::string runName;
    std::atomic<bool> isStopped { false };
    mutable std::mutex mutex;
    std::map<std::string, JobRecord> records;
    std::vector<std::thread> threads;
};

}
