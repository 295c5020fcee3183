#pragma once

#include <cstdint>

namespace guavavalve::workflows {

/// Fencing tokens of one controller in one term: each is higher than all earlier ones of the term,
/// and than all tokens of earlier terms, so no two controllers give the same one.
///
/// A target rejects orders with a lower token than one that it has seen. The term alone fences out
/// earlier controllers; the number within the term also fences out this controller's own orders for
/// an earlier incarnation of the target, which the target's name cannot tell apart.
class FenceSequence
{
public:
    /// \a term: less than 2^25. The tokens are then below 2^53, which readers that hold numbers as
    /// floating point keep exactly.
    explicit FenceSequence(std::uint64_t term = 0);

    /// At most 2^28 - 1 times in a term.
    std::uint64_t next();

private:
    std::uint64_t last;
};

} // namespace guavavalve::workflows
