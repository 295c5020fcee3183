#pragma once

#include "controller/operatorrequest.h"
#include "core/error.h"

#include <string>

namespace guavavalve {

/// Whether \a identity may ask \a question. Operators may ask everything; a team may read what
/// everybody may, and write its own section. \a sectionOwner is that of a section to be written.
/// \errors PermissionDenied, saying whose key is wanted.
Result<void> checkPermission(const OperatorIdentity &identity, const OperatorRequestBody &question,
                             const std::string &sectionOwner);

/// Who owns a section of that name that nobody has written yet: "team.NAME" is NAME's, every
/// other is the operators'.
std::string ownerOfNewSection(const std::string &section);

} // namespace guavavalve
