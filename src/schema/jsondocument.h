#pragma once

#include "schema/problem.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace guavavalve {

/// The deepest nesting that a document may have.
inline constexpr std::size_t maxJsonDepth = 16;

/// A JSON document with the faults found while it was read.
struct JsonDocument
{
    nlohmann::json value;
    bool whole = false; ///< read to its end; a name that stands twice does not prevent that
    std::vector<Problem> problems; ///< a name that stands twice, bad syntax, too deep, too long
};

/// Reads \a text, which must be one object of at most \a maxBytes. A name that stands twice in
/// an object is a problem and not silently the last one's value.
JsonDocument parseJson(const std::string &text, std::size_t maxBytes);

/// "a.b" and "c" joined: "a.b.c".
std::string joinPath(const std::string &path, const std::string &name);

/// \a value as JSON text, cut to a length that fits a message; bytes that are not UTF-8 replaced.
std::string truncatedJson(const nlohmann::json &value);

} // namespace guavavalve
