#include "runtime/readiness.h"

namespace guavavalve {

void Readiness::addCondition(NotReadyReason reason, Condition holds)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->conditions.emplace_back(reason, std::move(holds));
}

void Readiness::started()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->starting = false;
}

void Readiness::beginShutdown()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->shuttingDown = true;
}

std::vector<NotReadyReason> Readiness::reasons() const
{
    std::vector<NotReadyReason> result;
    std::vector<std::pair<NotReadyReason, Condition>> currentConditions;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (this->starting)
            result.push_back(NotReadyReason::Starting);
        if (this->shuttingDown)
            result.push_back(NotReadyReason::ShuttingDown);
        currentConditions = this->conditions;
    }
    for (const auto &[reason, holds] : currentConditions) {
        if (!holds())
            result.push_back(reason);
    }
    return result;
}

} // namespace guavavalve
