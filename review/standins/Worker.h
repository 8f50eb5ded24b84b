// A worker as PROTOCOL.md describes it: starts, stops and lists tasks under a lease on its own clock.
#pragma once

#include "Common.h"

#include <condition_variable>

namespace review {

/// Settings of a worker; from the command line as key=value.
struct WorkerSettings {
    std::string id;
    std::string service;
    std::string appAddress;
    std::string controlAddress;
    std::string recordFile;
    std::vector<std::string> labels;
    std::int64_t milliCores = 16'000;
    std::int64_t memoryMegabytes = 32'768;
    /// Time after which a start is answered; the task begins before.
    std::int64_t answerMilliseconds = 0;
    /// Of so many renewals of the lease one gets no answer and is carried out late, its time counted from then, and
    /// with it the first start that arrives soon after it; 0: none.
    std::int64_t lateEvery = 0;
    /// Time by which the start is late; the renewal is carried out a moment before.
    std::int64_t lateMilliseconds = 3200;
};

/// A worker process.
class Worker {
public:
    explicit Worker(WorkerSettings settings);
    /// Serves until the process is killed. False when the address is in use.
    bool run();

private:
    struct Run {
        std::int64_t number = 0;
        std::int64_t startedAt = 0;
        std::int64_t endsAt = 0;
    };

    std::int64_t clock() const { return steadyMilliseconds() - this->bornSteady; }
    Message handle(const Message& request);
    Message start(const json::object& order);
    // Whether the order that has just arrived is one that is carried out late.
    bool isLate(const std::string& path, const json::object& order);
    // Carries an order out late, without an answer.
    void carryOutLate(const std::string& path, json::object order);
    Message stop(const json::object& order);
    Message hold(const json::object& order);
    Message answer(int status, json::object body) const;
    bool acceptToken(const json::object& order);
    void extendLease(const json::object& order);
    // Ends what is over; called with the lock held.
    void advance();
    void endRun(std::map<std::string, Run>::iterator found, const char* how);
    json::object lists() const;
    void announce();

    WorkerSettings settings;
    Record record;
    Server server;
    const std::int64_t bornWall;
    const std::int64_t bornSteady;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Run> running;
    std::map<std::string, std::int64_t> highestEnded;
    std::vector<json::array> ended;
    std::int64_t lastEnd = 0;
    std::int64_t leaseEnd = 0;
    std::int64_t token = 0;
    std::int64_t sequence = 0;
    std::int64_t renewals = 0;
    std::int64_t lateStartsUntil = 0;
};

/// Reads settings and runs a worker; the exit code of the process.
int workerMain(const std::map<std::string, std::string>& arguments);

}
