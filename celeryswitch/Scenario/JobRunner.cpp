#include "celeryswitch/Scenario/JobRunner.h"

#include <random>

namespace celeryswitch::Scenario {

namespace {

constexpr std::uint32_t waitMilliseconds = 5000;
constexpr std::chrono::seconds requestTimeout { 8 };
constexpr std::chrono::milliseconds retryInterval { 200 };

Load::JobName nameOf(const Messages::Submission& submission)
{
    return { submission.team, submission.caller, submission.idempotencyKey };
}

}

JobRunner::JobRunner(Core::Duration patience)
    : patience(patience)
    , runName(std::to_string(std::random_device()()))
{
}

JobRunner::~JobRunner()
{
    this->isStopped = true;
    for (std::thread& thread : this->threads)
        thread.join();
}

void JobRunner::submit(
    const std::string& job, const std::string& entryAddress, std::uint32_t tasks, std::int64_t serviceMilliseconds)
{
    Messages::Submission submission;
    submission.team = "scenario-team";
    submission.caller = "caller-" + job;
    submission.idempotencyKey = this->runName + "-" + job;
    submission.createdAt = Core::toUnixMilliseconds(std::chrono::system_clock::now());
    submission.service = "ordering";
    submission.kind = "kit-reservation";
    for (std::uint32_t index = 0; index < tasks; ++index)
        submission.tasks.push_back({ std::to_string(index),
            "{\"serviceMs\":" + std::to_string(serviceMilliseconds) + ",\"echo\":\"" + job + "-" + std::to_string(index)
                + "\"}" });
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->records[job].submission = std::move(submission);
    }
    this->send(job, entryAddress);
}

bool JobRunner::resubmit(const std::string& job, const std::string& entryAddress)
{
    if (!this->record(job))
        return false;
    this->send(job, entryAddress);
    return true;
}

bool JobRunner::cancel(const std::string& job, const std::string& entryAddress)
{
    const std::optional<JobRecord> found = this->record(job);
    return found && Http::httpCall(entryAddress, Load::cancelRequest(nameOf(found->submission), {}), requestTimeout);
}

std::optional<JobRecord> JobRunner::record(const std::string& job) const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->records.find(job);
    return found == this->records.end() ? std::nullopt : std::optional(found->second);
}

std::vector<std::string> JobRunner::jobs() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<std::string> names;
    for (const auto& [name, record] : this->records)
        names.push_back(name);
    return names;
}

void JobRunner::send(const std::string& job, const std::string& entryAddress)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    JobRecord& record = this->records[job];
    ++record.openRequests;
    this->threads.emplace_back([this, job, entryAddress, submission = record.submission] {
        this->follow(job, entryAddress, submission);
        const std::lock_guard<std::mutex> endLock(this->mutex);
        --this->records[job].openRequests;
    });
}

// Sends the submission again and again, always the same one, until the job has ended.
void JobRunner::follow(const std::string& job, const std::string& entryAddress, const Messages::Submission& submission)
{
    const Core::SteadyTime end
        = Core::BootClock::now() + std::chrono::duration_cast<Core::SteadyTime::duration>(this->patience);
    while (!this->isStopped && Core::BootClock::now() < end) {
        const Core::Result<Http::HttpResponse> http = Http::httpCall(entryAddress,
            Load::submitRequest(submission, waitMilliseconds, {}), requestTimeout, Load::longestJobAnswerBytes);
        if (!http) {
            this->note(job, http.error().message());
            std::this_thread::sleep_for(retryInterval);
            continue;
        }
        const Load::EntryAnswer answer = Load::parseAnswer(http.value());
        if (answer.meaning == Load::AnswerMeaning::Ended) {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->records[job].answers.push_back(answer.job);
            return;
        }
        this->note(job, std::string(Core::enumName(answer.meaning)) + " " + answer.reason);
        if (answer.meaning != Load::AnswerMeaning::Running)
            std::this_thread::sleep_for(retryInterval);
    }
}

void JobRunner::note(const std::string& job, const std::string& news)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->records[job].lastNews = news;
}

}
