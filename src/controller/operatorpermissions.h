#pragma once

#include "controller/operatorrequest.h"
#include "core/error.h"

#include <string>

namespace guavavalve {

/// Checks whether \a identity may make the request \a body. Operators may make every request; a
/// team may read what is open to everybody, and write its own section. \a sectionOwner: owner of
/// the section to be written.
/// \errors PermissionDenied, naming whose key is required.
Result<void> checkPermission(const OperatorIdentity &identity, const OperatorRequestBody &body,
                             const std::string &sectionOwner);

/// The owner of a section that has not been written yet: team NAME for "team.NAME", otherwise the
/// operators.
std::string ownerOfNewSection(const std::string &section);

} // namespace guavavalve
