#pragma once

#include "core/error.h"

#include <functional>

namespace guavavalve {

/// Called exactly once with the outcome of an asynchronous operation, from any thread. It must
/// not block.
template<typename T>
using Done = std::function<void(Result<T>)>;

/// The value of an operation that has only success or an error to tell.
struct Nothing
{
    template<typename Archive>
    void serialize(Archive &)
    {}
};

} // namespace guavavalve
