#include "schema/reference.h"

namespace guavavalve {
namespace internal {

namespace {

std::string defaultOf(const FieldSpec &spec)
{
    return spec.required ? "none, required" : spec.defaultText;
}

} // namespace

} // namespace internal

std::string helpText(const std::vector<FieldSpec> &specs)
{
    std::string text;
    for (const FieldSpec &spec : specs) {
        text += spec.path + "\n    " + spec.doc + "\n    " + spec.allowed()
            + "; default: " + internal::defaultOf(spec) + "\n";
    }
    return text;
}

std::string referencePage(const std::string &title, const std::vector<FieldSpec> &specs)
{
    std::string page = "# " + title + "\n\n";
    page += "| name | type | allowed | default | description |\n| --- | --- | --- | --- | --- |\n";
    for (const FieldSpec &spec : specs) {
        page += "| `" + spec.path + "` | " + std::string(enumName(fieldTypeNames, spec.type))
            + " | " + spec.allowed() + " | `" + internal::defaultOf(spec) + "` | " + spec.doc
            + (spec.operatorsOnly ? " Only operators can change it." : "") + " |\n";
    }
    return page;
}

} // namespace guavavalve
