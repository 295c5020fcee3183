#pragma once

#include "controller/announcement.h"
#include "core/error.h"

#include <string>
#include <string_view>

namespace guavavalve {

/// The announcement that a target sent as JSON (docs/targets.md).
/// \errors InvalidArgument with the field, what was found and what is allowed.
Result<Announcement> parseAnnouncement(const std::string &json);

std::string announcementJson(const Announcement &announcement);

/// \errors InvalidArgument, as above.
Result<AnnouncementReply> parseAnnouncementReply(const std::string &json);

std::string announcementReplyJson(const AnnouncementReply &reply);

/// "TASK/ATTEMPT" as an identity.
/// \errors InvalidArgument if it is something else.
Result<AttemptId> parseAttemptName(std::string_view name);

} // namespace guavavalve
