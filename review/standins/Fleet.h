// A small deployment: the project's processes with the commands of the deploy file, workers, an operator and clients.
#pragma once

#include "Common.h"

#include <memory>

namespace review {

/// Size of a fleet.
struct FleetSize {
    int states = 3;
    int entries = 2;
    int workers = 2;
};

/// Answer to a client.
struct Answer {
    /// 0 when no answer came.
    int status = 0;
    std::string body;
    std::int64_t tookMilliseconds = 0;
};

/// What a worker began.
struct Begin {
    std::int64_t at = 0;
    std::string worker;
    std::string born;
    std::string task;
    std::string spec;
};

/// A run that has ended at a worker.
struct End {
    std::int64_t at = 0;
    std::string worker;
    std::string task;
    std::string how;
};

/// Starts, addresses and ends the processes of a deployment on loopback.
class Fleet {
public:
    /// `ownProgram` is this program, `root` the repository, `folder` a temporary folder.
    Fleet(std::string ownProgram, std::string root, std::string folder, std::string recordFile, FleetSize size);

    /// Starts all processes and puts the first desired state; false when the fleet doesn't serve within 20 s.
    bool start();
    /// Starts the platform's process of a role: "state", "entry" or "sidecar".
    void startProcess(const std::string& role, int number);
    void startWorker(int number);
    Child& process(const std::string& role, int number) { return *this->children[role + std::to_string(number)]; }
    Child& worker(int number) { return *this->children["worker" + std::to_string(number)]; }
    /// Address of clients at an entry, of operators at a replica.
    std::string front(int entry) const;
    std::string control(int state) const;

    /// Sends the desired state until it is acknowledged; false when it isn't in 10 s.
    bool putConfiguration(std::int64_t version);
    /// A desired state; `service` is its only service.
    std::string configuration(std::int64_t version, const json::object& service) const;
    /// The service that the first desired state has.
    static json::object usualService();
    /// One call of the operator, written to the record.
    Answer operate(const std::string& method, int state, const std::string& path, const std::string& body);
    /// One request of a client, written to the record.
    Answer request(const std::string& method, int entry, const std::string& id, const std::string& body,
        std::int64_t patienceMilliseconds);

    /// The same on a connection that is reset before the request reaches the entry.
    void resetRequest(const std::string& method, int entry, const std::string& id) const;

    const Record& record() const { return this->log; }
    /// What workers have begun so far.
    std::vector<Begin> begins() const;
    /// What has ended at workers so far.
    std::vector<End> ends() const;
    /// Workers, as "i-...", and the tasks of the starts that they have put off so far.
    std::vector<std::pair<std::string, std::string>> lateStarts() const;
    /// Id of a worker.
    static std::string workerId(int number);

    /// Extra arguments of workers, such as "answer-ms=5".
    std::vector<std::string> workerArguments;
    /// Labels of workers by number.
    std::map<int, std::string> labels;
    /// Limits of the queue.
    std::int64_t targetMilliseconds = 60;
    double stretch = 1.6;
    std::int64_t timeoutMilliseconds = 1500;

private:
    std::string ip(const std::string& role, int number) const;
    void writeSettings(const std::string& role, int number);
    bool isServing();

    std::string ownProgram;
    std::string root;
    std::string folder;
    std::string recordFile;
    FleetSize size;
    Record log;
    std::string network;
    std::map<std::string, std::unique_ptr<Child>> children;
    std::map<std::string, bool> wasStarted;
};

/// Body of a best-effort job of one step for each entry of `steps`, one after the other.
struct StepText {
    int count = 1;
    int milliCores = 1000;
    int estimatedMilliseconds = 100;
    std::string more;
};
std::string jobBody(const std::string& spec, const std::vector<StepText>& steps);
/// A new id of a job: 16 hexadecimal digits.
std::string newId();

}
