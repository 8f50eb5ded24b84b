#include "celeryswitch/Entry/EntryProcess.h"

#include "celeryswitch/Entry/EntryMetrics.h"
#include "celeryswitch/Entry/JobApi.h"
#include "celeryswitch/Entry/PeerNetwork.h"
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <mutex>
#include <random>
#include <thread>

namespace celeryswitch::Entry {

namespace {

constexpr Core::Duration snapshotInterval = std::chrono::milliseconds(100);
// Delay before the next attempt to push into a full ring buffer.
constexpr std::chrono::milliseconds fullRingRetryDelay { 1 };

std::uint64_t randomOddNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32 | device()) | 1;
}

using AnswerPointer = std::shared_ptr<AnswerCaller>;
using ActionPointer = std::shared_ptr<EntryAction>;

// An event loop on its own thread. Wake-ups that arrive while one is pending are merged.
class EventLoopThread {
public:
    explicit EventLoopThread(std::function<void()> onWake)
        : guard(boost::asio::make_work_guard(this->context))
        , onWake(std::move(onWake))
    {
    }
    // Schedules a call of `onWake` on the loop's thread; thread-safe.
    void wake()
    {
        if (!this->isWakePending.exchange(true))
            boost::asio::post(this->context, [this] {
                this->isWakePending = false;
                this->onWake();
            });
    }
    void start()
    {
        this->thread = std::thread([this] { this->context.run(); });
    }
    // Joins the thread after the loop has run out of work, or immediately.
    void join(bool isImmediate)
    {
        this->guard.reset();
        if (isImmediate)
            this->context.stop();
        if (this->thread.joinable())
            this->thread.join();
    }

    boost::asio::io_context context { 1 };

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard;
    std::function<void()> onWake;
    std::atomic<bool> isWakePending { false };
    std::thread thread;
};

}

/// Threads and ring buffers of an entry process.
class EntryProcess::Implementation {
public:
    Implementation(EntrySettings settings, const Core::Clock& clock, LogHook log, MetricsHook metricsHook)
        : settings(std::move(settings))
        , clock(clock)
        , log(std::move(log))
        , metricsHook(std::move(metricsHook))
        , httpLoop([this] { this->sendAnswers(); })
        , decisionLoop([this] { this->runStep(); })
        , peerLoop([this] { this->performActions(); })
        , callerEvents(this->settings.ringCapacity, [this] { this->decisionLoop.wake(); })
        , peerEvents(this->settings.ringCapacity, [this] { this->decisionLoop.wake(); })
        , answers(this->settings.ringCapacity, [this] { this->httpLoop.wake(); })
        , actions(this->settings.ringCapacity, [this] { this->peerLoop.wake(); })
        , peerNetwork(this->peerLoop.context, this->settings.authenticationKeys, this->peerEvents)
        , api(this->httpLoop.context, this->settings,
              { [this](CallerRequest request) {
                   return this->callerEvents.tryPush(std::make_shared<EntryEvent>(std::move(request)));
               },
                  [this] { return this->metricsHook(this->snapshot()); },
                  [this] { return this->snapshot().isReady && !this->isStopRequested; } })
        , timer(this->decisionLoop.context)
    {
    }
    ~Implementation() { this->shutDown(); }
    Implementation(const Implementation&) = delete;
    Implementation& operator=(const Implementation&) = delete;

    Core::Result<void> start()
    {
        BOOST_OUTCOME_TRY(this->peerAddress, this->peerNetwork.listen(this->settings.peerAddress));
        BOOST_OUTCOME_TRY(this->datagramAddress, this->peerNetwork.bindDatagram(this->settings.datagramAddress));
        EntryCoreSettings coreSettings;
        coreSettings.identity = { Messages::Role::Entry, this->settings.instanceId, randomOddNumber(),
            this->settings.dataCentre, this->settings.rack };
        coreSettings.peerAddress = this->peerAddress;
        coreSettings.datagramAddress = this->datagramAddress;
        coreSettings.seed = randomOddNumber();
        coreSettings.storedBytesLimit = this->settings.storedBytesLimit;
        State::StateClientSettings stateSettings;
        stateSettings.identity = coreSettings.identity;
        stateSettings.replicas = this->settings.stateAddresses;
        stateSettings.seed = randomOddNumber();
        this->peerNetwork.createStateClient(std::move(stateSettings));
        this->core = std::make_unique<EntryCore>(std::move(coreSettings));
        BOOST_OUTCOME_TRY(this->httpAddress, this->api.listen());
        this->peerLoop.start();
        this->decisionLoop.start();
        this->httpLoop.start();
        this->decisionLoop.wake();
        this->log("entry listening: HTTP at " + this->httpAddress + ", peers at " + this->peerAddress);
        return Core::success();
    }

    EntrySnapshot snapshot() const
    {
        const std::lock_guard lock(this->snapshotMutex);
        return this->lastSnapshot;
    }

    bool stop(Core::Duration timeout)
    {
        if (this->isShutDown)
            return true;
        this->isStopRequested = true;
        this->decisionLoop.wake();
        const bool isGraceful = this->stopFinished.get_future().wait_for(timeout) == std::future_status::ready;
        this->log(isGraceful ? "entry stopped" : "entry stop timed out; unfinished jobs were abandoned");
        this->shutDown();
        return isGraceful;
    }

