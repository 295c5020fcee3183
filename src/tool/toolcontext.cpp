#include "tool/toolcontext.h"

#include <utility>

namespace guavavalve {

namespace {

/// Advice for the user on \a error; empty if its message suffices.
std::string adviceFor(const Error &error)
{
    if (error.ran == Ran::Unknown)
        return "the request may have been carried out; run the command again with the same "
               "--request-id";
    switch (error.code) {
    case ErrorCode::Unauthenticated:
        return "provide a key with --key or GUAVAVALVE_KEY; an operator can grant one with "
               "\"guavavalve keys grant\"";
    case ErrorCode::PermissionDenied:
        return "use a key of the owning team or an operator key";
    case ErrorCode::Unavailable:
    case ErrorCode::NotLeader:
        return "retry in a few seconds; \"guavavalve replicas status\" shows the leader";
    case ErrorCode::Conflict:
        return "check the current state, then retry";
    default:
        return "";
    }
}

} // namespace

ToolContext::ToolContext(HttpSession httpSession, OutputFormat outputFormat, std::ostream &output,
                         std::ostream &errors)
    : session(std::move(httpSession))
    , format(outputFormat)
    , out(output)
    , err(errors)
{}

Result<ToolResponse> ToolContext::send(const ToolRequest &request) const
{
    return this->session.send(request);
}

Result<nlohmann::json> ToolContext::requestJson(const ToolRequest &request) const
{
    BOOST_OUTCOME_TRY(response, this->session.send(request));
    nlohmann::json body = nlohmann::json::parse(response.body, nullptr, false);
    if (body.is_discarded())
        return failure(ErrorCode::Internal, "the server's response is not JSON");
    return body;
}

ExitCode ToolContext::show(const ToolRequest &request,
                           const std::function<void(const nlohmann::json &)> &printText) const
{
    const Result<nlohmann::json> response = this->requestJson(request);
    if (!response)
        return this->fail(response.error());
    constexpr int indent = 2;
    if (this->printsJson())
        this->out << response.value().dump(indent) << "\n";
    else
        printText(response.value());
    return ExitCode::Done;
}

ExitCode ToolContext::showTable(const ToolRequest &request, const std::string &rows,
                                const std::vector<Column> &columns) const
{
    return this->show(request, [&](const nlohmann::json &response) {
        this->out << formatTable(columns, response.value(rows, nlohmann::json::array()));
    });
}

ExitCode ToolContext::fail(const Error &error) const
{
    if (this->printsJson()) {
        const nlohmann::json body{{"error", enumName(errorCodeNames, error.code)},
                                  {"message", error.message},
                                  {"ran", enumName(ranNames, error.ran)},
                                  {"retryAfterMs", error.retryAfter.count()}};
        this->err << body.dump() << "\n";
        return exitCodeOf(error);
    }
    this->err << "guavavalve: " << enumName(errorCodeNames, error.code) << ": " << error.message
              << " (ran: " << enumName(ranNames, error.ran) << ")\n";
    const std::string advice = adviceFor(error);
    if (!advice.empty())
        this->err << "  " << advice << "\n";
    return exitCodeOf(error);
}

void ToolContext::note(const std::string &text) const
{
    if (!this->printsJson())
        this->err << text << "\n";
}

ExitCode ToolContext::usageError(const std::string &message) const
{
    this->err << "guavavalve: " << message << "\n";
    return ExitCode::Usage;
}

ToolRequest jsonRequest(const std::string &method, const std::string &path,
                        const nlohmann::json &body)
{
    ToolRequest request;
    request.method = method;
    request.path = path;
    request.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return request;
}

ToolRequest getRequest(const std::string &path)
{
    ToolRequest request;
    request.path = path;
    return request;
}

} // namespace guavavalve
