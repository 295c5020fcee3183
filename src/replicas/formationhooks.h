#pragma once

#include "core/done.h"
#include "core/error.h"
#include "journal/logindex.h"
#include "replicas/identifyrequest.h"
#include "replicas/identityreply.h"

#include <functional>
#include <string>

namespace guavavalve {

/// What GroupFormation asks of the owner of its replica.
struct FormationHooks
{
    /// Asks which replica runs at an address. Its outcome is reported on the log's thread, at the
    /// latest after a timeout.
    std::function<void(const std::string &address, const IdentifyRequest &request,
                       const std::function<void(Result<IdentityReply>)> &done)>
        identify;
    /// Called with the index of the group's first entry, to answer the caller once it is applied.
    std::function<void(LogIndex index, const Done<Nothing> &done)> onFirstEntry;
};

} // namespace guavavalve
