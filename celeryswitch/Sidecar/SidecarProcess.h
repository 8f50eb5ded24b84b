#pragma once

#include "celeryswitch/Core/Result.h"
#include "celeryswitch/Messages/StateMessages.h"
#include "celeryswitch/Sidecar/SidecarActions.h"
#include "celeryswitch/Sidecar/SidecarSettings.h"
#include <functional>
#include <memory>

namespace celeryswitch::Sidecar {

/// Why a sidecar could not start.
enum class SidecarError : std::uint8_t {
    InvalidSettings,
};

/// Metrics of a running sidecar.
struct SidecarMetrics {
    SidecarCounts counts;
    std::uint64_t runningTasks = 0;
    std::uint64_t queuedTasks = 0;
    /// Number of tasks, and bytes of result bodies, in the fence.
    std::uint64_t fenceTasks = 0;
    std::uint64_t fenceBytes = 0;
    bool isDraining = false;
    Core::ConfigurationVersion configurationVersion = 0;
    /// Frames and datagrams rejected as malformed or unauthenticated.
    std::uint64_t rejectedFrames = 0;
    /// Messages between threads that were refused because a ring was full.
    std::uint64_t ringRefusals = 0;
};

/// A sidecar: threads for decisions, peers and the endpoint, connected by rings.
class SidecarProcess {
public:
    /// Builds and starts a SidecarProcess.
    class Builder {
    public:
        /// Settings; required.
        Builder& setSettings(SidecarSettings settings);
        /// Sets the log function, which is called with event name and detail on any thread. Default: no logging.
        Builder& setLog(std::function<void(std::string_view event, const std::string& detail)> log);
        /// Replaces the registration with the state replicas by RegisterMember; called on the peer thread.
        Builder& setRegistration(std::function<void(const Messages::Member&)> registration);
        /// Opens the sockets and starts the threads. Errors: InvalidSettings, TransportError.
        Core::Result<std::unique_ptr<SidecarProcess>> start();

    private:
        SidecarSettings settings;
        std::function<void(std::string_view, const std::string&)> log;
        std::function<void(const Messages::Member&)> registration;
    };

    /// Ends the threads at once if they still run.
    ~SidecarProcess();
    SidecarProcess(const SidecarProcess&) = delete;
    SidecarProcess& operator=(const SidecarProcess&) = delete;

    /// Starts a graceful shutdown: reports itself as draining, refuses new tasks, finishes running ones, then ends.
    /// Returns at once. Thread-safe.
    void stop();
    /// Waits until the threads have ended.
    void wait();
    /// Whether the threads have ended.
    bool isEnded() const;
    /// Bound "address:port" for frames and for datagrams.
    const std::string& peerAddress() const;
    const std::string& datagramAddress() const;
    /// Incarnation of this process.
    Core::Incarnation incarnation() const;
    /// Metrics as of the last decision cycle.
    SidecarMetrics metrics() const;

private:
    class Implementation;
    explicit SidecarProcess(std::unique_ptr<Implementation> implementation);
    std::unique_ptr<Implementation> implementation;
};

}

namespace celeryswitch::Core {

template <> struct EnumTable<Sidecar::SidecarError> {
    static constexpr std::string_view type = "SidecarError";
    static constexpr std::array<std::pair<Sidecar::SidecarError, std::string_view>, 1> names { {
        { Sidecar::SidecarError::InvalidSettings, "InvalidSettings" },
    } };
};

}
