#pragma once

#include "core/clock.h"
#include "core/error.h"

#include <map>
#include <string>
#include <vector>

namespace guavavalve {

/// One request of the tool.
struct ToolRequest
{
    std::string method = "GET";
    std::string path; ///< with its query, encoded
    std::map<std::string, std::string> headers;
    std::string body;
};

struct ToolAnswer
{
    int status = 0;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
};

/// Where the tool sends its requests.
struct SessionOptions
{
    std::vector<std::string> servers; ///< "ip:port" or URLs of entries, tried in turn
    std::string key; ///< bearer token; empty: none is shown
    Milliseconds timeout{30000}; ///< of one try at one entry, and of coming back
};

/// Talks to the first entry that answers. While all of them say that they cannot at the moment,
/// and when to come back, it comes back, until the time is up.
///
/// A request that may have been carried out is sent again only to a further entry, and only
/// because each change carries its own identity: a second arrival gives the first one's outcome.
class HttpSession
{
public:
    explicit HttpSession(SessionOptions options);

    /// \errors the entry's own error; Unavailable if no entry could be reached, with
    /// Ran::Unknown if one may have taken the request.
    Result<ToolAnswer> send(const ToolRequest &request) const;

private:
    Result<ToolAnswer> tryEach(const ToolRequest &request) const;
    Result<ToolAnswer> sendTo(const std::string &server, const ToolRequest &request) const;

    SessionOptions options;
};

/// \a text as it may stand in a query.
std::string encodeForQuery(const std::string &text);

/// The error that an answer of status 400 or more holds.
Error errorOf(const ToolAnswer &answer);

} // namespace guavavalve
