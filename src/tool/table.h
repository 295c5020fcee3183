#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace guavavalve {

/// A column of a text table: its title, and where to find its value in the JSON of a row.
struct Column
{
    std::string title;
    std::string pointer; ///< JSON pointer (RFC 6901)
};

/// Formats \a rows as aligned lines of text below a line of titles.
std::string formatTable(const std::vector<Column> &columns, const nlohmann::json &rows);

/// Formats the value of a cell: strings without quotes, "-" for null or an empty string.
std::string formatCell(const nlohmann::json &value);

} // namespace guavavalve
