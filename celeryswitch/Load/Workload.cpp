#include "celeryswitch/Load/Workload.h"

#include "celeryswitch/Core/CheckedToml.h"
#include <algorithm>
#include <cmath>
#include <fstream>
#include <set>
#include <sstream>

namespace celeryswitch::Load {

using Core::Duration;

namespace {

// Allowed values of a numeric key.
struct Range {
    double minimum;
    double maximum;
    const char* unit;
};

// Reads the keys of one table and notes every problem.
class TableReader {
public:
    TableReader(const toml::table& table, std::string path, const std::string& fileName, std::string& problems)
        : table(table)
        , path(std::move(path))
        , fileName(fileName)
        , problems(problems)
    {
    }

    /// Notes a problem at a place in the file.
    void fail(const toml::node& place, const std::string& key, const std::string& allowed)
    {
        std::ostringstream value;
        place.visit([&](const auto& element) { value << element; });
        this->note(place.source().begin.line, key, value.str(), allowed);
    }
    /// A number; a missing key is a problem unless `fallback` is given.
    double number(const char* key, const Range& range, std::optional<double> fallback = {})
    {
        const std::string allowed = describe(range);
        const toml::node* node = this->find(key, allowed, fallback.has_value());
        if (!node)
            return fallback.value_or(range.minimum);
        const std::optional<double> value = node->is_number() ? node->value<double>() : std::nullopt;
        if (value && *value >= range.minimum && *value <= range.maximum)
            return *value;
        this->fail(*node, key, allowed);
        return range.minimum;
    }
    /// A whole number.
    std::uint32_t count(const char* key, const Range& range)
    {
        const double value = this->number(key, range);
        if (value != std::floor(value))
            this->fail(*this->table.get(key), key, "a whole number, " + describe(range));
        return static_cast<std::uint32_t>(value);
    }
    /// A text that is not empty.
    std::string text(const char* key, bool isOptional = false)
    {
        const toml::node* node = this->find(key, "a text of 1 to 128 characters", isOptional);
        if (!node)
            return {};
        const std::string value = node->value<std::string>().value_or("");
        if (value.empty() || value.size() > 128)
            this->fail(*node, key, "a text of 1 to 128 characters");
        return value;
    }
    /// true or false.
    bool flag(const char* key)
    {
        const toml::node* node = this->find(key, "true or false", false);
        if (node && !node->is_boolean())
            this->fail(*node, key, "true or false");
        return node && node->value<bool>().value_or(false);
    }
    /// An array with at least one element, or nothing.
    const toml::array* array(const char* key)
    {
        const toml::node* node = this->find(key, "an array with at least one element", false);
        if (!node)
            return nullptr;
        if (node->is_array() && !node->as_array()->empty())
            return node->as_array();
        this->fail(*node, key, "an array with at least one element");
        return nullptr;
    }
    /// A table, or nothing.
    const toml::table* child(const char* key)
    {
        const toml::node* node = this->find(key, "a table", false);
        if (node && !node->is_table())
            this->fail(*node, key, "a table");
        return node ? node->as_table() : nullptr;
    }
    /// Notes keys that were never asked for.
    void finish()
    {
        for (const auto& [key, node] : this->table) {
            if (this->known.contains(std::string(key.str())))
                continue;
            std::string allowed = "one of";
            for (const std::string& name : this->known)
                allowed += " " + name;
            this->note(key.source().begin.line, std::string(key.str()), "unknown key", allowed);
        }
    }

private:
    static std::string describe(const Range& range)
    {
        std::ostringstream text;
        text << range.minimum << " to " << range.maximum << " " << range.unit;
        return text.str();
    }
    const toml::node* find(const char* key, const std::string& allowed, bool isOptional)
    {
        this->known.insert(key);
        const toml::node* node = this->table.get(key);
        if (!node && !isOptional)
            this->note(this->table.source().begin.line, key, "missing", allowed);
        return node;
    }
    void note(std::size_t line, const std::string& key, const std::string& value, const std::string& allowed)
    {
        std::ostringstream text;
        text << this->fileName << ":" << line << ": " << this->path << "." << key << ": " << value
             << " (allowed: " << allowed << ")";
        this->problems += (this->problems.empty() ? "" : "\n") + text.str();
    }

