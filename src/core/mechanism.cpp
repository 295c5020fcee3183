#include "core/mechanism.h"

#include <string>

namespace guavavalve {

namespace {

Error unknownMechanism(std::string_view name)
{
    std::string message = "there is no mechanism \"" + std::string(name) + "\"; known are";
    for (const auto &[value, known] : mechanismNames)
        message += " " + std::string(known);
    return failure(ErrorCode::InvalidArgument, std::move(message));
}

} // namespace

Result<MechanismSet> mechanismsWithout(std::string_view disabled)
{
    MechanismSet mechanisms;
    while (!disabled.empty()) {
        const std::size_t end = disabled.find(',');
        const std::string_view name = disabled.substr(0, end);
        const auto mechanism = enumFromName(mechanismNames, name);
        if (!mechanism)
            return unknownMechanism(name);
        mechanisms.disable(*mechanism);
        disabled = end == std::string_view::npos ? std::string_view() : disabled.substr(end + 1);
    }
    return mechanisms;
}

} // namespace guavavalve
