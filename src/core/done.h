#pragma once

#include "core/error.h"

#include <functional>

namespace guavavalve {

/// Completion handler of an asynchronous operation: called exactly once with the outcome, from any
/// thread. It must not block.
template<typename T>
using Done = std::function<void(Result<T>)>;

/// Value type of an operation that succeeds without a value or fails.
struct Nothing
{
    template<typename Archive>
    void serialize(Archive &)
    {}
};

} // namespace guavavalve
