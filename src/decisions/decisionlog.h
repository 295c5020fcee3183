#pragma once

#include "decisions/decisionrecord.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace guavavalve::internal {

/// The last decisions, in constant space: the oldest gives way.
class DecisionLog
{
public:
    explicit DecisionLog(std::size_t capacity);

    /// Appends the decision to \a out and keeps a record of it.
    void emit(const Decision &decision, std::uint32_t considered, Instant now,
              std::vector<Decision> &out);

    /// The last decision about \a task that is still kept, or nullptr.
    const DecisionRecord *find(TaskId task) const;

private:
    std::size_t capacity;
    std::size_t next = 0;
    std::vector<DecisionRecord> records;
    std::unordered_map<TaskId, std::size_t> byTask;
};

} // namespace guavavalve::internal
