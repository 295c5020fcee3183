#pragma once

#include "schema/problem.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace guavavalve {

/// Maximum nesting depth of a document.
inline constexpr std::size_t maxJsonDepth = 16;

/// Maximum number of values in a document. An empty list takes 2 bytes of text and over 100 of
/// memory.
inline constexpr std::size_t maxJsonValues = 500'000;

/// A JSON document with the problems that were found while it was parsed.
struct JsonDocument
{
    nlohmann::json value;
    bool isComplete = false; ///< parsed to its end, possibly with duplicate names
    std::vector<Problem> problems; ///< duplicate names, bad syntax, too deep, too long
};

/// Parses \a text, which must be one object of at most \a maxBytes and \a maxValues values, nested
/// at most \a maxDepth deep. A name that occurs twice in an object is reported as a problem; the
/// last value does not silently win.
JsonDocument parseJson(const std::string &text, std::size_t maxBytes,
                       std::size_t maxDepth = maxJsonDepth, std::size_t maxValues = maxJsonValues);

/// Joins "a.b" and "c" to "a.b.c".
std::string joinPath(const std::string &path, const std::string &name);

/// \a value as JSON text, truncated to a length that fits a message; invalid UTF-8 is replaced.
std::string truncatedJson(const nlohmann::json &value);

} // namespace guavavalve
