#pragma once

namespace standin {

/// How a stand-in target has been told to break the contract; all off at first.
struct Misbehaviour
{
    bool failAll = false; ///< every task fails
    bool half = false; ///< only the first half of each answer is sent
    bool twice = false; ///< each answer is sent twice over
    bool wrongAttempt = false; ///< replies name another attempt, and carry its answer
    bool ignoreStop = false; ///< a stop changes nothing
    bool silent = false; ///< requests are taken and never answered
    bool outOfOrder = false; ///< replies overtake one another
    int lateMs = 0; ///< replies are held for so long
    int refuseMs = 0; ///< connections are refused for so long, once
};

} // namespace standin
