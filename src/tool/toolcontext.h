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

/// What a command of the tool works with.
class ToolContext
{
public:
    ToolContext(HttpSession session, OutputFormat format, std::ostream &out, std::ostream &err);

    /// Sends a request and reads the answer as JSON.
    Result<nlohmann::json> ask(const ToolRequest &request) const;
    Result<ToolAnswer> send(const ToolRequest &request) const;

    /// Prints what \a request gives: as JSON, or as \a printForPeople does.
    ExitCode show(const ToolRequest &request,
                  const std::function<void(const nlohmann::json &)> &printForPeople) const;

    /// As above, with one table of the rows at \a rows in the answer.
    ExitCode showTable(const ToolRequest &request, const std::string &rows,
                       const std::vector<Column> &columns) const;

    ExitCode fail(const Error &error) const;
    ExitCode usage(const std::string &message) const;

    void print(const std::string &text) const { this->out << text; }
    /// A remark beside what was asked for: to the standard error, and for people only.
    void note(const std::string &text) const;
    bool forPrograms() const { return this->format == OutputFormat::Json; }

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
