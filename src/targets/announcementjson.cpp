#include "targets/announcementjson.h"

#include "targets/targetcontract.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <limits>

namespace guavavalve {

namespace {

using nlohmann::json;

constexpr std::size_t maxNameBytes = 128;
constexpr std::size_t maxAttempts = 4096;
constexpr std::int64_t maxAmount = std::numeric_limits<std::int32_t>::max();

Error wrongField(const std::string &field, const std::string &allowed)
{
    return failure(ErrorCode::InvalidArgument, "field \"" + field + "\" must be " + allowed);
}

Result<json> parseObject(const std::string &text)
{
    json document = json::parse(text, nullptr, false);
    if (!document.is_object())
        return failure(ErrorCode::InvalidArgument, "the body must be a JSON object");
    return document;
}

Result<std::string> readText(const json &document, const std::string &field, bool required)
{
    const auto found = document.find(field);
    if (found == document.end() && !required)
        return std::string();
    if (found == document.end() || !found->is_string())
        return wrongField(field, "a string");
    auto text = found->get<std::string>();
    if (text.size() > maxNameBytes || (required && text.empty()))
        return wrongField(field, "a string of 1 to 128 bytes");
    return text;
}

Result<Resources> readResources(const json &document, const std::string &field)
{
    Resources resources;
    const auto found = document.find(field);
    if (found == document.end())
        return resources;
    if (!found->is_object())
        return wrongField(field, "an object of amounts");
    for (const auto &[name, value] : found->items()) {
        std::size_t kind = 0;
        while (kind < resourceKindCount && resourceKindNames[kind] != name)
            ++kind;
        std::string path = field;
        path.append(".").append(name);
        if (kind == resourceKindCount)
            return wrongField(path,
                              "one of milliCores, memoryMb, accelerators, slots, connections");
        if (!value.is_number_integer() || value < 0 || value > maxAmount)
            return wrongField(path, "a whole number from 0 to 2147483647");
        resources.amounts[kind] = value.get<std::int64_t>();
    }
    return resources;
}

Result<std::vector<AttemptId>> readAttempts(const json &document, const std::string &field)
{
    std::vector<AttemptId> attempts;
    const auto found = document.find(field);
    if (found == document.end())
        return attempts;
    if (!found->is_array() || found->size() > maxAttempts)
        return wrongField(field, "an array of at most 4096 attempts");
    for (const json &item : *found) {
        if (!item.is_string())
            return wrongField(field, "an array of strings \"TASK/ATTEMPT\"");
        auto attempt = parseAttemptName(item.get_ref<const std::string &>());
        if (!attempt)
            return attempt.error();
        attempts.push_back(attempt.value());
    }
    return attempts;
}

json attemptsJson(const std::vector<AttemptId> &attempts)
{
    json array = json::array();
    for (const AttemptId &attempt : attempts)
        array.push_back(attemptName(attempt));
    return array;
}

json resourcesJson(const Resources &resources)
{
    json object = json::object();
    for (std::size_t i = 0; i < resourceKindCount; ++i)
        object[std::string(resourceKindNames[i])] = resources.amounts[i];
    return object;
}

/// Reads the string fields; returns the first error.
Result<void> readTexts(const json &document, Announcement &announcement)
{
    struct Field
    {
        const char *name;
        std::string *into;
        bool required;
    };
    const Field fields[] = {{"name", &announcement.name, true},
                            {"address", &announcement.address, true},
                            {"failureDomain", &announcement.failureDomain, true},
                            {"rack", &announcement.rack, false}};
    for (const Field &field : fields) {
        auto text = readText(document, field.name, field.required);
        if (!text)
            return text.error();
        *field.into = std::move(text).value();
    }
    return boost::outcome_v2::success();
}

Result<void> readAmounts(const json &document, Announcement &announcement)
{
    auto total = readResources(document, "total");
    if (!total)
        return total.error();
    auto used = readResources(document, "used");
    if (!used)
        return used.error();
    announcement.total = total.value();
    announcement.used = used.value();
    auto running = readAttempts(document, "running");
    if (!running)
        return running.error();
    auto revoked = readAttempts(document, "revoked");
    if (!revoked)
        return revoked.error();
    announcement.running = std::move(running).value();
    announcement.revoked = std::move(revoked).value();
    return boost::outcome_v2::success();
}

} // namespace

Result<AttemptId> parseAttemptName(std::string_view name)
{
    AttemptId attempt;
    std::uint64_t task = 0;
    const char *end = name.data() + name.size();
    const auto taskEnd = std::from_chars(name.data(), end, task);
    if (taskEnd.ec != std::errc() || taskEnd.ptr == end || *taskEnd.ptr != '/')
        return wrongField("attempt", "\"TASK/ATTEMPT\", two whole numbers");
    const auto attemptEnd = std::from_chars(taskEnd.ptr + 1, end, attempt.attempt);
    if (attemptEnd.ec != std::errc() || attemptEnd.ptr != end)
        return wrongField("attempt", "\"TASK/ATTEMPT\", two whole numbers");
    attempt.task = TaskId{task};
    return attempt;
}

Result<Announcement> parseAnnouncement(const std::string &text)
{
    auto parsed = parseObject(text);
    if (!parsed)
        return parsed.error();
    const json &document = parsed.value();
    Announcement announcement;
    if (auto read = readTexts(document, announcement); !read)
        return read.error();
    if (auto read = readAmounts(document, announcement); !read)
        return read.error();
    const auto incarnation = document.find("incarnation");
    if (incarnation == document.end() || !incarnation->is_number_unsigned() || *incarnation == 0U)
        return wrongField("incarnation", "a whole number above 0");
    announcement.incarnation = incarnation->get<Incarnation>();
    const auto departing = document.find("departing");
    if (departing != document.end()) {
        if (!departing->is_boolean())
            return wrongField("departing", "true or false");
        announcement.departing = departing->get<bool>();
    }
    return announcement;
}

std::string announcementJson(const Announcement &announcement)
{
    return json{{"name", announcement.name},
                {"incarnation", announcement.incarnation},
                {"address", announcement.address},
                {"failureDomain", announcement.failureDomain},
                {"rack", announcement.rack},
                {"total", resourcesJson(announcement.total)},
                {"used", resourcesJson(announcement.used)},
                {"departing", announcement.departing},
                {"running", attemptsJson(announcement.running)},
                {"revoked", attemptsJson(announcement.revoked)}}
        .dump();
}

Result<AnnouncementReply> parseAnnouncementReply(const std::string &text)
{
    auto parsed = parseObject(text);
    if (!parsed)
        return parsed.error();
    const json &document = parsed.value();
    AnnouncementReply reply;
    const auto lease = document.find("leaseMs");
    if (lease == document.end() || !lease->is_number_integer() || *lease < 0)
        return wrongField("leaseMs", "a whole number of milliseconds, at least 0");
    reply.leaseMs = lease->get<std::int64_t>();
    auto revoke = readAttempts(document, "revoke");
    if (!revoke)
        return revoke.error();
    auto forget = readAttempts(document, "forget");
    if (!forget)
        return forget.error();
    reply.revoke = std::move(revoke).value();
    reply.forget = std::move(forget).value();
    return reply;
}

std::string announcementReplyJson(const AnnouncementReply &reply)
{
    return json{{"target", idValue(reply.target)},
                {"leaseMs", reply.leaseMs},
                {"revoke", attemptsJson(reply.revoke)},
                {"forget", attemptsJson(reply.forget)}}
        .dump();
}

} // namespace guavavalve
