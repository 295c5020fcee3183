#include "attribution/attribution.h"
#include "attribution/report.h"
#include "tool/commandgroups.h"
#include "tool/toolcontext.h"
#include "tool/toolflags.h"

#include <absl/flags/flag.h>

#include <fstream>
#include <string>

namespace guavavalve {

namespace {

Result<void> readLog(const std::string &path, attribution::Attribution &into)
{
    std::ifstream file(path);
    if (!file)
        return failure(ErrorCode::InvalidArgument, "cannot read " + path);
    for (std::string line; std::getline(file, line);) {
        if (const auto event = attribution::parseLogLine(line))
            into.addEvent(*event);
    }
    return boost::outcome_v2::success();
}

Result<void> writePage(const std::string &path, const attribution::Findings &findings)
{
    std::ofstream file(path, std::ios::trunc);
    file << attribution::asHtml(findings);
    file.close();
    if (!file)
        return failure(ErrorCode::WriteRefused, "cannot write " + path);
    return boost::outcome_v2::success();
}

ExitCode delays(const ToolContext &context, const std::vector<std::string> &arguments)
{
    attribution::Attribution attribution;
    for (const std::string &path : arguments) {
        if (const auto read = readLog(path, attribution); !read)
            return context.fail(read.error());
    }
    const attribution::Findings findings = attribution.findings();
    if (const std::string page = absl::GetFlag(FLAGS_page); !page.empty()) {
        if (const auto written = writePage(page, findings); !written)
            return context.fail(written.error());
    }
    context.print(context.printsJson() ? attribution::asJson(findings)
                                       : attribution::asTable(findings));
    return ExitCode::Done;
}

} // namespace

std::vector<ToolCommand> delayCommands()
{
    constexpr std::size_t maxFiles = 1000;
    return {
        {"delays",
         "LOG ...",
         1,
         maxFiles,
         "Attributes each job that was late, refused or never done to a cause, based on the logs "
         "of all processes. Needs no server.",
         {"page"},
         delays}};
}

} // namespace guavavalve
