#include "celeryswitch/Load/LoadWorker.h"

#include "celeryswitch/Load/JobCheck.h"
#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <random>

namespace celeryswitch::Load {

namespace {

namespace asio = boost::asio;

// Time that one request waits for a job's end; longer jobs are fetched again.
constexpr std::uint32_t waitMilliseconds = 20'000;
// Time after the asked wait in which the answer has to arrive.
constexpr std::chrono::seconds answerMargin { 5 };
// Open requests of one thread; more would measure this tool and not the fleet.
constexpr std::size_t maximumOpenRequests = 4000;

using LoadJobPointer = std::shared_ptr<LoadJob>;

}

class LoadWorker::Implementation {
public:
    Implementation(const LoadSettings& settings, std::uint32_t index, const std::atomic<bool>& stop)
        : settings(settings)
        , index(index)
        , stop(stop)
        , generator(
              settings.workload, settings.phases, settings.slots, 1.0 / settings.threads, settings.seed * 1000 + index)
        , jitter(static_cast<std::uint32_t>(settings.seed * 1000 + index))
        , arrivalTimer(this->context)
        , idle(settings.entries.size())
        // Keys must not repeat between runs, because the entries remember them.
        , runName(std::to_string(std::random_device()()))
    {
        this->tally.kinds.resize(settings.workload.kinds.size());
    }

    LoadTally run()
    {
        this->start = Core::BootClock::now();
        this->planNext();
        this->context.run();
        return std::move(this->tally);
    }

private:
    using Connection = std::unique_ptr<Http::HttpConnection>;

    void planNext()
    {
        std::optional<PlannedJob> planned = this->generator.next();
        if (!planned || this->stop)
            return;
        this->arrivalTimer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(
            this->start + planned->at - Core::BootClock::now()));
        this->arrivalTimer.async_wait([this, planned = std::move(*planned)](boost::system::error_code error) {
            if (error || this->stop)
                return;
            this->submit(planned);
            this->planNext();
        });
    }

    void submit(const PlannedJob& planned)
    {
        const std::string name
            = this->runName + "-" + std::to_string(this->index) + "-" + std::to_string(++this->jobCount);
        const std::uint32_t callersHere = std::max<std::uint32_t>(1, this->settings.callers / this->settings.threads);
        const std::uint32_t caller
            = this->index + this->settings.threads * static_cast<std::uint32_t>(this->jobCount % callersHere);
        const auto job = std::make_shared<LoadJob>(
            makeJob(this->settings, planned, caller, name, Core::toUnixMilliseconds(std::chrono::system_clock::now())));
        job->plannedAt = this->start + planned.at;
        KindTally& kind = this->tally.kinds[job->kind];
        ++kind.jobs;
        kind.submittedTasks += job->echoes.size();
        if (this->openRequests >= maximumOpenRequests)
            return countAll(*job, Messages::TaskOutcome::NeverStarted, "load-tool-full", this->tally);
        this->send(job, true);
    }

    void send(const LoadJobPointer& job, bool isSubmission)
    {
        ++job->attempts;
        ++this->openRequests;
        const JobName name { job->submission.team, job->submission.caller, job->submission.idempotencyKey };
        Http::HttpRequest request = isSubmission
            ? submitRequest(job->submission, waitMilliseconds, this->settings.token)
            : fetchRequest(name, waitMilliseconds, this->settings.token);
        const std::size_t entry = job->entry;
        Connection connection = this->take(entry);
        Http::HttpConnection* open = connection.get();
        const auto timeout = std::chrono::milliseconds(waitMilliseconds) + answerMargin;
        open->request(std::move(request), timeout,
            [this, job, entry, connection = std::make_shared<Connection>(std::move(connection))](
                Core::Result<Http::HttpResponse> result) mutable {
                --this->openRequests;
                if (!result)
                    return this->lost(job, result.error());
                this->idle[entry].push_back(std::move(*connection));
                this->answered(job, parseAnswer(result.value()));
            });
    }

    Connection take(std::size_t entry)
    {
        std::vector<Connection>& free = this->idle[entry];
        if (free.empty())
            return std::make_unique<Http::HttpConnection>(
                this->context, this->settings.entries[entry], longestJobAnswerBytes);
        Connection connection = std::move(free.back());
        free.pop_back();
        return connection;
    }

    bool isGivenUp(const LoadJob& job) const
    {
        return Core::BootClock::now() - job.plannedAt >= this->settings.patience;
    }

    // The request may have reached the entry: sends it again with the same key, to another entry.
    void lost(const LoadJobPointer& job, const Core::Error& error)
    {
        if (!error.is(Http::HttpError::ConnectFailed))
            job->isSubmitted = true;
        job->entry = (job->entry + 1) % this->settings.entries.size();
        this->sendLater(job, std::string(error.code()));
    }

    void sendLater(const LoadJobPointer& job, const std::string& reason)
    {
        if (this->isGivenUp(*job)) {
            ++this->tally.unanswered;
            const auto outcome
                = job->isSubmitted ? Messages::TaskOutcome::Unconfirmed : Messages::TaskOutcome::NeverStarted;
            return countAll(*job, outcome, reason, this->tally);
        }
        ++this->tally.resubmissions;
        const std::uint32_t longest = 50U << std::min<std::uint32_t>(job->attempts, 5);
        const auto timer = std::make_shared<asio::steady_timer>(
            this->context, std::chrono::milliseconds(1 + this->jitter() % longest));
        timer->async_wait([this, job, timer](boost::system::error_code) { this->send(job, true); });
    }

    void answered(const LoadJobPointer& job, const EntryAnswer& answer)
    {
        const Core::Duration response = Core::BootClock::now() - job->plannedAt;
        switch (answer.meaning) {
        case AnswerMeaning::Ended:
            return countEnded(*job, answer.job, response, this->tally);
        case AnswerMeaning::Running:
            job->isSubmitted = true;
            return this->isGivenUp(*job) ? this->sendLater(job, "running") : this->send(job, false);
        case AnswerMeaning::NotRun:
            return countAll(*job, Messages::TaskOutcome::NeverStarted, answer.reason, this->tally);
        case AnswerMeaning::MayHaveRun:
            return countAll(*job, Messages::TaskOutcome::Unconfirmed, answer.reason, this->tally);
        case AnswerMeaning::UnknownJob:
            return this->sendLater(job, "unknown-job");
        case AnswerMeaning::Malformed:
            this->tally.brokenAnswers.push_back(job->echoes.front() + ": " + answer.reason);
            return countAll(*job, Messages::TaskOutcome::Unconfirmed, "malformed-answer", this->tally);
        }
    }

    const LoadSettings& settings;
    const std::uint32_t index;
    const std::atomic<bool>& stop;
    LoadGenerator generator;
    std::mt19937 jitter;
    LoadTally tally;
    asio::io_context context { 1 };
    asio::steady_timer arrivalTimer;
    std::vector<std::vector<Connection>> idle;
    const std::string runName;
    Core::SteadyTime start;
    std::uint64_t jobCount = 0;
    std::size_t openRequests = 0;
};

LoadWorker::LoadWorker(const LoadSettings& settings, std::uint32_t index, const std::atomic<bool>& stop)
    : implementation(std::make_unique<Implementation>(settings, index, stop))
{
}

LoadWorker::~LoadWorker() = default;

LoadTally LoadWorker::run() { return this->implementation->run(); }

}
