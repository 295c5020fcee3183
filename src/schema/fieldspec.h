#pragma once

#include "core/enumnames.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace guavavalve {

/// The JSON type of a field.
enum class FieldType : std::uint8_t { Boolean, Integer, Text, TextList };

inline constexpr EnumNames<FieldType, 4> fieldTypeNames{{
    {FieldType::Boolean, "boolean"},
    {FieldType::Integer, "integer"},
    {FieldType::Text, "text"},
    {FieldType::TextList, "list of texts"},
}};

/// Unit of an integer field.
enum class Unit : std::uint8_t { None, Ms, Bytes, Percent };

inline constexpr EnumNames<Unit, 4> unitNames{{
    {Unit::None, ""},
    {Unit::Ms, "ms"},
    {Unit::Bytes, "bytes"},
    {Unit::Percent, "%"},
}};

/// Format of a text, or of each text in a list.
enum class TextFormat : std::uint8_t {
    Any,
    Name, ///< letters, digits, '-', '_' and '.', beginning with a letter or digit
    Endpoint, ///< "ip:port" with a numeric IP address
};

inline constexpr EnumNames<TextFormat, 3> textFormatNames{{
    {TextFormat::Any, "any text"},
    {TextFormat::Name, "a name of letters, digits, '-', '_' and '.'"},
    {TextFormat::Endpoint, "an IP address and port such as 127.0.0.1:7000"},
}};

/// A row of a table of fields: the complete description of a field, from which the checks, the
/// help text and the reference page are derived.
struct FieldSpec
{
    std::string path; ///< names joined by dots
    FieldType type = FieldType::Text;
    Unit unit = Unit::None;
    std::int64_t minimum = 0; ///< of the value of an integer, or of the length of a text or list
    std::int64_t maximum = 0;
    TextFormat format = TextFormat::Any;
    std::vector<std::string> choices; ///< the only allowed texts; empty: any text of the format
    bool required = false;
    bool operatorsOnly = false; ///< in a team's section: only an operator's key may change it
    std::string doc;
    std::string defaultText; ///< JSON text, filled in by the table

    /// Human-readable description of the allowed values.
    std::string allowed() const;
};

} // namespace guavavalve
