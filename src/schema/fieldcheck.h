#pragma once

#include "schema/fieldspec.h"
#include "schema/problem.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace guavavalve {

/// Every fault of \a document against the table \a specs: fields that are unknown, of the wrong
/// type, out of range or missing though required.
std::vector<Problem> checkFields(const std::vector<FieldSpec> &specs,
                                 const nlohmann::json &document);

/// The value at \a path ("a.b"), or null if it is not there.
const nlohmann::json *findField(const nlohmann::json &document, const std::string &path);

/// True for "a.b.c.d:port" and "[v6]:port", by number; port 0 is allowed (any free one).
bool isEndpoint(const std::string &text);

/// True for a name that can stand in paths and file names: see TextFormat::Name.
bool isName(const std::string &text);

} // namespace guavavalve
