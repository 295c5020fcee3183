#include "operators/requestfields.h"

#include "runtime/httpserver.h"

#include <charconv>
#include <utility>

namespace guavavalve {

BodyFields::BodyFields(const HttpRequest &request)
    : object(nlohmann::json::parse(request.body, nullptr, false))
    , firstError(std::make_shared<std::optional<Error>>())
{
    if (!this->object.is_object()) {
        this->recordError("the body is not a JSON object");
        this->object = nlohmann::json::object();
    }
}

BodyFields::BodyFields(nlohmann::json value, std::string objectPath,
                       std::shared_ptr<std::optional<Error>> firstError)
    : object(std::move(value))
    , path(std::move(objectPath))
    , firstError(std::move(firstError))
{}

void BodyFields::recordError(const std::string &message)
{
    if (!this->firstError->has_value())
        *this->firstError = failure(ErrorCode::InvalidArgument, message);
}

void BodyFields::recordFieldError(const std::string &name, const std::string &allowed)
{
    constexpr std::size_t maxQuotedBytes = 60;
    std::string found = "is missing";
    if (const auto field = this->object.find(name); field != this->object.end()) {
        const auto replace = nlohmann::json::error_handler_t::replace;
        found = "is " + field->dump(-1, ' ', false, replace).substr(0, maxQuotedBytes);
    }
    this->recordError(this->path + name + " " + found + "; give " + allowed);
}

std::string BodyFields::text(const std::string &name)
{
    std::string value = this->text(name, "");
    if (value.empty())
        this->recordFieldError(name, "a non-empty string");
    return value;
}

std::string BodyFields::text(const std::string &name, const std::string &defaultValue)
{
    const auto field = this->object.find(name);
    if (field == this->object.end())
        return defaultValue;
    if (field->is_string())
        return field->get<std::string>();
    this->recordFieldError(name, "a string");
    return defaultValue;
}

bool BodyFields::boolean(const std::string &name, bool defaultValue)
{
    const auto field = this->object.find(name);
    if (field == this->object.end())
        return defaultValue;
    if (field->is_boolean())
        return field->get<bool>();
    this->recordFieldError(name, "true or false");
    return defaultValue;
}

std::vector<BodyFields> BodyFields::list(const std::string &name)
{
    const auto field = this->object.find(name);
    std::vector<BodyFields> result;
    if (field == this->object.end() || !field->is_array()) {
        this->recordFieldError(name, "an array of objects");
        return result;
    }
    for (std::size_t i = 0; i < field->size(); ++i) {
        if (!(*field)[i].is_object()) {
            this->recordFieldError(name, "an array of objects");
            return result;
        }
        const std::string itemPath = this->path + name + "[" + std::to_string(i) + "].";
        result.push_back(BodyFields((*field)[i], itemPath, this->firstError));
    }
    return result;
}

Result<std::string> requiredParameter(const HttpRequest &request, const std::string &name)
{
    std::string text = request.parameter(name);
    if (text.empty())
        return failure(ErrorCode::InvalidArgument, "query parameter " + name + " is missing");
    return text;
}

Result<std::uint64_t> numberParameter(const HttpRequest &request, const std::string &name,
                                      std::uint64_t defaultValue)
{
    const std::string text = request.parameter(name);
    if (text.empty())
        return defaultValue;
    std::uint64_t value = 0;
    const char *const textEnd = text.data() + text.size();
    const auto [end, problem] = std::from_chars(text.data(), textEnd, value);
    if (problem != std::errc() || end != textEnd)
        return failure(ErrorCode::InvalidArgument,
                       "query parameter " + name + " is \"" + text + "\"; give a whole number");
    return value;
}

} // namespace guavavalve
