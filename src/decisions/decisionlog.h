#pragma once

#include "decisions/decisionrecord.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace guavavalve::internal {

/// Ring buffer of the most recent decisions; the oldest record is overwritten when it is full.
class DecisionLog
{
public:
    explicit DecisionLog(std::size_t maxRecords);

    /// Appends the decision to \a out and records it.
    void emit(const Decision &decision, std::uint32_t considered, Instant now,
              std::vector<Decision> &out);

    /// The latest decision about \a task, or nullptr if none is recorded any longer.
    const DecisionRecord *find(TaskId task) const;

private:
    std::size_t capacity;
    std::size_t next = 0;
    std::vector<DecisionRecord> records;
    std::unordered_map<TaskId, std::size_t> byTask;
};

} // namespace guavavalve::internal