    const toml::table& table;
    std::string path;
    const std::string& fileName;
    std::string& problems;
    std::set<std::string> known;
};

constexpr Range weightRange { 0.001, 1e6, "" };
constexpr Range runTimeRange { 0.001, 600'000, "ms" };
constexpr Range delayRange { 0, 1000, "ms" };

Duration fromMilliseconds(double milliseconds) { return Duration(std::llround(milliseconds * 1e6)); }

// Reads the sections of one workload file.
class WorkloadReader {
public:
    WorkloadReader(const toml::table& root, const std::string& fileName)
        : root(root)
        , fileName(fileName)
    {
    }

    Core::Result<Workload> read()
    {
        TableReader reader(this->root, "workload", this->fileName, this->problems);
        Workload workload;
        if (const toml::table* table = reader.child("service"))
            this->readService(*table, workload.service);
        this->forEachTable(reader, "kind", [&](const toml::table& table) { this->readKind(table, workload); });
        this->forEachTable(reader, "phase", [&](const toml::table& table) { this->readPhase(table, workload); });
        reader.finish();
        if (!this->problems.empty())
            return Core::Error(WorkloadError::Invalid, this->problems);
        return workload;
    }

private:
    template <typename F> void forEachTable(TableReader& reader, const char* key, F&& readTable)
    {
        const toml::array* array = reader.array(key);
        if (!array)
            return;
        for (const toml::node& node : *array) {
            if (node.is_table())
                readTable(*node.as_table());
            else
                reader.fail(node, key, "a table");
        }
    }
    TableReader open(const toml::table& table, const char* path)
    {
        return TableReader(table, path, this->fileName, this->problems);
    }
    void readService(const toml::table& table, ServiceDescription& service)
    {
        TableReader reader = this->open(table, "service");
        service.name = reader.text("name");
        service.workers = reader.count("workers", { 1, 100'000, "workers" });
        service.slotsPerWorker = reader.count("slotsPerWorker", { 1, 1024, "slots" });
        if (const toml::array* names = reader.array("dataCentres")) {
            for (const toml::node& name : *names) {
                service.dataCentres.push_back(name.value<std::string>().value_or(""));
                if (service.dataCentres.back().empty())
                    reader.fail(name, "dataCentres", "names of data centres");
            }
        }
        service.crossDataCentreDelay = fromMilliseconds(reader.number("crossDataCentreMs", delayRange));
        service.insideDataCentreDelay = fromMilliseconds(reader.number("insideDataCentreMs", delayRange));
        service.clientDelay = fromMilliseconds(reader.number("clientMs", delayRange));
        reader.finish();
    }
    void readKind(const toml::table& table, Workload& workload)
    {
        TableReader reader = this->open(table, "kind");
        KindDescription kind;
        kind.name = reader.text("name");
        for (const KindDescription& other : workload.kinds) {
            if (other.name == kind.name)
                reader.fail(*table.get("name"), "name", "a name that no other kind has");
        }
        kind.weight = reader.number("weight", weightRange);
        if (const toml::table* distribution = reader.child("distribution"))
            this->readDistribution(*distribution, kind.distribution);
        const std::string urgency = reader.text("urgency");
        if (const auto value = Core::enumValue<Messages::Urgency>(urgency))
            kind.urgency = *value;
        else if (table.contains("urgency"))
            reader.fail(*table.get("urgency"), "urgency", "background, normal or counter");
        kind.isIdempotent = reader.flag("idempotent");
        kind.shareWeight = reader.count("shareWeight", { 1, 1000, "weight" });
        this->forEachTable(reader, "jobSizes", [&](const toml::table& size) {
            TableReader sizeReader = this->open(size, "kind.jobSizes");
            const std::uint32_t tasks = sizeReader.count("tasks", { 1, double(Messages::maximumTasksPerJob), "tasks" });
            kind.jobSizes.push_back({ tasks, sizeReader.number("weight", weightRange) });
            sizeReader.finish();
        });
        reader.finish();
        workload.kinds.push_back(std::move(kind));
    }
    void readDistribution(const toml::table& table, RunTimeDistribution& distribution)
    {
        TableReader reader = this->open(table, "kind.distribution");
        if (reader.text("type") != "log-uniform" && table.contains("type"))
            reader.fail(*table.get("type"), "type", "log-uniform");
        const double minimum = reader.number("minimumMs", runTimeRange);
        const double maximum = reader.number("maximumMs", runTimeRange);
        if (maximum < minimum && table.contains("maximumMs"))
            reader.fail(*table.get("maximumMs"), "maximumMs", "at least minimumMs");
        distribution = { fromMilliseconds(minimum), fromMilliseconds(maximum) };
        reader.finish();
    }
    void readPhase(const toml::table& table, Workload& workload)
    {
        TableReader reader = this->open(table, "phase");
        PhaseDescription phase;
        phase.name = reader.text("name");
        phase.duration = fromMilliseconds(1000 * reader.number("durationSeconds", { 0.001, 86'400, "s" }));
        phase.loadPercent = reader.number("loadPercent", { 0, 10'000, "percent" });
        phase.floodFactor = reader.number("floodFactor", { 1, 10'000, "times" }, 1);
        const std::string floodKind = reader.text("floodKind", true);
        if (!floodKind.empty()) {
            phase.floodKind = floodKind;
            const bool isKnown = std::any_of(workload.kinds.begin(), workload.kinds.end(),
                [&](const KindDescription& kind) { return kind.name == floodKind; });
            if (!isKnown)
                reader.fail(*table.get("floodKind"), "floodKind", "the name of a kind");
        }
        reader.finish();
        workload.phases.push_back(std::move(phase));
    }

    const toml::table& root;
    const std::string& fileName;
    std::string problems;
};

}

Duration RunTimeDistribution::at(double quantile) const
{
    const double ratio = double(this->maximum.count()) / double(this->minimum.count());
    return Duration(std::llround(double(this->minimum.count()) * std::pow(ratio, quantile)));
}

Duration RunTimeDistribution::mean() const
{
    const double low = double(this->minimum.count());
    const double high = double(this->maximum.count());
    return high > low ? Duration(std::llround((high - low) / std::log(high / low))) : this->minimum;
}

double KindDescription::meanJobSize() const
{
    double tasks = 0;
    double jobs = 0;
    for (const JobSize& size : this->jobSizes) {
        tasks += size.tasks * size.weight;
        jobs += size.weight;
    }
    return tasks / jobs;
}

Duration Workload::meanRunTime() const
{
    double sum = 0;
    double weights = 0;
    for (const KindDescription& kind : this->kinds) {
        sum += kind.weight * double(kind.distribution.mean().count());
        weights += kind.weight;
    }
    return Duration(std::llround(sum / weights));
}

double Workload::tasksPerSecond(const KindDescription& kind, double loadPercent) const
{
    double weights = 0;
    for (const KindDescription& other : this->kinds)
        weights += other.weight;
    const double slots = double(this->service.workers) * this->service.slotsPerWorker;
    const double allTasks = slots * loadPercent / 100 / (double(this->meanRunTime().count()) / 1e9);
    return allTasks * kind.weight / weights;
}

Core::Result<Workload> parseWorkload(std::string_view text, const std::string& fileName)
{
    try {
        const toml::table root = Core::parseToml(text, fileName);
        return WorkloadReader(root, fileName).read();
    } catch (const toml::parse_error& error) {
        std::ostringstream detail;
        detail << fileName << ":" << error.source().begin.line << ": " << error.description();
        return Core::Error(WorkloadError::Syntax, detail.str());
    }
}

Core::Result<Workload> readWorkload(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
        return Core::Error(WorkloadError::Unreadable, path);
    return parseWorkload(text.str(), path);
}

}
