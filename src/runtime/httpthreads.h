#pragma once

#include <cstddef>

namespace guavavalve {

/// Sets the size of the thread pool that cpprestsdk shares between all its clients and listeners.
/// Must be called before the first of them is created; later calls have no effect.
void initializeHttpThreads(std::size_t threads);

} // namespace guavavalve
