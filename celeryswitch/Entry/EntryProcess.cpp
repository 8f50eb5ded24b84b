#include "celeryswitch/Entry/EntryProcess.h"

#include "celeryswitch/Entry/EntryMetrics.h"
#include "celeryswitch/Entry/JobApi.h"
#include "celeryswitch/Entry/PeerShell.h"
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
// Wait for room in a ring to another thread before the next try.
constexpr std::chrono::milliseconds fullRingPause { 1 };

std::uint64_t drawNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32 | device()) | 1;
}

using AnswerPointer = std::shared_ptr<AnswerCaller>;
using ActionPointer = std::shared_ptr<EntryAction>;

// An event loop on its own thread, with a coalesced wake-up.
class LoopThread {
public:
    explicit LoopThread(std::function<void()> onWake)
        : guard(boost::asio::make_work_guard(this->context))
        , onWake(std::move(onWake))
    {
    }
    // Calls `onWake` soon on the loop's thread; any thread.
    void wake()
    {
        if (!this->isWoken.exchange(true))
            boost::asio::post(this->context, [this] {
                this->isWoken = false;
                this->onWake();
            });
    }
    void start()
    {
        this->thread = std::thread([this] { this->context.run(); });
    }
    // Ends the loop when nothing is left to do, or at once.
    void join(bool isAtOnce)
    {
        this->guard.reset();
        if (isAtOnce)
            this->context.stop();
        if (this->thread.joinable())
            this->thread.join();
    }

    boost::asio::io_context context { 1 };

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard;
    std::function<void()> onWake;
    std::atomic<bool> isWoken { false };
    std::thread thread;
};

}

/// Threads and rings of an entry process.
class EntryProcess::Implementation {
public:
    Implementation(EntrySettings settings, const Core::Clock& clock, LogHook log, MetricsHook metricsHook)
        : settings(std::move(settings))
        , clock(clock)
        , log(std::move(log))
        , metricsHook(std::move(metricsHook))
        , callerLoop([this] { this->sendAnswers(); })
        , decisionLoop([this] { this->decide(); })
        , peerLoop([this] { this->performActions(); })
        , callerEvents(this->settings.ringCapacity, [this] { this->decisionLoop.wake(); })
        , peerEvents(this->settings.ringCapacity, [this] { this->decisionLoop.wake(); })
        , answers(this->settings.ringCapacity, [this] { this->callerLoop.wake(); })
        , actions(this->settings.ringCapacity, [this] { this->peerLoop.wake(); })
        , peerShell(this->peerLoop.context, this->settings.authenticationKeys, this->peerEvents)
        , api(this->callerLoop.context, this->settings,
              { [this](CallerRequest request) {
                   return this->callerEvents.tryPush(std::make_shared<EntryEvent>(std::move(request)));
               },
                  [this] { return this->metricsHook(this->snapshot()); },
                  [this] { return this->snapshot().isReady && !this->isStopRequested; } })
        , timer(this->decisionLoop.context)
    {
    }
    ~Implementation() { this->end(); }
    Implementation(const Implementation&) = delete;
    Implementation& operator=(const Implementation&) = delete;

    Core::Result<void> start()
    {
        BOOST_OUTCOME_TRY(this->peerAddress, this->peerShell.listen(this->settings.peerAddress));
        BOOST_OUTCOME_TRY(this->datagramAddress, this->peerShell.bindDatagram(this->settings.datagramAddress));
        EntryCoreSettings coreSettings;
        coreSettings.identity = { Messages::Role::Entry, this->settings.instanceId, drawNumber(),
            this->settings.dataCentre, this->settings.rack };
        coreSettings.peerAddress = this->peerAddress;
        coreSettings.datagramAddress = this->datagramAddress;
        coreSettings.seed = drawNumber();
        coreSettings.storedBytesLimit = this->settings.storedBytesLimit;
        State::StateClientSettings stateSettings;
        stateSettings.identity = coreSettings.identity;
        stateSettings.replicas = this->settings.stateAddresses;
        stateSettings.seed = drawNumber();
        this->peerShell.setState(std::move(stateSettings));
        this->core = std::make_unique<EntryCore>(std::move(coreSettings));
        BOOST_OUTCOME_TRY(this->httpAddress, this->api.listen());
        this->peerLoop.start();
        this->decisionLoop.start();
        this->callerLoop.start();
        this->decisionLoop.wake();
        this->log("entry listens for callers at " + this->httpAddress + ", for peers at " + this->peerAddress);
        return Core::success();
    }

