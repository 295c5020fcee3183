#pragma once

#include "core/error.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace guavavalve {

/// The fields of a JSON object in a request, read with a clear error for each that is wrong.
class JsonFields
{
public:
    /// \errors InvalidArgument if \a text is not a JSON object.
    static Result<JsonFields> parse(const std::string &text);

    /// \errors InvalidArgument if the field is missing, empty or of another type.
    Result<std::string> text(const std::string &name) const;
    /// As above, but \a otherwise if it is missing.
    Result<std::string> text(const std::string &name, const std::string &otherwise) const;
    Result<bool> boolean(const std::string &name, bool otherwise) const;

    /// The objects of a list. \errors InvalidArgument if it is missing or holds anything else.
    Result<std::vector<JsonFields>> list(const std::string &name) const;

private:
    JsonFields(nlohmann::json value, std::string objectPath);
    Error wrong(const std::string &name, const std::string &allowed) const;

    nlohmann::json object;
    std::string path; ///< of this object in the request, for errors
};

} // namespace guavavalve
