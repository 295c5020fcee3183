#pragma once

#include <cstdint>

namespace guavavalve::workflows {

/// What became of a proposal to store a workflow.
enum class StoreOutcome : std::uint8_t {
    Stored,
    NotStored, ///< and will not be
    Unknown, ///< it failed, and may still be stored until the term ends
};

} // namespace guavavalve::workflows
