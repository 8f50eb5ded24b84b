#pragma once

#include "celeryswitch/Http/ConnectionChoice.h"
#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <unordered_map>

namespace celeryswitch::Http {

/// Why a connection was closed by this side before its request was served.
enum class CloseReason : std::uint8_t {
    /// The process holds as many received bytes as its budget allows.
    ReceiveBudget,
    /// There are as many connections as allowed.
    ConnectionLimit,
    HeaderTime,
    BodyTime,
    AnswerTime,
};

/// Counts of closed connections, by reason.
using CloseCounts = std::array<std::uint64_t, 5>;

/// A connection that a budget may close.
class BudgetedConnection {
public:
    /// State at `now`, without the number.
    virtual ConnectionState state(std::chrono::steady_clock::time_point now) const = 0;
    /// Closes the connection without an answer.
    virtual void closeFor(CloseReason reason) = 0;

protected:
    ~BudgetedConnection() = default;
};

/// Bytes that all connections of a process have received and not handled. Connections run on one thread; the figures
/// may be read on any.
class ReceiveBudget {
public:
    /// Called when connections were closed, at most once a second, with the counts since the latest call.
    using Report = std::function<void(const CloseCounts& counts, std::size_t heldBytes)>;

    /// Requests of up to this size may use the whole budget, larger ones seven eighths of it.
    static constexpr std::size_t ordinaryBytes = 16 * 1024;

    explicit ReceiveBudget(std::size_t limitBytes);

    void setReport(Report value) { this->report = std::move(value); }
    /// Adds a connection; returns its number.
    std::uint64_t add(BudgetedConnection& connection);
    void remove(std::uint64_t number) { this->connections.erase(number); }
    /// Notes that a connection holds `after` bytes instead of `before`. Closes connections, this one if need be, until
    /// the budget is kept or only complete requests are left.
    void change(std::size_t before, std::size_t after);
    /// Counts a closed connection.
    void countClosed(CloseReason reason);

    std::size_t limitBytes() const { return this->limit; }
    std::size_t heldBytes() const { return this->held.load(std::memory_order_relaxed); }
    std::uint64_t closedCount(CloseReason reason) const;

private:
    std::vector<ConnectionState> states() const;

    std::size_t limit;
    std::atomic<std::size_t> held { 0 };
    std::array<std::atomic<std::uint64_t>, std::tuple_size_v<CloseCounts>> closed {};
    CloseCounts reported {};
    std::chrono::steady_clock::time_point reportedAt {};
    Report report;
    std::unordered_map<std::uint64_t, BudgetedConnection*> connections;
    std::uint64_t lastNumber = 0;
};

}

namespace celeryswitch::Core {

template <> struct EnumTable<Http::CloseReason> {
    static constexpr std::string_view type = "CloseReason";
    static constexpr std::array<std::pair<Http::CloseReason, std::string_view>, 5> names { {
        { Http::CloseReason::ReceiveBudget, "ReceiveBudget" },
        { Http::CloseReason::ConnectionLimit, "ConnectionLimit" },
        { Http::CloseReason::HeaderTime, "HeaderTime" },
        { Http::CloseReason::BodyTime, "BodyTime" },
        { Http::CloseReason::AnswerTime, "AnswerTime" },
    } };
};

}