    EntrySnapshot snapshot() const
    {
        const std::lock_guard lock(this->snapshotMutex);
        return this->lastSnapshot;
    }

    bool stop(Core::Duration patience)
    {
        if (this->isEnded)
            return true;
        this->isStopRequested = true;
        this->decisionLoop.wake();
        const bool isGraceful = this->stopFinished.get_future().wait_for(patience) == std::future_status::ready;
        this->log(isGraceful ? "entry stopped" : "entry stopped with jobs cut off");
        this->end();
        return isGraceful;
    }

    std::string httpAddress;
    std::string peerAddress;
    std::string datagramAddress;

private:
    // Decision thread: handles what arrived, then does what is due.
    void decide()
    {
        if (!this->flush()) {
            this->wakeAfter(fullRingPause);
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
            this->outbox.push_back(std::make_shared<EntryAction>(std::move(action)));
        if (now >= this->nextSnapshot) {
            this->nextSnapshot = after(now, snapshotInterval);
            const std::lock_guard lock(this->snapshotMutex);
            this->lastSnapshot = this->core->snapshot();
        }
        if (this->flush())
            this->wakeAfter(this->core->nextWakeUp() - now);
        else
            this->wakeAfter(fullRingPause);
    }

    // Passes actions on in order; false when a ring is full. No event is handled before every action is passed on.
    bool flush()
    {
        while (!this->outbox.empty()) {
            const ActionPointer& action = this->outbox.front();
            bool isPassed = true;
            if (auto* answer = std::get_if<AnswerCaller>(action.get()))
                isPassed = this->answers.tryPush(AnswerPointer(action, answer));
            else if (std::holds_alternative<StopFinished>(*action))
                this->stopFinished.set_value();
            else
                isPassed = this->actions.tryPush(ActionPointer(action));
            if (!isPassed)
                return false;
            this->outbox.pop_front();
        }
        return true;
    }

    void wakeAfter(Core::Duration span)
    {
        this->timer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(span));
        this->timer.async_wait([this](const boost::system::error_code& error) {
            if (!error)
                this->decide();
        });
    }

    // Caller thread.
    void sendAnswers()
    {
        this->answers.drain([this](const AnswerPointer& answer) { this->api.answer(*answer); });
    }

    // Peer thread.
    void performActions()
    {
        this->actions.drain([this](const ActionPointer& action) { this->peerShell.perform(*action); });
    }

    void end()
    {
        if (this->isEnded.exchange(true))
            return;
        this->decisionLoop.join(true);
        boost::asio::post(this->callerLoop.context, [this] {
            this->sendAnswers();
            this->api.stop();
        });
        this->callerLoop.join(false);
        boost::asio::post(this->peerLoop.context, [this] {
            this->performActions();
            this->peerShell.stop();
        });
        this->peerLoop.join(false);
    }

    const EntrySettings settings;
    const Core::Clock& clock;
    LogHook log;
    MetricsHook metricsHook;
    LoopThread callerLoop;
    LoopThread decisionLoop;
    LoopThread peerLoop;
    Core::Ring<EventPointer> callerEvents;
    Core::Ring<EventPointer> peerEvents;
    Core::Ring<AnswerPointer> answers;
    Core::Ring<ActionPointer> actions;
    PeerShell peerShell;
    JobApi api;
    std::unique_ptr<EntryCore> core;
    boost::asio::steady_timer timer;
    std::deque<ActionPointer> outbox;
    mutable std::mutex snapshotMutex;
    EntrySnapshot lastSnapshot;
    Core::SteadyTime nextSnapshot {};
    std::promise<void> stopFinished;
    std::atomic<bool> isStopRequested { false };
    std::atomic<bool> isEnded { false };
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

bool EntryProcess::stop(Core::Duration patience) { return this->implementation->stop(patience); }

}
