#pragma once

#include "core/clock.h"
#include "core/error.h"

#include <map>
#include <string>
#include <vector>

namespace guavavalve {

/// An HTTP request to an entry instance.
struct ToolRequest
{
    std::string method = "GET";
    std::string path; ///< including the query, percent-encoded
    std::map<std::string, std::string> headers;
    std::string body;
};

/// The HTTP response to a ToolRequest.
struct ToolResponse
{
    int status = 0;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
};

/// Where and how an HttpSession sends its requests.
struct SessionOptions
{
    std::vector<std::string> servers; ///< "ip:port" or URLs of entry instances, tried in this order
    std::string key; ///< bearer token; empty: none is sent
    Milliseconds timeout{30000}; ///< of one attempt at one server, and of all retries together
};

/// Sends requests to the first entry instance that answers. While every one of them is temporarily
/// unavailable and says when to retry, the request is retried until the timeout.
///
/// A request that may have been carried out is only sent again to the next server, never retried
/// after a delay. This is safe because each change carries its own identity: a duplicate returns
/// the outcome of the first arrival.
class HttpSession
{
public:
    explicit HttpSession(SessionOptions options);

    /// \errors the error that the server returned; Unavailable if no server could be reached, with
    /// Ran::Unknown if one of them may have received the request.
    Result<ToolResponse> send(const ToolRequest &request) const;

private:
    Result<ToolResponse> tryServers(const ToolRequest &request) const;
    Result<ToolResponse> sendTo(const std::string &server, const ToolRequest &request) const;

    SessionOptions options;
};

/// \a text percent-encoded for use in a URL.
std::string encodeForQuery(const std::string &text);

/// The error that a response with status 400 or higher contains.
Error errorOf(const ToolResponse &response);

} // namespace guavavalve
