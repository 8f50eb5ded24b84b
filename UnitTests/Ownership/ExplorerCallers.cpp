#include "ExplorerCallers.h"

#include <algorithm>
#include <boost/json.hpp>

namespace celeryswitch::Explorer {

using Messages::JobOperation;

Callers::Callers(Loop& loop, Coverage& coverage, std::uint32_t entryCount, Sender send)
    : loop(loop)
    , coverage(coverage)
    , entryCount(entryCount)
    , sender(std::move(send))
    , wallSkewMilliseconds(std::int64_t(loop.choose(4001)) - 2000)
{
}

void Callers::plan(Core::Duration until)
{
    for (Core::Duration time = this->loop.span(0, 500); time < until; time += this->loop.span(50, 1500))
        this->loop.after(time, [this] { this->create(); });
}

void Callers::create()
{
    auto job = std::make_shared<Job>();
    Messages::Submission& submission = job->submission;
    submission.team = "team";
    submission.caller = this->loop.choose(2) == 0 ? "first" : "second";
    submission.idempotencyKey = "key-" + std::to_string(++this->lastJob);
    submission.createdAt = 1'700'000'000'000 + this->wallSkewMilliseconds
        + std::chrono::duration_cast<std::chrono::milliseconds>(this->loop.now).count();
    submission.service = "service";
    submission.kind = "kind";
    const std::uint32_t taskCount = 1 + this->loop.choose(4);
    for (std::uint32_t index = 0; index < taskCount; ++index)
        submission.tasks.push_back({ "task-" + std::to_string(index), "payload" });
    job->jobId = Core::makeJobId(submission.team, submission.caller, submission.idempotencyKey);
    job->starts.resize(taskCount);
    this->jobs[job->jobId] = job;
    this->submit(job);
    if (this->loop.happens(150))
        this->loop.after(this->loop.span(0, 1000), [this, job] { this->ask(job, JobOperation::Cancel); });
    if (this->loop.happens(150))
        this->loop.after(this->loop.span(0, 9000), [this, job] { this->ask(job, JobOperation::Fetch); });
}

void Callers::submit(const std::shared_ptr<Job>& job)
{
    job->attempts.emplace_back();
    this->send({ job, static_cast<int>(job->attempts.size()) - 1 }, JobOperation::Submit);
    // A caller that believes its job lost sends it again, unchanged, to any entry.
    if (job->attempts.size() < 6 && this->loop.happens(600))
        this->loop.after(this->loop.span(0, 7000), [this, job] { this->submit(job); });
}

void Callers::ask(const std::shared_ptr<Job>& job, JobOperation operation) { this->send({ job, -1 }, operation); }

void Callers::send(Request request, JobOperation operation)
{
    Entry::CallerRequest message { ++this->lastRequest, operation, this->loop.choose(4) * 1500 };
    message.submission = request.job->submission;
    if (operation != JobOperation::Submit)
        message.submission.tasks.clear();
    this->pending.emplace(message.requestId, std::move(request));
    this->loop.after(this->loop.span(0, 50), [this, message] {
        if (this->sender(this->loop.choose(this->entryCount), message))
            return;
        // An attempt that reached no entry can't have run.
        const Request lost = this->pending.at(message.requestId);
        this->pending.erase(message.requestId);
        for (std::uint32_t index = 0; lost.attempt >= 0 && index < lost.job->starts.size(); ++index)
            lost.job->attempts[static_cast<std::size_t>(lost.attempt)].notRun.insert(index);
    });
}

void Callers::answered(const Entry::AnswerCaller& answer)
{
    const auto found = this->pending.find(answer.answer.requestId);
    if (found == this->pending.end())
        throw Violation("an answer to a request that nobody waits for");
    const Request request = std::move(found->second);
    this->pending.erase(found);
    if (answer.answer.statusCode == 200 || answer.answer.statusCode == 202)
        this->checkJobAnswer(request, answer.answer.body);
    else
        this->checkProblem(request, answer.answer.body);
}

void Callers::checkJobAnswer(const Request& request, const std::string& body)
{
    Job& job = *request.job;
    const boost::json::object answer = boost::json::parse(body).as_object();
    if (answer.at("jobId").as_string() != Core::toString(job.jobId))
        throw Violation("a caller received the answer of another job: " + describe(job));
    const auto state = answer.at("state").as_string();
    if (state == "running")
        return;
    const boost::json::array& tasks = answer.at("tasks").as_array();
    if (tasks.size() != job.starts.size())
        throw Violation("a partial answer: " + describe(job));
    std::map<std::string, std::int64_t> sums;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        const boost::json::object& task = tasks[index].as_object();
        const std::string outcome(task.at("outcome").as_string());
        ++sums[outcome];
        const bool hasResult = outcome == "succeeded" || outcome == "failed";
        if (hasResult && job.starts[index] == 0)
            throw Violation("a result of a task that never started: " + describe(job));
        if (state == "complete"
            && (!hasResult || std::string(task.at("body").as_string()) != resultOf({ job.jobId, index })))
            throw Violation("a complete answer without the task's own result: " + describe(job));
        if (outcome == "never-started" && request.attempt >= 0) {
            ++this->coverage.neverStartedTasks;
            job.attempts[static_cast<std::size_t>(request.attempt)].notRun.insert(index);
            checkClaims(job, index);
        }
    }
    const boost::json::object& answered = answer.at("sums").as_object();
    const bool areSumsRight = answered.at("submitted").as_int64() == std::int64_t(tasks.size())
        && answered.at("succeeded").as_int64() == sums["succeeded"]
        && answered.at("failed").as_int64() == sums["failed"]
        && answered.at("unconfirmed").as_int64() == sums["unconfirmed"]
        && answered.at("neverStarted").as_int64() == sums["never-started"];
    if (!areSumsRight)
        throw Violation("sums that do not agree with the tasks: " + describe(job));
    this->coverage.unconfirmedTasks += static_cast<std::uint64_t>(sums["unconfirmed"]);
    ++(state == "complete" ? this->coverage.complete : this->coverage.failed);
}

