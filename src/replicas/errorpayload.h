#pragma once

#include "core/error.h"

namespace guavavalve::internal {

/// The payload of an error reply. Wraps the Error because a Result cannot hold an Error as its
/// value.
struct ErrorPayload
{
    Error error;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->error);
    }
};

} // namespace guavavalve::internal
