#pragma once

#include "workflows/shares/accountload.h"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace guavavalve::workflows {

/// What each client account has and wants in each queue in which it has work, as found while a plan
/// is made. Accounts and queues are numbered in the order in which they were added.
class AccountLoads
{
public:
    /// One account's work in one queue, by position in the table.
    using Row = std::size_t;

    /// Adds the row if it is not in the table yet.
    Row row(const std::string &account, const std::string &queue);

    std::size_t size() const { return this->entries.size(); }
    AccountLoad &operator[](Row row) { return this->entries[row].load; }
    const AccountLoad &operator[](Row row) const { return this->entries[row].load; }
    std::size_t accountOf(Row row) const { return this->entries[row].account; }
    std::size_t queueOf(Row row) const { return this->entries[row].queue; }

    const std::vector<std::string> &accounts() const { return this->accountNames; }
    const std::vector<std::string> &queues() const { return this->queueNames; }

private:
    struct Entry
    {
        std::size_t account = 0;
        std::size_t queue = 0;
        AccountLoad load;
    };
    using Numbers = std::unordered_map<std::string, std::size_t>;

    static std::size_t numberOf(const std::string &name, Numbers &numbers,
                                std::vector<std::string> &names);

    Numbers accountNumbers;
    Numbers queueNumbers;
    std::vector<std::string> accountNames;
    std::vector<std::string> queueNames;
    std::vector<Entry> entries;
    std::vector<std::vector<Row>> rowsOfAccount;
};

} // namespace guavavalve::workflows
