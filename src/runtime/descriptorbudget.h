#pragma once

#include "core/enumnames.h"
#include "core/error.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace guavavalve {

/// What a process opens file descriptors for.
enum class DescriptorUse : std::uint8_t {
    Files, ///< journal, snapshots, logs
    Peers, ///< connections with other instances, either way
    Callers, ///< connections that the listeners accept
    Targets, ///< connections to targets
    Admissions, ///< connections to the admission service
    Spare, ///< event queues, timers, and what nobody thought of
};

inline constexpr EnumNames<DescriptorUse, 6> descriptorUseNames{{
    {DescriptorUse::Files, "files"},
    {DescriptorUse::Peers, "peers"},
    {DescriptorUse::Callers, "callers"},
    {DescriptorUse::Targets, "targets"},
    {DescriptorUse::Admissions, "admissions"},
    {DescriptorUse::Spare, "spare"},
}};

/// How much of a process's descriptors one use gets.
struct DescriptorShare
{
    DescriptorUse use = DescriptorUse::Spare;
    std::size_t least = 0; ///< descriptors without which the use does not work
    std::size_t weight = 0; ///< part of what is left after all the least numbers
};

/// Descriptors divided among their uses, so that none can take what another needs.
///
/// Guards against a journal that cannot open its next file because connections have taken every
/// descriptor, which ends the replica.
class DescriptorBudget
{
public:
    /// Divides \a limit descriptors.
    /// \errors InvalidArgument if the limit is below the sum of the least numbers; the message says
    /// how many are needed.
    static Result<DescriptorBudget> divide(std::size_t limit,
                                           const std::vector<DescriptorShare> &shares);

    /// 0 for a use that has no share.
    std::size_t of(DescriptorUse use) const { return this->parts[static_cast<std::size_t>(use)]; }

private:
    std::array<std::size_t, descriptorUseNames.size()> parts{};
};

} // namespace guavavalve
