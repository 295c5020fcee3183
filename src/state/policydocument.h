#pragma once

#include "schema/fieldtable.h"
#include "schema/problem.h"
#include "state/cellsection.h"
#include "state/teamsection.h"

#include <map>
#include <string>
#include <vector>

namespace guavavalve {

/// The sections of the configuration document, read into policies.
struct PolicyDocument
{
    CellSection cell;
    std::map<std::string, TeamSection> teams; ///< by name
};

/// What may stand in a section "cell", and in a section "team.NAME".
const FieldTable<CellSection> &cellPolicyTable();
const FieldTable<TeamSection> &teamPolicyTable();

/// The name of the operators' section, and what a team's section begins with.
inline constexpr const char *cellSection = "cell";
inline constexpr const char *teamSectionPrefix = "team.";

/// The team whose section \a section is; empty if it is no team's.
std::string teamOfSection(const std::string &section);

/// The JSON texts of a document, by section.
using SectionTexts = std::map<std::string, std::string>;

/// A document read whole, with everything that is wrong in it.
struct DocumentReading
{
    PolicyDocument policies;
    std::vector<Problem> problems; ///< paths begin with the section's name
};

/// Reads every section of \a texts, and checks them against each other.
DocumentReading readDocument(const SectionTexts &texts);

/// The document \a before with the sections of some teams replaced by \a texts. Gives what
/// readDocument() of the whole would give, at the cost of reading these sections.
DocumentReading readTeamChanges(const PolicyDocument &before, const SectionTexts &texts);

} // namespace guavavalve
