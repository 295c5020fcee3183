#include "tool/sectionfiles.h"

#include "schema/jsondocument.h"
#include "tool/files.h"

#include <algorithm>

namespace guavavalve {

namespace {

constexpr const char *cellSection = "cell";

Result<std::vector<SectionFile>> readDocument(const std::string &path)
{
    constexpr std::size_t maxBytes = 64U << 20U;
    BOOST_OUTCOME_TRY(text, readFile(path));
    // Parsed like the daemon's own documents, so that duplicate names are errors here too.
    const JsonDocument document = parseJson(text, maxBytes);
    if (!document.problems.empty())
        return failure(ErrorCode::InvalidArgument, problemsText(path, document.problems));
    std::vector<SectionFile> drafts;
    for (const auto &[name, section] : document.value.items())
        drafts.push_back({name, section.dump()});
    std::stable_partition(drafts.begin(), drafts.end(),
                          [](const SectionFile &draft) { return draft.name == cellSection; });
    return drafts;
}

} // namespace

Result<std::vector<SectionFile>> readDrafts(const std::vector<std::string> &arguments)
{
    if (arguments.size() == 1)
        return readDocument(arguments[0]);
    std::vector<SectionFile> drafts;
    for (std::size_t i = 0; i + 1 < arguments.size(); i += 2) {
        BOOST_OUTCOME_TRY(content, readFile(arguments[i + 1]));
        drafts.push_back({arguments[i], content});
    }
    return drafts;
}

} // namespace guavavalve
