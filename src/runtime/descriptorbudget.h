#pragma once

#include "core/enumnames.h"
#include "core/error.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace guavavalve {

/// The purposes for which a process opens file descriptors.
enum class DescriptorUse : std::uint8_t {
    Files, ///< journal, snapshots, logs
    Peers, ///< connections to and from other instances
    Callers, ///< connections accepted by the HTTP listeners
    Targets, ///< connections to targets
    Admissions, ///< connections to the admission service
    Spare, ///< event queues, timers and everything else
};

inline constexpr EnumNames<DescriptorUse, 6> descriptorUseNames{{
    {DescriptorUse::Files, "files"},
    {DescriptorUse::Peers, "peers"},
    {DescriptorUse::Callers, "callers"},
    {DescriptorUse::Targets, "targets"},
    {DescriptorUse::Admissions, "admissions"},
    {DescriptorUse::Spare, "spare"},
}};

/// The part of a process's file descriptors that is reserved for one use.
struct DescriptorShare
{
    DescriptorUse use = DescriptorUse::Spare;
    std::size_t minimum = 0; ///< the use does not work with fewer
    std::size_t weight = 0; ///< share of what remains after all minimums
};

/// Divides the file descriptors of a process among their uses, so that no use can exhaust what
/// another one needs.
///
/// Without it, connections could take every descriptor; the journal then fails to open its next
/// file, which terminates the replica.
class DescriptorBudget
{
public:
    /// Divides \a limit descriptors.
    /// \errors InvalidArgument if the limit is below the sum of the minimums; the message says how
    /// many are needed.
    static Result<DescriptorBudget> divide(std::size_t limit,
                                           const std::vector<DescriptorShare> &shares);

    /// The number of descriptors for \a use; 0 if it has no share.
    std::size_t of(DescriptorUse use) const { return this->parts[static_cast<std::size_t>(use)]; }

private:
    std::array<std::size_t, descriptorUseNames.size()> parts{};
};

} // namespace guavavalve
