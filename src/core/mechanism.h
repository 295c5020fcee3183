#pragma once

#include "core/enumnames.h"
#include "core/error.h"

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace guavavalve {

/// Mechanisms that can be disabled one by one, to measure what each is worth.
enum class Mechanism : std::uint8_t {
    Shares, ///< work of client accounts beyond their share comes last
    Intake, ///< requests that would not be served in time are rejected
    Speeds, ///< learned speeds of targets are stored and used
    HeldCalls, ///< entries hold calls while there is no controller
};

inline constexpr std::size_t mechanismCount = 4;

inline constexpr EnumNames<Mechanism, mechanismCount> mechanismNames{{
    {Mechanism::Shares, "shares"},
    {Mechanism::Intake, "intake"},
    {Mechanism::Speeds, "speeds"},
    {Mechanism::HeldCalls, "held-calls"},
}};

/// The enabled mechanisms; all of them by default.
class MechanismSet
{
public:
    bool has(Mechanism one) const { return !this->disabled.test(static_cast<std::size_t>(one)); }
    void disable(Mechanism one) { this->disabled.set(static_cast<std::size_t>(one)); }

private:
    std::bitset<mechanismCount> disabled;
};

/// All mechanisms without those that \a disabled names, separated by commas.
/// \errors InvalidArgument, naming the unknown mechanism and the known ones.
Result<MechanismSet> mechanismsWithout(std::string_view disabled);

} // namespace guavavalve
