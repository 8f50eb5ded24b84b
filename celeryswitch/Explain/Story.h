#pragma once

#include "celeryswitch/Explain/LogRecord.h"
#include <set>
#include <vector>

namespace celeryswitch::Explain {

/// What a story is about.
struct Subject {
    /// Job as logs write it; empty for a routing document.
    std::string job;
    /// Version of a routing document; 0 for a job.
    std::uint64_t version = 0;
};

/// A record in a story.
struct StoryLine {
    LogRecord record;
    /// Milliseconds since the story's first line, by the clock of the instance that leads the story.
    std::int64_t offset = 0;
    /// Whether the record is about the subject itself, or about what an instance believed meanwhile.
    bool isContext = false;
};

/// One request's or one routing document's story from the logs of many instances.
struct Story {
    /// In causal order.
    std::vector<StoryLine> lines;
    /// What is missing: logs of instances that took part, records that were suppressed or dropped.
    std::vector<std::string> gaps;
    /// Correction of each instance's clock in milliseconds that the order of cause and effect asks for; none when 0.
    std::map<std::string, std::int64_t> corrections;
};

/// Collects the records of a subject and puts them in causal order. Clocks may differ and jump: an order comes before
/// what a sidecar writes of the run, and that before the entry's report of its end.
class StoryBuilder {
public:
    explicit StoryBuilder(Subject subject);

    /// Takes a line of a log file; lines that are no records are counted.
    void addLine(std::string_view line);
    /// The story; empty lines when no record is about the subject.
    Story build() const;
    /// Lines that were no records.
    std::uint64_t unreadableLines() const { return this->unreadable; }

private:
    bool isAbout(const LogRecord& record) const;
    std::map<std::string, std::int64_t> correctClocks(
        const std::vector<const LogRecord*>& own, const std::string& leader) const;

    Subject subject;
    std::vector<LogRecord> records;
    std::uint64_t unreadable = 0;
};

/// The story as lines for people.
std::string toText(const Story& story);
/// The story as JSON.
std::string toJson(const Story& story);

}
