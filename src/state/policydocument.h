#pragma once

#include "schema/fieldtable.h"
#include "schema/problem.h"
#include "state/cellsection.h"
#include "state/teamsection.h"

#include <map>
#include <string>
#include <vector>

namespace guavavalve {

/// The policies parsed from the sections of a configuration document.
struct PolicyDocument
{
    CellSection cell;
    std::map<std::string, TeamSection> teams; ///< by name
};

/// The fields of the section "cell" and of the sections "team.NAME".
const FieldTable<CellSection> &cellPolicyTable();
const FieldTable<TeamSection> &teamPolicyTable();

/// The name of the operators' section, and the prefix of the team sections' names.
inline constexpr const char *cellSectionName = "cell";
inline constexpr const char *teamSectionPrefix = "team.";

/// The team that \a section belongs to; empty if it is not a team's section.
std::string teamOfSection(const std::string &section);

/// The JSON texts of a document, by section name.
using SectionTexts = std::map<std::string, std::string>;

/// A parsed document with all problems found in it.
struct ParsedDocument
{
    PolicyDocument policies;
    std::vector<Problem> problems; ///< paths start with the section name
};

/// Parses every section of \a texts and validates them against each other.
ParsedDocument readDocument(const SectionTexts &texts);

/// Replaces the sections of some teams in \a before by \a texts. Equivalent to readDocument() of
/// the resulting document, but parses only these sections.
ParsedDocument readTeamChanges(const PolicyDocument &before, const SectionTexts &texts);

} // namespace guavavalve
