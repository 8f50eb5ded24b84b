#include "celeryswitch/Explain/Story.h"

#include <algorithm>
#include <boost/json.hpp>
#include <iomanip>
#include <numeric>
#include <sstream>

namespace celeryswitch::Explain {

namespace json = boost::json;

namespace {

// Time before and after a story in which an instance's beliefs matter to it.
constexpr std::int64_t contextMilliseconds = 1500;

// Whether a record says what an instance believes or that records are missing.
bool isBelief(const LogRecord& record)
{
    static const std::set<std::string, std::less<>> messages { "starting", "stopping", "stopped", "ready", "reloading",
        "settings read", "settings not read", "sidecar connected", "sidecar disconnected", "sidecar no longer linked",
        "entry connected", "entry disconnected", "worker announced itself", "worker known from an entry",
        "worker life ended", "worker drains", "worker out of contact", "worker answers again", "worker on probation",
        "worker off probation", "announcement refused", "no state replica answers", "state replica without a leader",
        "routing document in force", "state" };
    return messages.count(record.message) > 0;
}

// Records that an instance lost, as a sentence; empty when none.
std::string lossOf(const LogRecord& record)
{
    if (record.message == "log records dropped")
        return record.instance + ": " + std::string(record.field("count")) + " records dropped, nobody read them";
    if (const auto count = record.number("suppressed"))
        return record.instance + ": " + std::to_string(*count) + " records \"" + record.message + "\" suppressed";
    return {};
}

std::string runOf(const LogRecord& record)
{
    return std::string(record.field("task")) + "/" + std::string(record.field("run"));
}

}

StoryBuilder::StoryBuilder(Subject subject)
    : subject(std::move(subject))
{
}

void StoryBuilder::addLine(std::string_view line)
{
    std::optional<LogRecord> record = parseRecord(line);
    if (!record) {
        ++this->unreadable;
        return;
    }
    if (!this->isAbout(*record) && !isBelief(*record) && lossOf(*record).empty())
        return;
    record->place = this->records.size();
    this->records.push_back(std::move(*record));
}

bool StoryBuilder::isAbout(const LogRecord& record) const
{
    if (!this->subject.job.empty())
        return record.field("job") == this->subject.job;
    return record.number("version") == static_cast<std::int64_t>(this->subject.version)
        && (record.message.starts_with("document") || record.message == "routing document in force"
            || record.message == "ready");
}

std::map<std::string, std::int64_t> StoryBuilder::correctClocks(
    const std::vector<const LogRecord*>& own, const std::string& leader) const
{
    // Earliest and latest time of the leader that each instance's records can have.
    std::map<std::string, std::pair<std::int64_t, std::int64_t>> bounds;
    for (const LogRecord* record : own) {
        if (record->instance == leader)
            continue;
        std::int64_t earliest = INT64_MIN;
        std::int64_t latest = INT64_MAX;
        for (const LogRecord* other : own) {
            if (other->instance != leader)
                continue;
            if (other->field("sidecar") == record->instance && other->message == "tasks placed")
                earliest = std::max(earliest, other->time);
            else if (other->field("sidecar") == record->instance && runOf(*other) == runOf(*record))
                latest = std::min(latest, other->time);
            else if (other->message == "job ended" && record->message != "run stopped")
                latest = std::min(latest, other->time);
        }
        auto& [least, most] = bounds.try_emplace(record->instance, INT64_MIN, INT64_MAX).first->second;
        if (earliest != INT64_MIN)
            least = std::max(least, earliest - record->time);
        if (latest != INT64_MAX)
            most = std::min(most, latest - record->time);
    }
    std::map<std::string, std::int64_t> corrections;
    for (const auto& [instance, bound] : bounds) {
        const auto& [least, most] = bound;
        if (least <= 0 && most >= 0)
            continue;
        // Between the cause and the effect where both are known, else just beside the one that is.
        if (least != INT64_MIN && most != INT64_MAX)
            corrections[instance] = std::midpoint(least, most);
        else
            corrections[instance] = least > 0 ? least + 1 : most - 1;
    }
    return corrections;
}

Story StoryBuilder::build() const
{
    Story story;
    std::vector<const LogRecord*> own;
    std::set<std::string> present;
    std::set<std::string> involved;
    std::string leader;
    for (const LogRecord& record : this->records) {
        present.insert(record.instance);
        if (!this->isAbout(record))
            continue;
        own.push_back(&record);
        involved.insert(record.instance);
        if (leader.empty() || record.role == "entry")
            leader = record.instance;
        if (const std::string_view sidecar = record.field("sidecar"); !sidecar.empty())
            involved.insert(std::string(sidecar));
    }
    if (own.empty())
        return story;
    story.corrections = this->correctClocks(own, leader);
    const auto timeOf = [&](const LogRecord& record) {
        const auto found = story.corrections.find(record.instance);
        return record.time + (found != story.corrections.end() ? found->second : 0);
    };
    std::int64_t first = INT64_MAX;
    std::int64_t last = INT64_MIN;
    for (const LogRecord* record : own) {
        first = std::min(first, timeOf(*record));
        last = std::max(last, timeOf(*record));
    }
    std::set<std::string> losses;
    for (const LogRecord& record : this->records) {
        const std::int64_t time = timeOf(record);
        const bool isOwn = this->isAbout(record);
        const bool isNear = involved.count(record.instance) > 0 && time >= first - contextMilliseconds
            && time <= last + contextMilliseconds;
        if (isNear && !lossOf(record).empty())
            losses.insert(lossOf(record));
        if (isOwn || (isNear && isBelief(record)))
            story.lines.push_back({ record, time - first, !isOwn });
    }
    std::stable_sort(story.lines.begin(), story.lines.end(), [](const StoryLine& left, const StoryLine& right) {
        return std::tie(left.offset, left.record.place) < std::tie(right.offset, right.record.place);
    });
    for (const std::string& instance : involved) {
        if (present.count(instance) == 0)
            story.gaps.push_back(instance + ": no log given, though it took part");
    }
    story.gaps.insert(story.gaps.end(), losses.begin(), losses.end());
    return story;
}

std::string toText(const Story& story)
{
    std::ostringstream text;
    for (const StoryLine& line : story.lines) {
        text << std::setw(8) << line.offset << " ms " << (line.isContext ? "  (" : "   ") << line.record.instance
             << ": " << line.record.message;
        for (const auto& [name, value] : line.record.fields) {
            if (name != "level" && name != "job" && !value.empty())
                text << ' ' << name << '=' << value;
        }
        text << (line.isContext ? ")\n" : "\n");
    }
    for (const auto& [instance, correction] : story.corrections)
        text << "clock of " << instance << " corrected by " << correction << " ms\n";
    for (const std::string& gap : story.gaps)
        text << "gap: " << gap << '\n';
    return text.str();
}

std::string toJson(const Story& story)
{
    json::array lines;
    for (const StoryLine& line : story.lines) {
        json::object fields;
        for (const auto& [name, value] : line.record.fields)
            fields[name] = value;
        lines.push_back(json::object { { "offsetMilliseconds", line.offset }, { "instance", line.record.instance },
            { "role", line.record.role }, { "message", line.record.message }, { "isContext", line.isContext },
            { "fields", std::move(fields) } });
    }
    json::object corrections;
    for (const auto& [instance, correction] : story.corrections)
        corrections[instance] = correction;
    json::array gaps;
    for (const std::string& gap : story.gaps)
        gaps.emplace_back(gap);
    return json::serialize(json::object { { "lines", std::move(lines) }, { "clockCorrections", std::move(corrections) },
               { "gaps", std::move(gaps) } })
        + "\n";
}

}
