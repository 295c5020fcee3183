#pragma once

#include <cstdint>

namespace guavavalve::workflows {

/// Counts the targets that were lost while they ran a task.
struct LossCount
{
    std::uint16_t crashes = 0; ///< targets that crashed
    std::uint16_t earlyCrashes = 0; ///< crashes soon after the target had started the task
    /// Targets that have either crashed or lost their connection; not known yet.
    std::uint16_t openLosses = 0;
    std::uint16_t earlyOpenLosses = 0; ///< open losses soon after the target had started the task

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->crashes, this->earlyCrashes, this->openLosses, this->earlyOpenLosses);
    }
};

} // namespace guavavalve::workflows
