#pragma once

#include <cereal/archives/binary.hpp>
#include <cereal/cereal.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/common.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string>
#include <type_traits>

/// \file
/// cereal archives over a string of bytes, for the log, snapshots and the wire. They differ from
/// cereal's own in what they trust: a length in the input may not exceed the bytes that are
/// left, and a vector grows as its elements arrive. With cereal's own reader a few damaged bytes
/// can ask for gigabytes, which shows as the process being killed for memory.

namespace guavavalve {

static_assert(__BYTE_ORDER__ == __ORDER_LITTLE_ENDIAN__,
              "the format is little-endian: turn the bytes of numbers round in bytearchive.h");

/// Appends to a string.
class ByteWriter : public cereal::OutputArchive<ByteWriter, cereal::AllowEmptyClassElision>
{
public:
    explicit ByteWriter(std::string &output) : OutputArchive(this), bytes(output) {}

    void saveBinary(const void *data, std::size_t size)
    {
        this->bytes.append(static_cast<const char *>(data), size);
    }

    /// Seven bits a byte, lowest first: most lengths take one byte and not eight.
    void saveLength(std::uint64_t length)
    {
        while (length >= 0x80) {
            this->bytes.push_back(static_cast<char>(0x80 | (length & 0x7f)));
            length >>= 7;
        }
        this->bytes.push_back(static_cast<char>(length));
    }

private:
    std::string &bytes;
};

/// Reads from a string; throws cereal::Exception on anything that does not add up.
class ByteReader : public cereal::InputArchive<ByteReader, cereal::AllowEmptyClassElision>
{
public:
    explicit ByteReader(const std::string &input) : InputArchive(this), bytes(input) {}

    void loadBinary(void *data, std::size_t size)
    {
        if (size > this->left())
            throw cereal::Exception("the bytes end too soon");
        std::memcpy(data, this->bytes.data() + this->position, size);
        this->position += size;
    }

    std::uint64_t loadLength()
    {
        constexpr unsigned lastShift = 63;
        std::uint64_t length = 0;
        for (unsigned shift = 0; shift <= lastShift; shift += 7) {
            std::uint8_t byte = 0;
            this->loadBinary(&byte, 1);
            length |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
            if ((byte & 0x80) == 0) {
                if (length > this->left())
                    throw cereal::Exception("a length exceeds the bytes that are left");
                return length;
            }
        }
        throw cereal::Exception("a length has too many bytes");
    }

    std::size_t left() const { return this->bytes.size() - this->position; }

private:
    const std::string &bytes;
    std::size_t position = 0;
};

} // namespace guavavalve

namespace cereal {

template<class T>
std::enable_if_t<std::is_arithmetic<T>::value>
CEREAL_SAVE_FUNCTION_NAME(guavavalve::ByteWriter &archive, const T &value)
{
    archive.saveBinary(&value, sizeof(value));
}

template<class T>
std::enable_if_t<std::is_arithmetic<T>::value>
CEREAL_LOAD_FUNCTION_NAME(guavavalve::ByteReader &archive, T &value)
{
    if constexpr (std::is_same_v<T, bool>) {
        std::uint8_t byte = 0;
        archive.loadBinary(&byte, 1);
        value = byte != 0;
    } else {
        archive.loadBinary(&value, sizeof(value));
    }
}

template<class T>
void CEREAL_SAVE_FUNCTION_NAME(guavavalve::ByteWriter &archive, const SizeTag<T> &tag)
{
    archive.saveLength(tag.size);
}

template<class T>
void CEREAL_LOAD_FUNCTION_NAME(guavavalve::ByteReader &archive, SizeTag<T> &tag)
{
    tag.size = static_cast<std::decay_t<T>>(archive.loadLength());
}

template<class T>
void CEREAL_SAVE_FUNCTION_NAME(guavavalve::ByteWriter &archive, const NameValuePair<T> &pair)
{
    archive(pair.value);
}

template<class T>
void CEREAL_LOAD_FUNCTION_NAME(guavavalve::ByteReader &archive, NameValuePair<T> &pair)
{
    archive(pair.value);
}

template<class T>
void CEREAL_SAVE_FUNCTION_NAME(guavavalve::ByteWriter &archive, const BinaryData<T> &data)
{
    archive.saveBinary(data.data, static_cast<std::size_t>(data.size));
}

template<class T>
void CEREAL_LOAD_FUNCTION_NAME(guavavalve::ByteReader &archive, BinaryData<T> &data)
{
    archive.loadBinary(data.data, static_cast<std::size_t>(data.size));
}

/// Element by element, so that memory follows what has really arrived.
template<class T, class A>
std::enable_if_t<!std::is_arithmetic<T>::value>
CEREAL_LOAD_FUNCTION_NAME(guavavalve::ByteReader &archive, std::vector<T, A> &vector)
{
    size_type size = 0;
    archive(make_size_tag(size));
    vector.clear();
    for (size_type i = 0; i < size; ++i) {
        vector.emplace_back();
        archive(vector.back());
    }
}

} // namespace cereal

CEREAL_SETUP_ARCHIVE_TRAITS(guavavalve::ByteReader, guavavalve::ByteWriter)
