#pragma once

#include "tool/exitcode.h"
#include "tool/httpsession.h"
#include "tool/table.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace guavavalve {

enum class OutputFormat : std::uint8_t { Table, Json };

inline constexpr EnumNames<OutputFormat, 2> outputFormatNames{{
    {OutputFormat::Table, "table"},
    {OutputFormat::Json, "json"},
}};

/// The session, output format and output streams of one run of the tool.
class ToolContext
{
public:
    ToolContext(HttpSession session, OutputFormat format, std::ostream &out, std::ostream &err);

    /// Sends a request and parses the response as JSON.
    Result<nlohmann::json> requestJson(const ToolRequest &request) const;
    Result<ToolResponse> send(const ToolRequest &request) const;

    /// Sends \a request and prints the response: as JSON, or with \a printText.
    ExitCode show(const ToolRequest &request,
                  const std::function<void(const nlohmann::json &)> &printText) const;

    /// As above, printing a table of the rows in the field \a rows of the response.
    ExitCode showTable(const ToolRequest &request, const std::string &rows,
                       const std::vector<Column> &columns) const;

    /// Prints \a error to the standard error: as JSON, or as text with advice on what to do.
    ExitCode fail(const Error &error) const;
    /// Reports an invalid command line.
    ExitCode usageError(const std::string &message) const;

    void print(const std::string &text) const { this->out << text; }
    /// Prints additional information to the standard error; omitted from JSON output.
    void note(const std::string &text) const;
    bool printsJson() const { return this->format == OutputFormat::Json; }

private:
    HttpSession session;
    OutputFormat format;
    std::ostream &out;
    std::ostream &err;
};

/// A request with a JSON body.
ToolRequest jsonRequest(const std::string &method, const std::string &path,
                        const nlohmann::json &body);

ToolRequest getRequest(const std::string &path);

} // namespace guavavalve
