#include "standin/ledger.h"

#include <algorithm>

using namespace guavavalve;

namespace standin {

Ledger::Ledger(const std::string &path)
{
    if (!path.empty())
        this->file.open(path, std::ios::app);
}

void Ledger::started(AttemptId attempt, Incarnation incarnation, const std::string &payload)
{
    constexpr std::size_t shownBytes = 80;
    std::string shown = payload.substr(0, shownBytes);
    std::replace(shown.begin(), shown.end(), '\n', ' ');
    const std::lock_guard lock(this->mutex);
    // Flushed line by line: a killed target's record must hold everything that it started.
    this->file << idValue(attempt.task) << ' ' << attempt.attempt << ' ' << incarnation << ' '
               << shown << std::endl;
}

void Ledger::overcommitted(AttemptId attempt)
{
    const std::lock_guard lock(this->mutex);
    this->file << "over " << idValue(attempt.task) << ' ' << attempt.attempt << std::endl;
}

} // namespace standin
