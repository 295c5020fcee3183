#pragma once

#include "core/error.h"

#include <string>

namespace guavavalve {

/// The whole of file \a path; "-" is the standard input.
/// \errors InvalidArgument if it cannot be read or is larger than 64 MB.
Result<std::string> readFile(const std::string &path);

} // namespace guavavalve