    std::string httpAddress;
    std::string peerAddress;
    std::string datagramAddress;

private:
    // Runs on the decision thread: handles all queued events, then polls the core.
    void runStep()
    {
        if (!this->flushPendingActions()) {
            this->scheduleStep(fullRingRetryDelay);
            return;
        }
        const auto handle = [this](const EventPointer& event) {
            this->core->handle(
                this->clock.steadyNow(), Core::toUnixMilliseconds(this->clock.wallNow()), std::move(*event));
        };
        this->peerEvents.drain(handle);
        this->callerEvents.drain(handle);
        const Core::SteadyTime now = this->clock.steadyNow();
        const std::int64_t wall = Core::toUnixMilliseconds(this->clock.wallNow());
        if (this->isStopRequested && !this->isStopHandled) {
            this->isStopHandled = true;
            this->core->handle(now, wall, StopRequested {});
        }
        for (EntryAction& action : this->core->poll(now, wall))
            this->pendingActions.push_back(std::make_shared<EntryAction>(std::move(action)));
        if (now >= this->nextSnapshot) {
            this->nextSnapshot = addDuration(now, snapshotInterval);
            const std::lock_guard lock(this->snapshotMutex);
            this->lastSnapshot = this->core->snapshot();
        }
        if (this->flushPendingActions())
            this->scheduleStep(this->core->nextWakeUp() - now);
        else
            this->scheduleStep(fullRingRetryDelay);
    }

    // Pushes actions to the other threads in order; false if a ring buffer is full. The caller handles no event while
    // actions are pending.
    bool flushPendingActions()
    {
        while (!this->pendingActions.empty()) {
            const ActionPointer& action = this->pendingActions.front();
            bool isPushed = true;
            if (auto* answer = std::get_if<AnswerCaller>(action.get()))
                isPushed = this->answers.tryPush(AnswerPointer(action, answer));
            else if (std::holds_alternative<StopFinished>(*action))
                this->stopFinished.set_value();
            else
                isPushed = this->actions.tryPush(ActionPointer(action));
            if (!isPushed)
                return false;
            this->pendingActions.pop_front();
        }
        return true;
    }

    void scheduleStep(Core::Duration delay)
    {
        this->timer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(delay));
        this->timer.async_wait([this](const boost::system::error_code& error) {
            if (!error)
                this->runStep();
        });
    }

    // Runs on the HTTP thread.
    void sendAnswers()
    {
        this->answers.drain([this](const AnswerPointer& answer) { this->api.answer(*answer); });
    }

    // Runs on the peer thread.
    void performActions()
    {
        this->actions.drain([this](const ActionPointer& action) { this->peerNetwork.perform(*action); });
    }

    void shutDown()
    {
        if (this->isShutDown.exchange(true))
            return;
        this->decisionLoop.join(true);
        boost::asio::post(this->httpLoop.context, [this] {
            this->sendAnswers();
            this->api.stop();
        });
        this->httpLoop.join(false);
        boost::asio::post(this->peerLoop.context, [this] {
            this->performActions();
            this->peerNetwork.stop();
        });
        this->peerLoop.join(false);
    }

    const EntrySettings settings;
    const Core::Clock& clock;
    LogHook log;
    MetricsHook metricsHook;
    EventLoopThread httpLoop;
    EventLoopThread decisionLoop;
    EventLoopThread peerLoop;
    Core::Ring<EventPointer> callerEvents;
    Core::Ring<EventPointer> peerEvents;
    Core::Ring<AnswerPointer> answers;
    Core::Ring<ActionPointer> actions;
    PeerNetwork peerNetwork;
    JobApi api;
    std::unique_ptr<EntryCore> core;
    boost::asio::steady_timer timer;
    std::deque<ActionPointer> pendingActions;
    mutable std::mutex snapshotMutex;
    EntrySnapshot lastSnapshot;
    Core::SteadyTime nextSnapshot {};
    std::promise<void> stopFinished;
    std::atomic<bool> isStopRequested { false };
    std::atomic<bool> isShutDown { false };
    bool isStopHandled = false;
};

EntryProcess::Builder& EntryProcess::Builder::setSettings(EntrySettings value)
{
    this->settings = std::move(value);
    return *this;
}

EntryProcess::Builder& EntryProcess::Builder::setClock(const Core::Clock& value)
{
    this->clock = &value;
    return *this;
}

EntryProcess::Builder& EntryProcess::Builder::setLog(LogHook hook)
{
    this->log = std::move(hook);
    return *this;
}

EntryProcess::Builder& EntryProcess::Builder::setMetricsText(MetricsHook hook)
{
    this->metricsText = std::move(hook);
    return *this;
}

Core::Result<std::unique_ptr<EntryProcess>> EntryProcess::Builder::start()
{
    static const Core::SystemClock systemClock;
    auto implementation = std::make_unique<Implementation>(
        std::move(this->settings), this->clock ? *this->clock : systemClock,
        this->log ? std::move(this->log) : [](const std::string&) {},
        this->metricsText ? std::move(this->metricsText) : MetricsHook(Entry::metricsText));
    BOOST_OUTCOME_TRY(implementation->start());
    return std::unique_ptr<EntryProcess>(new EntryProcess(std::move(implementation)));
}

EntryProcess::EntryProcess(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{
}

EntryProcess::~EntryProcess() = default;

const std::string& EntryProcess::httpAddress() const { return this->implementation->httpAddress; }

const std::string& EntryProcess::peerAddress() const { return this->implementation->peerAddress; }

const std::string& EntryProcess::datagramAddress() const { return this->implementation->datagramAddress; }

EntrySnapshot EntryProcess::snapshot() const { return this->implementation->snapshot(); }

bool EntryProcess::stop(Core::Duration timeout) { return this->implementation->stop(timeout); }

}
