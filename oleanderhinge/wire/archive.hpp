// cereal archives for messages and records: little endian, without padding.
//
// The input archive checks every element count against the bytes that are
// left before anything is allocated, so a hostile length cannot make the
// process allocate more than a small multiple of the input.
//
// Example:
//   std::string bytes = to_bytes(route);
//   result<route> copy = from_bytes<route>(bytes);
#pragma once

#include "oleanderhinge/base/error.hpp"

#include <cereal/cereal.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <bit>
#include <cstring>
#include <exception>
#include <string>
#include <string_view>

namespace oleanderhinge::wire
{

static_assert(
    std::endian::native == std::endian::little,
    "the archives write native integers and the format is little endian");

// Largest number of elements of one container in a message.
inline constexpr std::size_t max_elements = 65536;

// Appends to a string.
class output_archive
    : public cereal::
          OutputArchive<output_archive, cereal::AllowEmptyClassElision>
{
public:
    explicit output_archive(std::string& bytes)
        : OutputArchive(this)
        , target(bytes)
    {
    }

    void write(const void* data, std::size_t size)
    {
        this->target.append(static_cast<const char*>(data), size);
    }

private:
    std::string& target;
};

// Reads from a byte range; throws `cereal::Exception` at its end.
class input_archive
    : public cereal::InputArchive<input_archive, cereal::AllowEmptyClassElision>
{
public:
    explicit input_archive(std::string_view bytes)
        : InputArchive(this)
        , source(bytes)
    {
    }

    void read(void* data, std::size_t size)
    {
        if (size > this->source.size())
            throw cereal::Exception("truncated");
        if (size != 0)
            std::memcpy(data, this->source.data(), size);
        this->source.remove_prefix(size);
    }

    std::size_t remaining() const { return this->source.size(); }

private:
    std::string_view source;
};

// Archive functions found by cereal through argument-dependent lookup.
template <class T>
std::enable_if_t<std::is_arithmetic_v<T>>
CEREAL_SAVE_FUNCTION_NAME(output_archive& archive, const T& value)
{
    archive.write(&value, sizeof(value));
}

template <class T>
std::enable_if_t<std::is_arithmetic_v<T>>
CEREAL_LOAD_FUNCTION_NAME(input_archive& archive, T& value)
{
    if constexpr (std::is_same_v<T, bool>) {
        std::uint8_t byte = 0;
        archive.read(&byte, 1);
        value = byte != 0;
    } else {
        archive.read(&value, sizeof(value));
    }
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(
    output_archive& archive, const cereal::NameValuePair<T>& pair)
{
    archive(pair.value);
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(
    input_archive& archive, cereal::NameValuePair<T>& pair)
{
    archive(pair.value);
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(
    output_archive& archive, const cereal::SizeTag<T>& tag)
{
    archive(std::uint32_t(tag.size));
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(input_archive& archive, cereal::SizeTag<T>& tag)
{
    std::uint32_t size = 0;
    archive(size);
    // Each element takes at least one byte. Long strings are one element run
    // and are bounded by the remaining bytes alone.
    if (size > archive.remaining())
        throw cereal::Exception("count exceeds the message");
    tag.size = size;
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(
    output_archive& archive, const cereal::BinaryData<T>& data)
{
    archive.write(data.data, std::size_t(data.size));
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(
    input_archive& archive, cereal::BinaryData<T>& data)
{
    archive.read(data.data, std::size_t(data.size));
}

// Serializes `value`.
template <class T>
std::string to_bytes(const T& value)
{
    std::string bytes;
    output_archive archive(bytes);
    archive(value);
    return bytes;
}

// Parses `bytes`; fails with `malformed` if they are truncated, have bytes
// left over or hold a value that is out of range.
template <class T>
base::result<T> from_bytes(std::string_view bytes)
{
    try {
        input_archive archive(bytes);
        T value;
        archive(value);
        if (archive.remaining() != 0)
            return base::fail(
                base::error_code::malformed, "bytes after the message");
        return value;
    } catch (const std::exception& e) {
        return base::fail(base::error_code::malformed, e.what());
    }
}

} // namespace oleanderhinge::wire

CEREAL_REGISTER_ARCHIVE(oleanderhinge::wire::output_archive)
CEREAL_REGISTER_ARCHIVE(oleanderhinge::wire::input_archive)
CEREAL_SETUP_ARCHIVE_TRAITS(
    oleanderhinge::wire::input_archive, oleanderhinge::wire::output_archive)
