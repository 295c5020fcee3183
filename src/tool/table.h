#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace guavavalve {

/// A column of a table for people: its title, and where its value stands in a row's JSON.
struct Column
{
    std::string title;
    std::string pointer; ///< JSON pointer (RFC 6901)
};

/// \a rows as aligned lines of text, with a line of titles.
std::string formatTable(const std::vector<Column> &columns, const nlohmann::json &rows);

/// A value as it stands in a cell: texts without quotes, "-" for nothing.
std::string formatCell(const nlohmann::json &value);

} // namespace guavavalve
