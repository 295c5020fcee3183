#pragma once

#include "schema/fieldspec.h"
#include "schema/problem.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace guavavalve {

/// All problems of \a document according to the table \a specs: fields that are unknown, of the
/// wrong type, out of range, or required and missing.
std::vector<Problem> checkFields(const std::vector<FieldSpec> &specs,
                                 const nlohmann::json &document);

/// The value at \a path ("a.b"), or nullptr if there is none.
const nlohmann::json *findField(const nlohmann::json &document, const std::string &path);

/// True for "a.b.c.d:port" and "[v6]:port" with a numeric address; port 0 (any free port) is
/// allowed.
bool isEndpoint(const std::string &text);

/// True for a name that is safe in paths and file names: see TextFormat::Name.
bool isName(const std::string &text);

} // namespace guavavalve
