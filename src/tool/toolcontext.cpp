#include "tool/toolcontext.h"

#include <utility>

namespace guavavalve {

namespace {

/// What to do about an error, where its own message leaves it open.
std::string adviceFor(const Error &error)
{
    if (error.ran == Ran::Unknown)
        return "it may have been carried out; run the command again with the same --request-id";
    switch (error.code) {
    case ErrorCode::Unauthenticated:
        return "give a key with --key or in GUAVAVALVE_KEY; an operator grants one with "
               "\"guavavalve keys grant\"";
    case ErrorCode::PermissionDenied:
        return "use a key of the owner's team, or an operator's";
    case ErrorCode::Unavailable:
    case ErrorCode::NotLeader:
        return "try again in a few seconds; \"guavavalve replicas status\" shows who leads";
    case ErrorCode::Conflict:
        return "look at what is there now, then ask again";
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

Result<ToolAnswer> ToolContext::send(const ToolRequest &request) const
{
    return this->session.send(request);
}

Result<nlohmann::json> ToolContext::ask(const ToolRequest &request) const
{
    BOOST_OUTCOME_TRY(answer, this->session.send(request));
    nlohmann::json body = nlohmann::json::parse(answer.body, nullptr, false);
    if (body.is_discarded())
        return failure(ErrorCode::Internal, "the server's answer is not JSON");
    return body;
}

ExitCode ToolContext::show(const ToolRequest &request,
                           const std::function<void(const nlohmann::json &)> &printForPeople) const
{
    const Result<nlohmann::json> answer = this->ask(request);
    if (!answer)
        return this->fail(answer.error());
    constexpr int indent = 2;
    if (this->forPrograms())
        this->out << answer.value().dump(indent) << "\n";
    else
        printForPeople(answer.value());
    return ExitCode::Done;
}

ExitCode ToolContext::showTable(const ToolRequest &request, const std::string &rows,
                                const std::vector<Column> &columns) const
{
    return this->show(request, [&](const nlohmann::json &answer) {
        this->out << formatTable(columns, answer.value(rows, nlohmann::json::array()));
    });
}

ExitCode ToolContext::fail(const Error &error) const
{
    if (this->forPrograms()) {
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
    if (!this->forPrograms())
        this->err << text << "\n";
}

ExitCode ToolContext::usage(const std::string &message) const
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
