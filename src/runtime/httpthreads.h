#pragma once

#include <cstddef>

namespace guavavalve {

/// Sets how many threads the HTTP library runs, for servers and clients together. Called once,
/// before the first of either is made; a later call changes nothing.
void initializeHttpThreads(std::size_t threads);

} // namespace guavavalve