void Callers::checkProblem(const Request& request, const std::string& body)
{
    const boost::json::object problem = boost::json::parse(body).as_object();
    const auto execution = problem.at("execution").as_string();
    if (execution == "may-have-run")
        ++this->coverage.mayHaveRun;
    if (execution != "not-run" || request.attempt < 0)
        return;
    ++this->coverage.notRun;
    Job& job = *request.job;
    for (std::uint32_t index = 0; index < job.starts.size(); ++index) {
        job.attempts[static_cast<std::size_t>(request.attempt)].notRun.insert(index);
        checkClaims(job, index);
    }
}

void Callers::started(const Core::TaskKey& task)
{
    Job& job = *this->jobs.at(task.jobId);
    ++this->coverage.starts;
    if (++job.starts[task.taskIndex] > 1)
        throw Violation("task " + std::to_string(task.taskIndex) + " started twice: " + describe(job));
    checkClaims(job, task.taskIndex);
}

// A started task needs an attempt that was not answered with "not run".
void Callers::checkClaims(const Job& job, std::uint32_t index)
{
    const bool isDenied = std::all_of(job.attempts.begin(), job.attempts.end(),
        [&](const Attempt& attempt) { return attempt.notRun.contains(index); });
    if (isDenied && job.starts[index] > 0)
        throw Violation("task " + std::to_string(index) + " ran, but every answer says not run: " + describe(job));
}

std::string Callers::describe(const Job& job)
{
    return job.submission.idempotencyKey + " with " + std::to_string(job.attempts.size()) + " attempts";
}

std::string Callers::resultOf(const Core::TaskKey& task)
{
    return Core::toString(task.jobId) + ":" + std::to_string(task.taskIndex);
}

}
