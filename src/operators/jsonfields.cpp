#include "operators/jsonfields.h"

#include <utility>

namespace guavavalve {

JsonFields::JsonFields(nlohmann::json value, std::string objectPath)
    : object(std::move(value))
    , path(std::move(objectPath))
{}

Result<JsonFields> JsonFields::parse(const std::string &text)
{
    nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
    if (!value.is_object())
        return failure(ErrorCode::InvalidArgument, "the body is not a JSON object");
    return JsonFields(std::move(value), "");
}

Error JsonFields::wrong(const std::string &name, const std::string &allowed) const
{
    constexpr std::size_t shownBytes = 60;
    const auto field = this->object.find(name);
    const std::string found = field == this->object.end() ? "is missing"
                                                          : "is "
            + field->dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
                  .substr(0, shownBytes);
    return failure(ErrorCode::InvalidArgument,
                   this->path + name + " " + found + "; give " + allowed);
}

Result<std::string> JsonFields::text(const std::string &name) const
{
    const auto field = this->object.find(name);
    if (field == this->object.end() || !field->is_string()
        || field->get_ref<const std::string &>().empty())
        return this->wrong(name, "a text that is not empty");
    return field->get<std::string>();
}

Result<std::string> JsonFields::text(const std::string &name, const std::string &otherwise) const
{
    const auto field = this->object.find(name);
    if (field == this->object.end())
        return otherwise;
    if (!field->is_string())
        return this->wrong(name, "a text");
    return field->get<std::string>();
}

Result<bool> JsonFields::boolean(const std::string &name, bool otherwise) const
{
    const auto field = this->object.find(name);
    if (field == this->object.end())
        return otherwise;
    if (!field->is_boolean())
        return this->wrong(name, "true or false");
    return field->get<bool>();
}

Result<std::vector<JsonFields>> JsonFields::list(const std::string &name) const
{
    const auto field = this->object.find(name);
    if (field == this->object.end() || !field->is_array())
        return this->wrong(name, "a list of objects");
    std::vector<JsonFields> result;
    for (std::size_t i = 0; i < field->size(); ++i) {
        if (!(*field)[i].is_object())
            return this->wrong(name, "a list of objects");
        result.push_back(
            JsonFields((*field)[i], this->path + name + "[" + std::to_string(i) + "]."));
    }
    return result;
}

} // namespace guavavalve
