#pragma once

#include <algorithm>
#include <cstddef>
#include <string>

namespace guavavalve::workflows {

/// Where one client account stands in one queue, for logs and metrics. Shares are dominant shares
/// of what the work of the queue's service and of its priority or a more urgent one can have.
struct AccountStanding
{
    std::string account;
    std::string queue;
    bool isContended = false; ///< there is less than the accounts want
    double due = 1.0; ///< 1: nothing is contended, or the account may have all that it wants
    double placed = 0.0; ///< share that its placed tasks have now
    double recent = 0.0; ///< share that it has had recently
    std::size_t placedTasks = 0;
    std::size_t waitingTasks = 0;

    /// How far the account is beyond its share; negative: below it.
    double excess() const { return std::max(this->placed, this->recent) - this->due; }
};

} // namespace guavavalve::workflows
