#include "schema/jsondocument.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace guavavalve {
namespace internal {

namespace {

using nlohmann::json;

constexpr std::size_t maxShownLength = 80;
constexpr std::size_t maxProblems = 100;

/// The parser repeats what it has read last, which may be no valid text.
std::string printable(std::string text)
{
    constexpr auto isPrintable = [](char c) { return c >= ' ' && c <= '~'; };
    std::replace_if(text.begin(), text.end(), std::not_fn(isPrintable), '?');
    return text;
}

/// Builds the document during parsing. The library's own builder silently keeps the last of two
/// equal names, so an operator's edit of the first one would have no effect.
class DocumentBuilder : public nlohmann::json_sax<json>
{
public:
    DocumentBuilder(JsonDocument &into, std::size_t maxDepth, std::size_t maxValues)
        : document(into)
        , maxDepth(maxDepth)
        , maxValues(maxValues)
    {}

    bool null() override { return this->add(json()); }
    bool boolean(bool value) override { return this->add(json(value)); }
    bool number_integer(number_integer_t value) override { return this->add(json(value)); }
    bool number_unsigned(number_unsigned_t value) override { return this->add(json(value)); }
    bool number_float(number_float_t value, const string_t &) override
    {
        return this->add(json(value));
    }
    bool string(string_t &value) override { return this->add(json(std::move(value))); }
    bool binary(binary_t &) override { return false; }

    bool start_object(std::size_t) override { return this->open(json::object()); }
    bool end_object() override { return this->close(); }
    bool start_array(std::size_t) override { return this->open(json::array()); }
    bool end_array() override { return this->close(); }

    bool key(string_t &name) override
    {
        this->names.back() = name;
        if (this->stack.back()->contains(name))
            this->report({this->path(), "the name twice in one object", "each name once"});
        return true;
    }

    bool parse_error(std::size_t position, const std::string &,
                     const nlohmann::detail::exception &error) override
    {
        this->report(
            {"",
             "bad JSON at byte " + std::to_string(position) + " (" + printable(error.what()) + ")",
             "one JSON object"});
        return false;
    }

private:
    std::string path() const
    {
        std::string text;
        for (const std::string &name : this->names)
            text = joinPath(text, name);
        return text;
    }

    json *insert(json value)
    {
        if (this->stack.empty()) {
            this->document.value = std::move(value);
            return &this->document.value;
        }
        json &parent = *this->stack.back();
        if (parent.is_array()) {
            parent.push_back(std::move(value));
            return &parent.back();
        }
        json &slot = parent[this->names.back()];
        slot = std::move(value);
        return &slot;
    }

    /// False, with a problem, once there are too many.
    bool countValue()
    {
        if (++this->values <= this->maxValues)
            return true;
        this->report({this->path(), "more than " + std::to_string(this->maxValues) + " values",
                      "a smaller document"});
        return false;
    }

    bool add(json value)
    {
        if (!this->countValue())
            return false;
        this->insert(std::move(value));
        return true;
    }

    bool open(json value)
    {
        if (!this->countValue())
            return false;
        if (this->stack.size() >= this->maxDepth) {
            this->report({this->path(), "nesting deeper than " + std::to_string(this->maxDepth),
                          "less nesting"});
            return false;
        }
        const bool array = value.is_array();
        this->stack.push_back(this->insert(std::move(value)));
        this->names.emplace_back(array ? "[]" : "");
        return true;
    }

    bool close()
    {
        this->stack.pop_back();
        this->names.pop_back();
        return true;
    }

    void report(Problem problem)
    {
        if (this->document.problems.size() < maxProblems)
            this->document.problems.push_back(std::move(problem));
    }

    JsonDocument &document;
    std::size_t maxDepth;
    std::size_t maxValues;
    std::size_t values = 0;
    /// The open objects and arrays. The pointers stay valid because elements are added only to the
    /// innermost one.
    std::vector<json *> stack;
    std::vector<std::string> names;
};

} // namespace

} // namespace internal

JsonDocument parseJson(const std::string &text, std::size_t maxBytes, std::size_t maxDepth,
                       std::size_t maxValues)
{
    JsonDocument document;
    if (text.size() > maxBytes) {
        document.problems.push_back({"", std::to_string(text.size()) + " bytes",
                                     "at most " + std::to_string(maxBytes) + " bytes"});
        return document;
    }
    internal::DocumentBuilder builder(document, maxDepth, maxValues);
    document.isComplete = nlohmann::json::sax_parse(text, &builder);
    if (document.problems.empty() && !document.value.is_object())
        document.problems.push_back({"", truncatedJson(document.value), "one JSON object"});
    return document;
}

std::string joinPath(const std::string &path, const std::string &name)
{
    if (path.empty() || name.empty())
        return path + name;
    return path + "." + name;
}

std::string truncatedJson(const nlohmann::json &value)
{
    std::string text = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (text.size() > internal::maxShownLength) {
        text.resize(internal::maxShownLength);
        text += "...";
    }
    return text;
}

} // namespace guavavalve
