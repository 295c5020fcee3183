#pragma once

#include "replicas/statemachine.h"
#include "workflows/workflowstore.h"

#include <mutex>
#include <utility>

namespace guavavalve::workflows {

/// The book as the replicated log drives it. Read from any thread.
class WorkflowStoreMachine : public StateMachine
{
public:
    std::string apply(LogIndex index, const std::string &command) override;
    std::string takeSnapshot() override;
    Result<void> restoreSnapshot(const std::string &snapshot) override;

    /// Calls \a reader with the book, which does not change meanwhile.
    template<typename Reader>
    auto read(Reader &&reader) const
    {
        const std::lock_guard lock(this->mutex);
        return std::forward<Reader>(reader)(this->store);
    }

private:
    mutable std::mutex mutex;
    WorkflowStore store;
};

} // namespace guavavalve::workflows
