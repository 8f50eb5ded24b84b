#pragma once

#include <string>
#include <vector>

namespace celeryswitch::Report {

/// Rows of named columns that are printed as text, JSON or CSV.
class Table {
public:
    /// Creates a table without rows.
    explicit Table(std::vector<std::string> columns);

    /// Adds a row with one cell a column. A cell that is a JSON number is written as a number in JSON.
    void addRow(std::vector<std::string> cells);
    /// Names of the columns.
    const std::vector<std::string>& columns() const { return this->names; }
    /// Rows in the order of their addition.
    const std::vector<std::vector<std::string>>& rows() const { return this->cells; }
    /// Aligned columns for a terminal; control characters in cells become '?'.
    std::string text() const;
    /// JSON array with one object a row.
    std::string json() const;
    /// RFC 4180 lines with a header. Cells that a spreadsheet would take for a formula get a leading apostrophe.
    std::string csv() const;

private:
    std::vector<std::string> names;
    std::vector<std::vector<std::string>> cells;
};

/// Text in JSON quotes.
std::string jsonText(const std::string& text);
/// Text with every character that means something in HTML replaced.
std::string htmlText(const std::string& text);
/// A number with that many decimals.
std::string numberText(double value, int decimals);

}
