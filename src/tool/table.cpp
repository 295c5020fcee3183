#include "tool/table.h"

#include <algorithm>
#include <cstdio>

namespace guavavalve {

namespace {

using Row = std::vector<std::string>;

std::string formatNumber(double value)
{
    constexpr std::size_t maxLength = 32;
    std::string text(maxLength, '\0');
    const int length = std::snprintf(text.data(), text.size(), "%.3g", value);
    text.resize(static_cast<std::size_t>(std::max(length, 0)));
    return text;
}

std::string formatLine(const Row &cells, const std::vector<std::size_t> &widths)
{
    constexpr std::size_t gap = 2;
    std::string line;
    for (std::size_t i = 0; i < cells.size(); ++i) {
        line += cells[i];
        if (i + 1 < cells.size())
            line.append(widths[i] + gap - cells[i].size(), ' ');
    }
    return line + "\n";
}

} // namespace

std::string formatCell(const nlohmann::json &value)
{
    if (value.is_string())
        return value.get_ref<const std::string &>().empty() ? "-" : value.get<std::string>();
    if (value.is_null())
        return "-";
    if (value.is_boolean())
        return value.get<bool>() ? "yes" : "no";
    if (value.is_number_float())
        return formatNumber(value.get<double>());
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string formatTable(const std::vector<Column> &columns, const nlohmann::json &rows)
{
    std::vector<Row> lines(1);
    for (const Column &column : columns)
        lines.front().push_back(column.title);
    for (const nlohmann::json &row : rows) {
        Row cells;
        for (const Column &column : columns) {
            const nlohmann::json::json_pointer pointer(column.pointer);
            cells.push_back(row.contains(pointer) ? formatCell(row.at(pointer)) : "-");
        }
        lines.push_back(std::move(cells));
    }
    std::vector<std::size_t> widths(columns.size(), 0);
    for (const Row &cells : lines) {
        for (std::size_t i = 0; i < cells.size(); ++i)
            widths[i] = std::max(widths[i], cells[i].size());
    }
    std::string text;
    for (const Row &cells : lines)
        text += formatLine(cells, widths);
    return text;
}

} // namespace guavavalve
