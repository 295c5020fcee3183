#include "state/sectiondiff.h"

#include "schema/jsondocument.h"
#include "state/configuration.h"

#include <map>

namespace guavavalve {
namespace internal {

namespace {

using Leaves = std::map<std::string, std::string>;

void collectLeaves(const nlohmann::json &object, const std::string &path, Leaves &leaves)
{
    for (const auto &[name, value] : object.items()) {
        const std::string at = joinPath(path, name);
        if (value.is_object())
            collectLeaves(value, at, leaves);
        else
            leaves[at] = truncatedJson(value);
    }
}

Leaves leavesOf(const std::string &text)
{
    Leaves leaves;
    const JsonDocument document = parseJson(text, Configuration::maxSectionBytes);
    if (document.problems.empty())
        collectLeaves(document.value, "", leaves);
    return leaves;
}

} // namespace

} // namespace internal

std::vector<FieldChange> sectionChanges(const std::string &before, const std::string &after)
{
    internal::Leaves old = internal::leavesOf(before);
    std::map<std::string, FieldChange> changes;
    for (const auto &[path, value] : internal::leavesOf(after)) {
        const auto previous = old.find(path);
        if (previous == old.end())
            changes[path] = {path, "", value};
        else if (previous->second != value)
            changes[path] = {path, previous->second, value};
        if (previous != old.end())
            old.erase(previous);
    }
    for (const auto &[path, value] : old)
        changes[path] = {path, value, ""};
    std::vector<FieldChange> list;
    list.reserve(changes.size());
    for (auto &row : changes)
        list.push_back(std::move(row.second));
    return list;
}

std::string changesText(const std::string &before, const std::string &after)
{
    constexpr std::size_t truncateAfterBytes = 600;
    std::string text;
    for (const FieldChange &change : sectionChanges(before, after)) {
        if (text.size() > truncateAfterBytes)
            return text + ", and more";
        text += (text.empty() ? "" : ", ") + change.path + ": "
            + (change.before.empty() ? "not set" : change.before) + " -> "
            + (change.after.empty() ? "not set" : change.after);
    }
    return text.empty() ? "nothing" : text;
}

} // namespace guavavalve
