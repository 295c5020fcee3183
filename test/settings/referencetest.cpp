#include <catch2/catch.hpp>

#include "schema/reference.h"
#include "settings/daemonsettingstable.h"
#include "state/policydocument.h"

#include <fstream>
#include <sstream>

using namespace guavavalve;

namespace {

std::string fileText(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Compares a committed page with the one that is generated from the table, and writes the latter
/// to the working directory, from where it can be copied.
void checkPage(const std::string &name, const std::string &current)
{
    std::ofstream(name) << current;
    INFO("docs/operators/" << name << " differs from the generated page; copy " << name
                           << " from the folder in which this test ran");
    CHECK(fileText(std::string(OPERATORS_FOLDER) + "/" + name) == current);
}

} // namespace

TEST_CASE("the committed reference pages match the tables", "[settings]")
{
    checkPage("settings-reference.md", settingsReferencePage());
    checkPage("configuration-reference.md",
              referencePage("The section of the cell", cellPolicyTable().specs()) + "\n"
                  + referencePage("The section of a team", teamPolicyTable().specs()));
}
