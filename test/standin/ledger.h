#pragma once

#include "controller/announcement.h"

#include <fstream>
#include <mutex>
#include <string>

namespace standin {

/// A target's own record of what it really started, one line a start:
/// "TASK ATTEMPT INCARNATION PAYLOAD", the payload cut short.
/// A line "over TASK ATTEMPT" says that the start was one more than the target has slots.
class Ledger
{
public:
    /// An empty \a path keeps no record.
    explicit Ledger(const std::string &path);

    void started(guavavalve::AttemptId attempt, guavavalve::Incarnation incarnation,
                 const std::string &payload);
    void overcommitted(guavavalve::AttemptId attempt);

private:
    std::mutex mutex;
    std::ofstream file;
};

} // namespace standin
