#pragma once

#include <pplx/pplxtasks.h>

#include <functional>

namespace guavavalve::internal {

/// Calls \a settled when \a sending has ended, whether or not it succeeded.
void whenSettled(const pplx::task<void> &sending, std::function<void()> settled);

} // namespace guavavalve::internal
