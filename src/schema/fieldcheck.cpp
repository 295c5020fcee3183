#include "schema/fieldcheck.h"

#include "schema/jsondocument.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cctype>
#include <map>
#include <optional>
#include <set>

namespace guavavalve {
namespace internal {

namespace {

using nlohmann::json;

bool isLetterOrDigit(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 && static_cast<unsigned char>(c) < 128;
}

bool isPort(const std::string &text)
{
    constexpr int maxPort = 65535;
    constexpr std::size_t maxDigits = 5;
    if (text.empty() || text.size() > maxDigits)
        return false;
    if (!std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; }))
        return false;
    return std::stoi(text) <= maxPort;
}

bool inRange(std::size_t length, const FieldSpec &spec)
{
    return length >= static_cast<std::size_t>(spec.minimum)
        && length <= static_cast<std::size_t>(spec.maximum);
}

bool textAllowed(const std::string &text, const FieldSpec &spec)
{
    if (!spec.choices.empty())
        return std::find(spec.choices.begin(), spec.choices.end(), text) != spec.choices.end();
    if (text.empty() && spec.minimum == 0)
        return true;
    switch (spec.format) {
    case TextFormat::Name:
        return isName(text);
    case TextFormat::Endpoint:
        return isEndpoint(text);
    case TextFormat::Any:
        break;
    }
    return true;
}

bool integerAllowed(const json &value, const FieldSpec &spec)
{
    if (!value.is_number_integer())
        return false;
    // A number above the signed range would wrap to a negative one, which some fields allow.
    if (value.is_number_unsigned()
        && value.get<std::uint64_t>()
            > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()))
        return false;
    const auto number = value.get<std::int64_t>();
    return number >= spec.minimum && number <= spec.maximum;
}

bool listAllowed(const json &value, const FieldSpec &spec)
{
    if (!value.is_array() || !inRange(value.size(), spec))
        return false;
    return std::all_of(value.begin(), value.end(), [&spec](const json &item) {
        return item.is_string() && !item.get_ref<const std::string &>().empty()
            && textAllowed(item.get_ref<const std::string &>(), spec);
    });
}

bool valueAllowed(const json &value, const FieldSpec &spec)
{
    switch (spec.type) {
    case FieldType::Boolean:
        return value.is_boolean();
    case FieldType::Integer:
        return integerAllowed(value, spec);
    case FieldType::Text:
        return value.is_string() && inRange(value.get_ref<const std::string &>().size(), spec)
            && textAllowed(value.get_ref<const std::string &>(), spec);
    case FieldType::TextList:
        return listAllowed(value, spec);
    }
    return false;
}

/// Compares a document with its table, recursively.
class FieldChecker
{
public:
    explicit FieldChecker(const std::vector<FieldSpec> &specs)
    {
        for (const FieldSpec &spec : specs) {
            this->specsByPath.emplace(spec.path, &spec);
            for (std::size_t dot = spec.path.find('.'); dot != std::string::npos;
                 dot = spec.path.find('.', dot + 1))
                this->groups.insert(spec.path.substr(0, dot));
        }
    }

    void checkObject(const json &object, const std::string &path)
    {
        for (const auto &[name, value] : object.items()) {
            // A name with a dot in it would be mistaken for a path of several names.
            const bool dotted = name.find('.') != std::string::npos;
            this->checkValue(value, joinPath(path, name), !dotted);
        }
    }

    std::vector<Problem> problems;

private:
    void checkValue(const json &value, const std::string &path, bool canBeKnown)
    {
        const auto spec = this->specsByPath.find(path);
        if (canBeKnown && spec != this->specsByPath.end()) {
            if (!valueAllowed(value, *spec->second))
                this->problems.push_back({path, truncatedJson(value), spec->second->allowed()});
        } else if (canBeKnown && this->groups.count(path) != 0) {
            if (value.is_object())
                this->checkObject(value, path);
            else
                this->problems.push_back({path, truncatedJson(value), "an object"});
        } else {
            this->problems.push_back({path, "an unknown name", "the names on the reference page"});
        }
    }

    std::map<std::string, const FieldSpec *> specsByPath;
    std::set<std::string> groups;
};

} // namespace

} // namespace internal

std::vector<Problem> checkFields(const std::vector<FieldSpec> &specs,
                                 const nlohmann::json &document)
{
    internal::FieldChecker checker(specs);
    checker.checkObject(document, "");
    for (const FieldSpec &spec : specs) {
        if (spec.required && findField(document, spec.path) == nullptr)
            checker.problems.push_back({spec.path, "nothing", spec.allowed()});
    }
    return checker.problems;
}

const nlohmann::json *findField(const nlohmann::json &document, const std::string &path)
{
    const nlohmann::json *value = &document;
    std::size_t begin = 0;
    while (begin <= path.size()) {
        const std::size_t end = std::min(path.find('.', begin), path.size());
        if (!value->is_object())
            return nullptr;
        const auto child = value->find(path.substr(begin, end - begin));
        if (child == value->end())
            return nullptr;
        value = &*child;
        begin = end + 1;
    }
    return value;
}

bool isEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || !internal::isPort(text.substr(colon + 1)))
        return false;
    std::string host = text.substr(0, colon);
    in6_addr address{};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &address) == 1;
    return inet_pton(AF_INET, host.c_str(), &address) == 1;
}

bool isName(const std::string &text)
{
    constexpr std::size_t maxNameLength = 64;
    if (text.empty() || text.size() > maxNameLength || !internal::isLetterOrDigit(text.front()))
        return false;
    return std::all_of(text.begin(), text.end(), [](char c) {
        return internal::isLetterOrDigit(c) || c == '-' || c == '_' || c == '.';
    });
}

std::string FieldSpec::allowed() const
{
    const std::string lower = std::to_string(this->minimum);
    const std::string upper = std::to_string(this->maximum);
    const std::string range = lower + " to " + upper;
    if (!this->choices.empty()) {
        std::string names;
        for (const std::string &choice : this->choices)
            names += (names.empty() ? "one of " : ", ") + choice;
        return names;
    }
    switch (this->type) {
    case FieldType::Boolean:
        return "true or false";
    case FieldType::Integer: {
        const std::string unitText(enumName(unitNames, this->unit));
        return "a whole number from " + range + (unitText.empty() ? "" : " " + unitText);
    }
    case FieldType::Text:
        return std::string(enumName(textFormatNames, this->format)) + ", " + range
            + " characters long";
    case FieldType::TextList:
        return "a list of " + range
            + " of: " + std::string(enumName(textFormatNames, this->format));
    }
    return "";
}

} // namespace guavavalve
