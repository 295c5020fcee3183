#pragma once

#include "workflows/model/policy.h"
#include "workflows/shares/accountload.h"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace guavavalve::workflows {

/// What each client account has and wants in each queue, as found while a plan is made.
class AccountLoads
{
public:
    /// Position of one account and queue in the table.
    using Row = std::size_t;

    explicit AccountLoads(const Policy &policy);

    /// Adds the account if it is not in the table yet. \a queue: one of the policy's.
    Row row(const std::string &account, const QueuePolicy &queue);

    AccountLoad &operator[](Row row) { return this->loads[row]; }
    const AccountLoad &operator[](Row row) const { return this->loads[row]; }
    Row row(std::size_t account, std::size_t queue) const
    {
        return account * this->queueNames.size() + queue;
    }
    std::size_t accountOf(Row row) const { return row / this->queueNames.size(); }
    std::size_t queueOf(Row row) const { return row % this->queueNames.size(); }

    const std::vector<std::string> &accounts() const { return this->accountNames; }
    const std::vector<std::string> &queues() const { return this->queueNames; }

private:
    std::vector<std::string> queueNames;
    std::unordered_map<const QueuePolicy *, std::size_t> queueIndex;
    std::vector<std::string> accountNames;
    std::unordered_map<std::string, std::size_t> accountIndex;
    std::vector<AccountLoad> loads; ///< by account and then by queue
};

} // namespace guavavalve::workflows
