#include "celeryswitch/Report/ReportPlot.h"

#include "celeryswitch/Report/ReportWriter.h"
#include "celeryswitch/Report/Table.h"
#include <algorithm>
#include <array>

namespace celeryswitch::Report {

namespace {

constexpr std::size_t maximumColumns = 60;
constexpr std::size_t maximumBars = 30;
constexpr double plotWidth = 600;
constexpr double plotHeight = 180;

// Colours that stay apart for readers with the common colour deficiencies.
constexpr std::array<const char*, 4> colours { "#1b7f79", "#c8553d", "#d9a300", "#7b8794" };
constexpr std::array<const char*, 4> names { "succeeded", "failed", "unconfirmed", "never started" };

std::array<std::uint64_t, 4> partsOf(const OutcomeCounts& counts)
{
    return { counts.succeeded, counts.failed, counts.unconfirmed, counts.neverStarted };
}

std::string rectangle(double x, double y, double width, double height, const char* colour, const std::string& title)
{
    return "<rect x=\"" + numberText(x, 2) + "\" y=\"" + numberText(y, 2) + "\" width=\"" + numberText(width, 2)
        + "\" height=\"" + numberText(height, 2) + "\" fill=\"" + colour + "\"><title>" + htmlText(title)
        + "</title></rect>";
}

std::string label(double x, double y, const std::string& text)
{
    return "<text x=\"" + numberText(x, 1) + "\" y=\"" + numberText(y, 1) + "\">" + htmlText(text) + "</text>";
}

std::string drawing(double height, const std::string& description, const std::string& content)
{
    return "<svg viewBox=\"0 0 " + numberText(plotWidth, 0) + " " + numberText(height, 0)
        + "\" role=\"img\" aria-label=\"" + htmlText(description) + "\">" + content + "</svg>\n";
}

void add(OutcomeCounts& sum, const OutcomeCounts& counts)
{
    sum.succeeded += counts.succeeded;
    sum.failed += counts.failed;
    sum.unconfirmed += counts.unconfirmed;
    sum.neverStarted += counts.neverStarted;
}

}

std::string legend()
{
    std::string content;
    for (std::size_t index = 0; index < names.size(); ++index) {
        const double x = 150.0 * static_cast<double>(index);
        content += rectangle(x, 4, 12, 12, colours[index], names[index]) + label(x + 18, 15, names[index]);
    }
    return drawing(22, "colours of the outcomes", content);
}

std::string minutePlot(const std::map<std::int64_t, OutcomeCounts>& counts)
{
    if (counts.empty())
        return {};
    const std::int64_t first = counts.begin()->first;
    const std::int64_t span = counts.rbegin()->first - first + 1;
    const std::int64_t step
        = (span + static_cast<std::int64_t>(maximumColumns) - 1) / static_cast<std::int64_t>(maximumColumns);
    std::map<std::int64_t, OutcomeCounts> columns;
    for (const auto& [minute, value] : counts)
        add(columns[(minute - first) / step], value);
    std::uint64_t highest = 1;
    for (const auto& [column, value] : columns)
        highest = std::max(highest, value.total());
    const double width = plotWidth / static_cast<double>((span + step - 1) / step);
    std::string content;
    for (const auto& [column, value] : columns) {
        double bottom = plotHeight;
        const std::array<std::uint64_t, 4> parts = partsOf(value);
        for (std::size_t index = 0; index < parts.size(); ++index) {
            const double height = (plotHeight - 20) * static_cast<double>(parts[index]) / static_cast<double>(highest);
            bottom -= height;
            if (parts[index] != 0)
                content += rectangle(static_cast<double>(column) * width, bottom, width * 0.9, height, colours[index],
                    minuteText(first + column * step) + ": " + std::to_string(parts[index]) + " " + names[index]);
        }
    }
    content += label(0, 12, "tasks in " + std::to_string(step) + " min, at most " + std::to_string(highest))
        + label(0, plotHeight + 16, minuteText(first))
        + label(plotWidth - 110, plotHeight + 16, minuteText(counts.rbegin()->first));
    return "<h2>Tasks over time</h2>" + drawing(plotHeight + 20, "tasks by outcome over time", content);
}

std::string barPlot(const std::map<std::string, OutcomeCounts>& counts)
{
    std::vector<std::pair<std::string, OutcomeCounts>> bars(counts.begin(), counts.end());
    std::stable_sort(bars.begin(), bars.end(),
        [](const auto& left, const auto& right) { return left.second.total() > right.second.total(); });
    bars.resize(std::min(bars.size(), maximumBars));
    std::string content;
    double y = 0;
    for (const auto& [name, value] : bars) {
        const std::array<std::uint64_t, 4> parts = partsOf(value);
        const double total = static_cast<double>(std::max<std::uint64_t>(value.total(), 1));
        double x = 0;
        content += label(0, y + 13, name + ": " + std::to_string(value.total()) + " tasks");
        for (std::size_t index = 0; index < parts.size(); ++index) {
            const double width = plotWidth * static_cast<double>(parts[index]) / total;
            if (parts[index] != 0)
                content += rectangle(x, y + 18, width, 12, colours[index],
                    name + ": " + std::to_string(parts[index]) + " " + names[index]);
            x += width;
        }
        y += 40;
    }
    return drawing(std::max(y, 1.0), "parts of the outcomes", content);
}

}
