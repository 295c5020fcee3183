#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace guavavalve {

/// One section of the configuration document as it is in force.
struct ConfigurationSection
{
    std::string name;
    std::string owner; ///< team that may write it
    std::uint64_t version = 0; ///< 0: never written
    std::string content; ///< JSON text
    std::string writtenBy; ///< identity of the key that wrote this version

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->name, this->owner, this->version, this->content, this->writtenBy);
    }
};

/// The configuration document, or the sections of it that were asked for.
struct ConfigurationDocument
{
    std::uint64_t version = 0; ///< grows with each accepted write of any section
    std::vector<ConfigurationSection> sections;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->version, this->sections);
    }
};

/// Asks for the document.
struct ShowConfigurationRequest
{
    using Reply = ConfigurationDocument;
    std::string section; ///< empty: all of them

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->section);
    }
};

/// A section as its owner would have it.
struct SectionDraft
{
    std::string name;
    std::string content; ///< JSON text

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->name, this->content);
    }
};

/// A fault that a check of the document found.
struct ConfigurationProblem
{
    std::string path; ///< in the document, as "section/field/..."
    std::string message; ///< what was found and what is allowed

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->path, this->message);
    }
};

/// A value that accepting the drafts would change.
struct ConfigurationDifference
{
    std::string path;
    std::string before; ///< JSON text; empty: not there
    std::string after; ///< JSON text; empty: removed

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->path, this->before, this->after);
    }
};

/// The outcome of CheckConfigurationRequest: acceptable if there are no problems.
struct ConfigurationCheck
{
    std::vector<ConfigurationProblem> problems;
    std::vector<ConfigurationDifference> differences;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->problems, this->differences);
    }
};

/// Checks drafts together with the rest of the document, and previews what they would change.
/// Changes nothing.
struct CheckConfigurationRequest
{
    using Reply = ConfigurationCheck;
    std::vector<SectionDraft> drafts;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->drafts);
    }
};

/// The outcome of an accepted WriteSectionRequest.
struct SectionWritten
{
    std::uint64_t version = 0; ///< the section's new version
    std::uint64_t documentVersion = 0;
    bool repeated = false; ///< the same request had been accepted before; nothing changed now

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->version, this->documentVersion, this->repeated);
    }
};

/// Replaces a section, if it is still at \a baseVersion (compare and set).
/// \errors Conflict, which names the version that is there and who wrote it.
struct WriteSectionRequest
{
    using Reply = SectionWritten;
    SectionDraft draft;
    std::uint64_t baseVersion = 0; ///< the version it replaces; 0: the first
    std::string requestId; ///< a resend under the same identity gets the first one's outcome

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->draft, this->baseVersion, this->requestId);
    }
};

/// The versions of one section that are kept, newest first.
struct SectionHistory
{
    std::vector<ConfigurationSection> versions;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->versions);
    }
};

struct SectionHistoryRequest
{
    using Reply = SectionHistory;
    std::string section;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->section);
    }
};

/// What one instance has in force.
struct InstanceConfiguration
{
    std::string instance;
    std::uint64_t version = 0; ///< of the document
    bool leased = false; ///< false: its lease has lapsed, it accepts no work

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->instance, this->version, this->leased);
    }
};

/// Where the document's newest version is in force.
struct ConfigurationInForce
{
    std::uint64_t version = 0; ///< the newest accepted
    bool everywhere = false; ///< every instance has it, or accepts no work
    std::vector<InstanceConfiguration> instances;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->version, this->everywhere, this->instances);
    }
};

struct ConfigurationInForceRequest
{
    using Reply = ConfigurationInForce;

    template<typename Archive>
    void serialize(Archive &)
    {}
};

} // namespace guavavalve
