#include "standin/ledger.h"

using namespace guavavalve;

namespace standin {

Ledger::Ledger(const std::string &path)
{
    if (!path.empty())
        this->file.open(path, std::ios::app);
}

void Ledger::started(AttemptId attempt, Incarnation incarnation)
{
    const std::lock_guard lock(this->mutex);
    // Flushed line by line: a killed target's record must hold everything that it started.
    this->file << idValue(attempt.task) << ' ' << attempt.attempt << ' ' << incarnation
               << std::endl;
}

void Ledger::overcommitted(AttemptId attempt)
{
    const std::lock_guard lock(this->mutex);
    this->file << "over " << idValue(attempt.task) << ' ' << attempt.attempt << std::endl;
}

} // namespace standin
