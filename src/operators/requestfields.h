#pragma once

#include "core/error.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace guavavalve {

struct HttpRequest;

/// Reads the fields of the JSON object in a request's body. The first invalid field is recorded
/// with its value and what is allowed, and outcome() returns that error. Reading continues after
/// an error, with default values for invalid fields.
class BodyFields
{
public:
    explicit BodyFields(const HttpRequest &request);

    /// A string that must be present and not empty.
    std::string text(const std::string &name);
    std::string text(const std::string &name, const std::string &defaultValue);
    bool boolean(const std::string &name, bool defaultValue);

    /// The objects of an array. Errors in them are recorded here.
    std::vector<BodyFields> list(const std::string &name);

    /// \a value, or the first error if there is one.
    template<typename Outcome, typename T>
    Result<Outcome> outcome(T value) const
    {
        if (this->firstError->has_value())
            return **this->firstError;
        return Outcome(std::move(value));
    }

    /// Records \a message as the error, unless there is one already.
    void recordError(const std::string &message);

private:
    BodyFields(nlohmann::json value, std::string objectPath,
               std::shared_ptr<std::optional<Error>> firstError);
    void recordFieldError(const std::string &name, const std::string &allowed);

    nlohmann::json object;
    std::string path; ///< of this object in the body, for error messages
    std::shared_ptr<std::optional<Error>> firstError;
};

/// The value of query parameter \a name. \errors InvalidArgument if it is missing.
Result<std::string> requiredParameter(const HttpRequest &request, const std::string &name);

/// The value of query parameter \a name as an unsigned integer, or \a defaultValue if it is
/// missing. \errors InvalidArgument if it is not an unsigned integer.
Result<std::uint64_t> numberParameter(const HttpRequest &request, const std::string &name,
                                      std::uint64_t defaultValue);

} // namespace guavavalve
