#include "workflows/shares/accountloads.h"

namespace guavavalve::workflows {

std::size_t AccountLoads::numberOf(const std::string &name, Numbers &numbers,
                                   std::vector<std::string> &names)
{
    const auto [found, isNew] = numbers.try_emplace(name, names.size());
    if (isNew)
        names.push_back(name);
    return found->second;
}

AccountLoads::Row AccountLoads::row(const std::string &account, const std::string &queue)
{
    const std::size_t accountNumber = numberOf(account, this->accountNumbers, this->accountNames);
    const std::size_t queueNumber = numberOf(queue, this->queueNumbers, this->queueNames);
    this->rowsOfAccount.resize(this->accountNames.size());
    for (const Row row : this->rowsOfAccount[accountNumber]) { // an account uses few queues
        if (this->entries[row].queue == queueNumber)
            return row;
    }
    this->rowsOfAccount[accountNumber].push_back(this->entries.size());
    this->entries.push_back({accountNumber, queueNumber, {}});
    return this->entries.size() - 1;
}

} // namespace guavavalve::workflows
