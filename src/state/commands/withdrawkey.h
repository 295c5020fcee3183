#pragma once

#include <string>

namespace guavavalve {

/// Withdraws a key, for good.
/// \errors NotFound if there is no such key.
struct WithdrawKey
{
    std::string requestId; ///< a resend returns the first result
    std::string keyId;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->requestId, this->keyId);
    }
};

} // namespace guavavalve
