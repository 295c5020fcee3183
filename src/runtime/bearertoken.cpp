#include "runtime/bearertoken.h"

#include "runtime/httpserver.h"

#include <string_view>

namespace guavavalve {

Result<std::string> bearerToken(const HttpRequest &request)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string value = request.header("Authorization");
    if (value.compare(0, scheme.size(), scheme) != 0 || value.size() == scheme.size())
        return failure(ErrorCode::Unauthenticated,
                       "missing or malformed Authorization header; expected \"Authorization: "
                       "Bearer KEYID:SECRET\"");
    return value.substr(scheme.size());
}

} // namespace guavavalve
