#include "tool/commandgroups.h"
#include "tool/inforce.h"
#include "tool/toolcontext.h"
#include "tool/toolflags.h"

#include <absl/flags/flag.h>

namespace guavavalve {

namespace {

using nlohmann::json;

constexpr const char *keysPath = "/v1/operators/keys";

ExitCode grant(const ToolContext &context, const std::vector<std::string> &)
{
    const json body{{"team", absl::GetFlag(FLAGS_team)},
                    {"role", absl::GetFlag(FLAGS_role)},
                    {"label", absl::GetFlag(FLAGS_label)},
                    {"requestId", requestId()}};
    return waitUntilInForce(
        context, context.show(jsonRequest("POST", keysPath, body), [&](const json &granted) {
            context.print(granted["token"].get<std::string>() + "\n");
        }));
}

ExitCode list(const ToolContext &context, const std::vector<std::string> &)
{
    return context.showTable(getRequest(keysPath), "keys",
                             {{"KEY", "/keyId"},
                              {"TEAM", "/team"},
                              {"ROLE", "/role"},
                              {"WITHDRAWN", "/withdrawn"},
                              {"LABEL", "/label"}});
}

ExitCode withdraw(const ToolContext &context, const std::vector<std::string> &arguments)
{
    // Also accepts a complete token, since users copy what they were given. Its secret is not sent.
    const std::string keyId = arguments[0].substr(0, arguments[0].find(':'));
    const json body{{"keyId", keyId}, {"requestId", requestId()}};
    const ToolRequest request = jsonRequest("POST", std::string(keysPath) + "/withdraw", body);
    return waitUntilInForce(context, context.show(request, [&](const json &) {
        context.print(keyId + " is withdrawn\n");
    }));
}

} // namespace

std::vector<ToolCommand> keyCommands()
{
    return {
        {"keys grant",
         "",
         0,
         0,
         "Grants a key and prints its token, which is not stored anywhere.",
         {"team", "role", "label", "request_id", "wait"},
         grant},
        {"keys list", "", 0, 0, "Lists the keys, without their secrets.", {}, list},
        {"keys withdraw",
         "KEYID",
         1,
         1,
         "Withdraws a key permanently; every entry instance refuses it within seconds.",
         {"request_id", "wait"},
         withdraw},
    };
}

} // namespace guavavalve
