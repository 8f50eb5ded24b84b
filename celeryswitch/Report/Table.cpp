#include "celeryswitch/Report/Table.h"

#include "celeryswitch/Core/Assert.h"
#include <algorithm>
#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <cstdio>

namespace celeryswitch::Report {

namespace {

// Whether a cell is a plain decimal number that JSON allows as written.
bool isNumber(const std::string& cell)
{
    const std::size_t start = !cell.empty() && cell.front() == '-' ? 1 : 0;
    const std::size_t point = std::min(cell.find('.'), cell.size());
    const auto isDigits = [](const std::string& text) {
        return !text.empty() && text.find_first_not_of("0123456789") == std::string::npos;
    };
    if (!isDigits(cell.substr(std::min(start, point), point - std::min(start, point))) || cell.size() > 20)
        return false;
    if (cell[start] == '0' && point > start + 1)
        return false;
    return point == cell.size() || isDigits(cell.substr(point + 1));
}

std::string terminalText(std::string text)
{
    std::replace_if(
        text.begin(), text.end(), [](unsigned char character) { return character < 32 || character == 127; }, '?');
    return text;
}

std::string csvCell(const std::string& cell)
{
    const bool isFormula = !isNumber(cell) && !cell.empty() && std::string("=+-@\t\r").find(cell[0]) < 6;
    const std::string text = isFormula ? "'" + cell : cell;
    if (text.find_first_of(",\"\r\n") == std::string::npos)
        return text;
    std::string quoted = "\"";
    for (char character : text)
        quoted += character == '"' ? "\"\"" : std::string(1, character);
    return quoted + "\"";
}

// Characters of a UTF-8 text, for alignment.
std::size_t width(const std::string& text)
{
    return std::count_if(text.begin(), text.end(), [](char character) { return (character & 0xC0) != 0x80; });
}

}

Table::Table(std::vector<std::string> columns)
    : names(std::move(columns))
{
}

void Table::addRow(std::vector<std::string> row)
{
    CELERY_ASSERT(row.size() == this->names.size());
    this->cells.push_back(std::move(row));
}

std::string Table::text() const
{
    std::vector<std::vector<std::string>> lines { this->names };
    for (const std::vector<std::string>& row : this->cells) {
        lines.emplace_back();
        for (const std::string& cell : row)
            lines.back().push_back(terminalText(cell));
    }
    std::string result;
    for (const std::vector<std::string>& line : lines) {
        for (std::size_t column = 0; column < line.size(); ++column) {
            std::size_t widest = 0;
            for (const std::vector<std::string>& other : lines)
                widest = std::max(widest, width(other[column]));
            const std::string padding(widest - width(line[column]), ' ');
            const bool alignsRight = &line != &lines.front() && isNumber(line[column]);
            result += alignsRight ? padding + line[column] : line[column];
            if (column + 1 != line.size())
                result += (alignsRight ? "" : padding) + "  ";
        }
        result += "\n";
    }
    return result;
}

std::string Table::json() const
{
    std::string result = "[";
    for (const std::vector<std::string>& row : this->cells) {
        result += result.size() > 1 ? ",\n {" : "\n {";
        for (std::size_t column = 0; column < row.size(); ++column)
            result += (column == 0 ? "" : ",") + jsonText(this->names[column]) + ":"
                + (isNumber(row[column]) ? row[column] : jsonText(row[column]));
        result += "}";
    }
    return result + "]";
}

std::string Table::csv() const
{
    std::string result;
    const auto addLine = [&](const std::vector<std::string>& line) {
        for (std::size_t column = 0; column < line.size(); ++column)
            result += (column == 0 ? "" : ",") + csvCell(line[column]);
        result += "\r\n";
    };
    addLine(this->names);
    for (const std::vector<std::string>& row : this->cells)
        addLine(row);
    return result;
}

std::string jsonText(const std::string& text) { return boost::json::serialize(boost::json::string(text)); }

std::string htmlText(const std::string& text)
{
    std::string result;
    for (char character : text) {
        switch (character) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        case '\'':
            result += "&#39;";
            break;
        default:
            result += character;
        }
    }
    return result;
}

std::string numberText(double value, int decimals)
{
    char text[64];
    std::snprintf(text, sizeof(text), "%.*f", decimals, value);
    return text;
}

}
