// Records of the log and the batches that hold them in a segment file.
//
// Layout of a batch, little endian: magic "OHB1" (4 bytes), length of the body
// (4), CRC-32C (4), body: the records in the encoding of wire/archive.hpp. The
// checksum covers segment number, offset of the batch in the file, length and
// body, so a batch is valid at one place only.
#pragma once

#include "oleanderhinge/base/error.hpp"
#include "oleanderhinge/base/ids.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderhinge::storage
{

inline constexpr std::size_t batch_header_size = 12;
// Kind of a record that removes all records with its index and above.
inline constexpr std::uint8_t truncation_kind = 255;

struct record {
    base::log_index index;
    base::term record_term;
    // For the user of the store, below `truncation_kind`.
    std::uint8_t kind = 0;
    std::string payload;

    bool operator==(const record&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->index, this->record_term, this->kind, this->payload);
    }
};

std::string encode_batch(
    std::uint64_t segment,
    std::uint64_t offset,
    const std::vector<record>& records);

struct decoded_batch {
    std::vector<record> records;
    // Bytes of the batch with its header.
    std::size_t size = 0;
};

// Parses the batch at `offset` of `contents`; fails with `corrupt` and the
// reason.
base::result<decoded_batch> decode_batch(
    std::uint64_t segment, std::uint64_t offset, std::string_view contents);

// True if a valid batch starts at any place behind `offset`.
bool has_batch_behind(
    std::uint64_t segment, std::uint64_t offset, std::string_view contents);

} // namespace oleanderhinge::storage
