#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace guavavalve {

/// Decodes percent-encoding in a URI component (RFC 3986, section 2.1); none if it is malformed.
std::optional<std::string> percentDecoded(std::string_view encoded);

/// Encodes the path of a URI: all but letters, digits, and what a path may hold as it is.
std::string percentEncoded(std::string_view path);

/// The host of \a authority ("host", "host:port", "[v6]:port"), in the one form in which equal
/// hosts are equal texts: in lower case, without the final dot of a full domain name.
std::string hostName(std::string_view authority);

} // namespace guavavalve
