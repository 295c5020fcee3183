#include "tool/commandgroups.h"
#include "tool/inforce.h"
#include "tool/sectionfiles.h"
#include "tool/toolcontext.h"
#include "tool/toolflags.h"

#include <absl/flags/flag.h>

namespace guavavalve {

namespace {

using nlohmann::json;

constexpr const char *base = "/v1/operators/configuration";

void printSections(const ToolContext &context, const json &document)
{
    constexpr int indent = 2;
    context.print("document version " + formatCell(document["version"]) + "\n");
    for (const json &section : document["sections"]) {
        context.print("\n# " + formatCell(section["name"]) + ", version "
                      + formatCell(section["version"]) + ", owned by "
                      + formatCell(section["owner"]) + ", written by "
                      + formatCell(section["writtenBy"]) + "\n");
        context.print(section["content"].dump(indent) + "\n");
    }
}

ExitCode show(const ToolContext &context, const std::vector<std::string> &arguments)
{
    std::string path = base;
    if (!arguments.empty())
        path += "?section=" + encodeForQuery(arguments[0]);
    return context.show(getRequest(path),
                        [&](const json &document) { printSections(context, document); });
}

Result<json> checkDrafts(const ToolContext &context, const std::vector<std::string> &arguments)
{
    BOOST_OUTCOME_TRY(drafts, readDrafts(arguments));
    json list = json::array();
    for (const SectionFile &draft : drafts)
        list.push_back({{"name", draft.name}, {"content", draft.content}});
    return context.requestJson(
        jsonRequest("POST", std::string(base) + "/check", {{"drafts", list}}));
}

void printCheck(const ToolContext &context, const json &check, bool withDifferences)
{
    if (withDifferences && check["differences"].empty())
        context.print("no changes\n");
    else if (withDifferences)
        context.print(formatTable({{"FIELD", "/path"}, {"BEFORE", "/before"}, {"AFTER", "/after"}},
                                  check["differences"]));
    for (const json &problem : check["problems"])
        context.print(formatCell(problem["path"]) + ": " + formatCell(problem["message"]) + "\n");
    const bool acceptable = check["acceptable"];
    context.print(acceptable ? "acceptable with the current configuration\n"
                             : "would be refused\n");
}

ExitCode checkOrPreview(const ToolContext &context, const std::vector<std::string> &arguments,
                        bool withDifferences)
{
    if (arguments.size() > 1 && arguments.size() % 2 != 0)
        return context.usageError("expected one DOCUMENT, or pairs of SECTION FILE");
    const Result<json> check = checkDrafts(context, arguments);
    if (!check)
        return context.fail(check.error());
    constexpr int indent = 2;
    if (context.printsJson())
        context.print(check.value().dump(indent) + "\n");
    else
        printCheck(context, check.value(), withDifferences);
    return check.value()["acceptable"].get<bool>() ? ExitCode::Done : ExitCode::Refused;
}

ExitCode check(const ToolContext &context, const std::vector<std::string> &arguments)
{
    return checkOrPreview(context, arguments, false);
}

ExitCode preview(const ToolContext &context, const std::vector<std::string> &arguments)
{
    return checkOrPreview(context, arguments, true);
}

/// The version that a write replaces: --base-version, or the current one; 0 if the section does not
/// exist.
Result<std::int64_t> baseVersion(const ToolContext &context, const std::string &section)
{
    const std::int64_t given = absl::GetFlag(FLAGS_base_version);
    if (given >= 0)
        return given;
    const Result<json> document =
        context.requestJson(getRequest(std::string(base) + "?section=" + encodeForQuery(section)));
    if (!document) {
        if (document.error().code == ErrorCode::NotFound)
            return 0;
        return document.error();
    }
    return document.value()["sections"][0]["version"].get<std::int64_t>();
}

/// Writes one section. \a identity identifies the request, which makes the write idempotent.
Result<json> writeSection(const ToolContext &context, const SectionFile &draft,
                          const std::string &identity)
{
    BOOST_OUTCOME_TRY(replaced, baseVersion(context, draft.name));
    ToolRequest request;
    request.method = "PUT";
    request.path = std::string(base) + "/sections/" + encodeForQuery(draft.name)
        + "?baseVersion=" + std::to_string(replaced) + "&requestId=" + encodeForQuery(identity);
    request.body = draft.content;
    return context.requestJson(request);
}

void printWritten(const ToolContext &context, const std::string &section, const json &written)
{
    if (context.printsJson())
        context.print(written.dump() + "\n");
    else
        context.print(section + " is now version " + formatCell(written["version"])
                      + ", document version " + formatCell(written["documentVersion"]) + "\n");
}

ExitCode set(const ToolContext &context, const std::vector<std::string> &arguments)
{
    const Result<std::vector<SectionFile>> drafts = readDrafts(arguments);
    if (!drafts)
        return context.fail(drafts.error());
    const SectionFile &draft = drafts.value().front();
    const Result<json> written = writeSection(context, draft, requestId());
    if (!written)
        return context.fail(written.error());
    printWritten(context, draft.name, written.value());
    return waitUntilInForce(context, ExitCode::Done);
}

/// Whether \a draft equals the stored section.
Result<bool> isInForce(const ToolContext &context, const SectionFile &draft)
{
    const json body{{"drafts", {{{"name", draft.name}, {"content", draft.content}}}}};
    BOOST_OUTCOME_TRY(check,
                      context.requestJson(jsonRequest("POST", std::string(base) + "/check", body)));
    return check["acceptable"].get<bool>() && check["differences"].empty();
}

ExitCode apply(const ToolContext &context, const std::vector<std::string> &arguments)
{
    const Result<std::vector<SectionFile>> drafts = readDrafts(arguments);
    if (!drafts)
        return context.fail(drafts.error());
    bool changed = false;
    for (const SectionFile &draft : drafts.value()) {
        const Result<bool> same = isInForce(context, draft);
        if (!same)
            return context.fail(same.error());
        if (same.value())
            continue;
        const Result<json> written = writeSection(context, draft, requestId() + "/" + draft.name);
        if (!written) {
            context.note("stopped at section " + draft.name
                         + "; the sections before it were written");
            return context.fail(written.error());
        }
        printWritten(context, draft.name, written.value());
        changed = true;
    }
    if (!changed)
        context.note("no changes: the stored configuration already matches the document");
    return waitUntilInForce(context, ExitCode::Done);
}

ExitCode history(const ToolContext &context, const std::vector<std::string> &arguments)
{
    return context.showTable(
        getRequest(std::string(base) + "/history?section=" + encodeForQuery(arguments[0])),
        "versions",
        {{"VERSION", "/version"}, {"WRITTEN BY", "/writtenBy"}, {"CONTENT", "/content"}});
}

ExitCode inForce(const ToolContext &context, const std::vector<std::string> &)
{
    return context.show(getRequest(std::string(base) + "/in-force"), [&](const json &response) {
        const bool everywhere = response["everywhere"];
        context.print("document version " + formatCell(response["version"])
                      + (everywhere ? " is in force everywhere\n"
                                    : " is not yet in force on every instance\n"));
        context.print(formatTable(
            {{"INSTANCE", "/instance"}, {"VERSION", "/version"}, {"ACCEPTS WORK", "/leased"}},
            response["instances"]));
    });
}

} // namespace

std::vector<ToolCommand> configurationCommands()
{
    constexpr std::size_t maxArguments = 4000;
    return {
        {"config show", "[SECTION]", 0, 1, "Shows the document, or one section of it.", {}, show},
        {"config check",
         "DOCUMENT | SECTION FILE [...]",
         1,
         maxArguments,
         "Checks drafts together with the rest of the document. Changes nothing.",
         {},
         check},
        {"config preview",
         "DOCUMENT | SECTION FILE [...]",
         1,
         maxArguments,
         "Shows each field that the drafts would change. Changes nothing.",
         {},
         preview},
        {"config set",
         "SECTION FILE",
         2,
         2,
         "Replaces a section; refused if it was changed in the meantime.",
         {"base_version", "request_id", "wait"},
         set},
        {"config apply",
         "DOCUMENT",
         1,
         1,
         "Writes the sections of a document that differ, one after the other.",
         {"request_id", "wait"},
         apply},
        {"config history",
         "SECTION",
         1,
         1,
         "Lists the retained versions of a section.",
         {},
         history},
        {"config in-force",
         "",
         0,
         0,
         "Shows on which instances the newest version is in force.",
         {},
         inForce},
    };
}

} // namespace guavavalve
