#pragma once

#include "core/enumnames.h"
#include "schema/fieldcheck.h"
#include "schema/fieldspec.h"
#include "schema/jsondocument.h"
#include "schema/problem.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace guavavalve {

/// The typed table of the fields of \a Struct: maps each JSON name to a member and its allowed
/// values. A field's default is the member's value in a default-constructed Struct.
template<typename Struct>
class FieldTable
{
public:
    /// Accesses a member; a pointer to member converts to it.
    template<typename Value>
    using Member = std::function<Value &(Struct &)>;

    struct Range
    {
        std::int64_t minimum;
        std::int64_t maximum;
    };

    /// The functions below add a row and return it, so that the caller can set rarely used
    /// attributes (required, format).
    FieldSpec &boolean(std::string path, Member<bool> member, std::string doc)
    {
        return this->add(std::move(path), FieldType::Boolean, {0, 0}, std::move(member),
                         std::move(doc));
    }

    FieldSpec &integer(std::string path, Member<std::int64_t> member, Unit unit, Range range,
                       std::string doc)
    {
        FieldSpec &spec = this->add(std::move(path), FieldType::Integer, range, std::move(member),
                                    std::move(doc));
        spec.unit = unit;
        return spec;
    }

    FieldSpec &text(std::string path, Member<std::string> member, TextFormat format, Range length,
                    std::string doc)
    {
        FieldSpec &spec =
            this->add(std::move(path), FieldType::Text, length, std::move(member), std::move(doc));
        spec.format = format;
        return spec;
    }

    FieldSpec &textList(std::string path, Member<std::vector<std::string>> member,
                        TextFormat format, Range count, std::string doc)
    {
        FieldSpec &spec = this->add(std::move(path), FieldType::TextList, count, std::move(member),
                                    std::move(doc));
        spec.format = format;
        return spec;
    }

    template<typename Enum, std::size_t Count>
    FieldSpec &choice(std::string path, Member<Enum> member, const EnumNames<Enum, Count> &names,
                      std::string doc)
    {
        FieldSpec spec;
        spec.path = std::move(path);
        spec.doc = std::move(doc);
        spec.maximum = 64;
        for (const auto &[value, name] : names)
            spec.choices.emplace_back(name);
        Struct defaults;
        spec.defaultText = nlohmann::json(std::string(enumName(names, member(defaults)))).dump();
        const auto *table = &names;
        return this->append(std::move(spec), [member, table](Struct &into, const auto &json) {
            const auto value = enumFromName(*table, json.template get<std::string>());
            member(into) = value.value_or(member(into));
        });
    }

    const std::vector<FieldSpec> &specs() const { return this->rows; }

    /// Checks \a document and, if it has no problems, fills \a into. Otherwise \a into is left
    /// unchanged.
    std::vector<Problem> read(const nlohmann::json &document, Struct &into) const
    {
        std::vector<Problem> problems = checkFields(this->rows, document);
        if (!problems.empty())
            return problems;
        for (std::size_t i = 0; i < this->rows.size(); ++i) {
            if (const nlohmann::json *value = findField(document, this->rows[i].path))
                this->setters[i](into, *value);
        }
        return problems;
    }

private:
    using Setter = std::function<void(Struct &, const nlohmann::json &)>;

    template<typename Value>
    FieldSpec &add(std::string path, FieldType type, Range range, Member<Value> member,
                   std::string doc)
    {
        FieldSpec spec;
        spec.path = std::move(path);
        spec.type = type;
        spec.minimum = range.minimum;
        spec.maximum = range.maximum;
        spec.doc = std::move(doc);
        Struct defaults;
        spec.defaultText = nlohmann::json(member(defaults)).dump();
        return this->append(std::move(spec), [member](Struct &into, const auto &json) {
            member(into) = json.template get<Value>();
        });
    }

    FieldSpec &append(FieldSpec spec, Setter setter)
    {
        this->rows.push_back(std::move(spec));
        this->setters.push_back(std::move(setter));
        return this->rows.back();
    }

    std::vector<FieldSpec> rows;
    std::vector<Setter> setters; ///< one per row
};

} // namespace guavavalve
