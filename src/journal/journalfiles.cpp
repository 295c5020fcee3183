#include "journal/journalfiles.h"

#include <charconv>

namespace guavavalve::internal {

namespace {

constexpr std::size_t numberDigits = 20;

std::string numberedName(std::string_view prefix, std::uint64_t number)
{
    const std::string digits = std::to_string(number);
    return std::string(prefix) + std::string(numberDigits - digits.size(), '0') + digits;
}

} // namespace

std::string fileMagic(std::string_view kind)
{
    return std::string(kind) + static_cast<char>(journalFormat);
}

std::string segmentName(std::uint64_t number)
{
    return numberedName(segmentPrefix, number);
}

std::string snapshotName(LogIndex index)
{
    return numberedName(snapshotPrefix, index);
}

std::optional<std::uint64_t> parseFileNumber(std::string_view name, std::string_view prefix)
{
    if (name.size() != prefix.size() + numberDigits || name.substr(0, prefix.size()) != prefix)
        return std::nullopt;
    std::uint64_t number = 0;
    const char *end = name.data() + name.size();
    const auto parsed = std::from_chars(name.data() + prefix.size(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return number;
}

} // namespace guavavalve::internal
