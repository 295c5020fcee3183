#pragma once

#include "controller/announcement.h"
#include "core/error.h"

#include <string>
#include <string_view>

namespace guavavalve {

/// Parses an announcement that a target sent as JSON (docs/targets.md).
/// \errors InvalidArgument, naming the field and what is allowed.
Result<Announcement> parseAnnouncement(const std::string &json);

std::string announcementJson(const Announcement &announcement);

/// \errors As for parseAnnouncement().
Result<AnnouncementReply> parseAnnouncementReply(const std::string &json);

std::string announcementReplyJson(const AnnouncementReply &reply);

/// Parses "TASK/ATTEMPT", the inverse of attemptName().
/// \errors InvalidArgument if \a name does not have that form.
Result<AttemptId> parseAttemptName(std::string_view name);

} // namespace guavavalve
