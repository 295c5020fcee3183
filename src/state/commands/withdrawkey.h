#pragma once

#include <string>

namespace guavavalve {

/// Withdraws an API key permanently.
/// \errors NotFound if there is no such key; Conflict if it is the last operator key in use.
struct WithdrawKey
{
    std::string requestId; ///< a resend with the same ID returns the first result
    std::string keyId;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->requestId, this->keyId);
    }
};

} // namespace guavavalve
