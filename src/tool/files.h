#pragma once

#include "core/error.h"

#include <string>

namespace guavavalve {

/// The content of the file \a path; "-" reads the standard input.
/// \errors InvalidArgument if it cannot be read or is larger than 64 MB.
Result<std::string> readFile(const std::string &path);

} // namespace guavavalve
