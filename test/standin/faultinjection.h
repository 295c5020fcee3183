#pragma once

namespace standin {

/// The ways in which a stand-in target breaks the target contract; all are off by default.
struct FaultInjection
{
    bool failAll = false; ///< every task fails
    bool half = false; ///< sends only the first half of each answer
    bool twice = false; ///< sends each answer twice in one body
    bool wrongAttempt = false; ///< replies name another attempt but carry this one's answer
    bool ignoreStop = false; ///< stop requests and revocations have no effect
    bool silent = false; ///< accepts requests and never answers
    bool outOfOrder = false; ///< delays every second reply, so that later ones overtake it
    int lateMs = 0; ///< delay of each reply
    int refuseMs = 0; ///< refuses connections for this time, once
};

} // namespace standin
