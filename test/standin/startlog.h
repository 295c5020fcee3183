#pragma once

#include "controller/announcement.h"

#include <fstream>
#include <mutex>
#include <string>

namespace standin {

/// A target's own record of the attempts that it actually started, one line each:
/// "TASK ATTEMPT INCARNATION PAYLOAD", with the payload truncated.
/// A line "over TASK ATTEMPT" says that this start overcommitted the target's slots.
class StartLog
{
public:
    /// Appends to the file \a path; records nothing if \a path is empty.
    explicit StartLog(const std::string &path);

    void recordStart(guavavalve::AttemptId attempt, guavavalve::Incarnation incarnation,
                     const std::string &payload);
    void recordOvercommit(guavavalve::AttemptId attempt);

private:
    std::mutex mutex;
    std::ofstream file;
};

} // namespace standin
