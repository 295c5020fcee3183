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

/// The fields of a JSON object in a request's body. The first that is wrong is remembered, with
/// what was found and what is allowed, and ends the request; until then reading goes on.
class BodyFields
{
public:
    explicit BodyFields(const HttpRequest &request);

    /// A text that is not empty.
    std::string text(const std::string &name);
    std::string text(const std::string &name, const std::string &otherwise);
    bool boolean(const std::string &name, bool otherwise);

    /// The objects of a list; their faults are this object's.
    std::vector<BodyFields> list(const std::string &name);

    /// \a value, or the first fault.
    template<typename Outcome, typename T>
    Result<Outcome> outcome(T value) const
    {
        if (this->fault->has_value())
            return **this->fault;
        return Outcome(std::move(value));
    }

    void refuse(const std::string &message);

private:
    BodyFields(nlohmann::json value, std::string objectPath,
               std::shared_ptr<std::optional<Error>> firstFault);
    void refuseField(const std::string &name, const std::string &allowed);

    nlohmann::json object;
    std::string path; ///< of this object in the request, for errors
    std::shared_ptr<std::optional<Error>> fault;
};

/// The value of query parameter \a name. \errors InvalidArgument if it is missing.
Result<std::string> requiredParameter(const HttpRequest &request, const std::string &name);

/// The whole number that query parameter \a name holds, or \a otherwise if it is missing.
/// \errors InvalidArgument if it is anything else.
Result<std::uint64_t> numberParameter(const HttpRequest &request, const std::string &name,
                                      std::uint64_t otherwise);

} // namespace guavavalve
