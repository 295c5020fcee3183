#pragma once

#include <string>

namespace guavavalve {

/// Withdraws a key, for good.
/// \errors NotFound if there is no such key.
struct WithdrawKey
{
    std::string requestId; ///< a resend returns the first result
    s; ///< t

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->requestId, this->s);
    }
};

} // namespace guavavalve
