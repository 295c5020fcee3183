#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace guavavalve {

/// One version of a section of the configuration document.
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

/// The configuration document, or the requested sections of it.
struct ConfigurationDocument
{
    std::uint64_t version = 0; ///< increases with each accepted write of any section
    std::vector<ConfigurationSection> sections;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->version, this->sections);
    }
};

/// Requests the configuration document.
struct ShowConfigurationRequest
{
    using Reply = ConfigurationDocument;
    std::string section; ///< empty: all sections

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->section);
    }
};

/// Proposed new content of a section.
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

/// An error found by a check of the document.
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

/// A value that would change if the drafts were accepted.
struct ConfigurationDifference
{
    std::string path;
    std::string before; ///< JSON text; empty: absent
    std::string after; ///< JSON text; empty: removed

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->path, this->before, this->after);
    }
};

/// The outcome of a CheckConfigurationRequest. The drafts are acceptable if there are no problems.
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

/// Validates drafts together with the rest of the document and previews their changes, without
/// applying them.
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

/// The reply to an accepted WriteSectionRequest.
struct SectionWritten
{
    std::uint64_t version = 0; ///< the section's new version
    std::uint64_t documentVersion = 0;
    bool repeated = false; ///< the same request was accepted before; this one changed nothing

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->version, this->documentVersion, this->repeated);
    }
};

/// Replaces a section if it is still at \a baseVersion (compare-and-set).
/// \errors Conflict, naming the current version and its author.
struct WriteSectionRequest
{
    using Reply = SectionWritten;
    SectionDraft draft;
    std::uint64_t baseVersion = 0; ///< the version to be replaced; 0: never written
    std::string requestId; ///< a resend with the same request ID gets the first outcome

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->draft, this->baseVersion, this->requestId);
    }
};

/// The retained versions of one section, newest first.
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

/// The configuration version that is in force on one instance.
struct InstanceConfiguration
{
    std::string instance;
    std::uint64_t version = 0; ///< of the document
    bool leased = false; ///< false: its lease has expired and it accepts no work

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->instance, this->version, this->leased);
    }
};

/// Whether the newest version of the document is in force on all instances.
struct ConfigurationInForce
{
    std::uint64_t version = 0; ///< the newest accepted
    bool everywhere = false; ///< every instance has it in force or accepts no work
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
