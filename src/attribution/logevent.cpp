#include "attribution/logevent.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <ctime>

namespace guavavalve::attribution {

namespace {

constexpr std::int64_t msPerSecond = 1000;

/// "2026-01-02T03:04:05.123456+0000" as milliseconds of calendar time; zero if it cannot be parsed.
std::int64_t readTime(const std::string &text)
{
    std::tm parts{};
    const char *rest = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
    if (rest == nullptr)
        return 0;
    char *zone = nullptr;
    const double fraction = *rest == '.' ? std::strtod(rest, &zone) : 0.0;
    const long offset = zone == nullptr ? 0 : std::strtol(zone, nullptr, 10);
    constexpr long hundred = 100;
    constexpr long secondsPerMinute = 60;
    const long offsetSeconds =
        (offset / hundred * secondsPerMinute + offset % hundred) * secondsPerMinute;
    return (static_cast<std::int64_t>(timegm(&parts)) - offsetSeconds) * msPerSecond
        + static_cast<std::int64_t>(fraction * static_cast<double>(msPerSecond));
}

/// The last word of \a prefix, without the separator that follows it.
std::string readProcess(const std::string &prefix)
{
    const std::size_t end = prefix.find_last_not_of(" \t:|");
    if (end == std::string::npos)
        return {};
    const std::size_t begin = prefix.find_last_of(" \t", end);
    return prefix.substr(begin == std::string::npos ? 0 : begin + 1,
                         end - (begin == std::string::npos ? -1 : begin));
}

} // namespace

std::string LogEvent::text(const std::string &field) const
{
    const auto found = this->fields.find(field);
    return found == this->fields.end() ? std::string() : found->second;
}

std::int64_t LogEvent::number(const std::string &field) const
{
    return std::strtoll(this->text(field).c_str(), nullptr, 10);
}

std::optional<LogEvent> parseLogLine(const std::string &line)
{
    const std::size_t brace = line.find('{');
    if (brace == std::string::npos)
        return std::nullopt;
    const nlohmann::json json = nlohmann::json::parse(line.substr(brace), nullptr, false);
    if (!json.is_object() || !json.contains("event") || !json.contains("time"))
        return std::nullopt;
    LogEvent event;
    event.process = readProcess(line.substr(0, brace));
    for (const auto &[name, value] : json.items())
        event.fields[name] = value.is_string() ? value.get<std::string>() : value.dump();
    event.name = event.text("event");
    event.atMs = readTime(event.text("time"));
    if (event.atMs == 0)
        return std::nullopt;
    return event;
}

} // namespace guavavalve::attribution
