#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace guavavalve {

/// Table of an enumeration's names, one row per enumerator.
template<typename Enum, std::size_t Count>
using EnumNames = std::array<std::pair<Enum, std::string_view>, Count>;

/// The name of \a value in \a table, or "unknown".
template<typename Enum, std::size_t Count>
constexpr std::string_view enumName(const EnumNames<Enum, Count> &table, Enum value)
{
    for (const auto &[candidate, name] : table) {
        if (candidate == value)
            return name;
    }
    return "unknown";
}

/// The enumerator named \a name in \a table, if there is one.
template<typename Enum, std::size_t Count>
constexpr std::optional<Enum> enumFromName(const EnumNames<Enum, Count> &table,
                                           std::string_view name)
{
    for (const auto &[value, candidate] : table) {
        if (candidate == name)
            return value;
    }
    return std::nullopt;
}

} // namespace guavavalve
