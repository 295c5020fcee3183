#include "standin/startlog.h"

#include <algorithm>

using namespace guavavalve;

namespace standin {

StartLog::StartLog(const std::string &path)
{
    if (!path.empty())
        this->file.open(path, std::ios::app);
}

void StartLog::recordStart(AttemptId attempt, Incarnation incarnation, const std::string &payload)
{
    constexpr std::size_t shownBytes = 80;
    std::string shown = payload.substr(0, shownBytes);
    std::replace(shown.begin(), shown.end(), '\n', ' ');
    const std::lock_guard lock(this->mutex);
    // Flushed after each line: the record of a killed target must contain all of its starts.
    this->file << idValue(attempt.task) << ' ' << attempt.attempt << ' ' << incarnation << ' '
               << shown << std::endl;
}

void StartLog::recordOvercommit(AttemptId attempt)
{
    const std::lock_guard lock(this->mutex);
    this->file << "over " << idValue(attempt.task) << ' ' << attempt.attempt << std::endl;
}

} // namespace standin
