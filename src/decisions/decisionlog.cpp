#include "decisions/decisionlog.h"

namespace guavavalve::internal {

DecisionLog::DecisionLog(std::size_t maxRecords)
    : capacity(maxRecords)
{}

void DecisionLog::emit(const Decision &decision, std::uint32_t considered, Instant now,
                       std::vector<Decision> &out)
{
    out.push_back(decision);
    if (this->records.size() < this->capacity) {
        this->records.emplace_back();
    } else {
        const auto oldest = this->byTask.find(this->records[this->next].task);
        if (oldest != this->byTask.end() && oldest->second == this->next)
            this->byTask.erase(oldest);
    }
    DecisionRecord &record = this->records[this->next];
    record.task = decision.task;
    record.at = now;
    record.target = decision.target;
    record.considered = considered;
    record.kind = decision.kind;
    record.reason = decision.reason;
    this->byTask[decision.task] = this->next;
    this->next = (this->next + 1) % this->capacity;
}

const DecisionRecord *DecisionLog::find(TaskId task) const
{
    const auto entry = this->byTask.find(task);
    return entry == this->byTask.end() ? nullptr : &this->records[entry->second];
}

} // namespace guavavalve::internal
