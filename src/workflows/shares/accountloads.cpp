#include "workflows/shares/accountloads.h"

#include <cassert>

namespace guavavalve::workflows {

AccountLoads::AccountLoads(const Policy &policy)
{
    for (const auto &[name, queue] : policy.queues) {
        this->queueIndex.emplace(&queue, this->queueNames.size());
        this->queueNames.push_back(name);
    }
}

AccountLoads::Row AccountLoads::row(const std::string &account, const QueuePolicy &queue)
{
    const auto known = this->queueIndex.find(&queue);
    assert(known != this->queueIndex.end() && "pass a queue of the policy that the table is for");
    const auto [found, isNew] = this->accountIndex.try_emplace(account, this->accountNames.size());
    if (isNew) {
        this->accountNames.push_back(account);
        this->loads.resize(this->accountNames.size() * this->queueNames.size());
    }
    return this->row(found->second, known->second);
}

} // namespace guavavalve::workflows
