// Identifiers and units that several components share.
//
// Example:
//   request_id request{incarnation{7}, 1};
//   token_index first{0};
#pragma once

#include "oleanderhinge/base/strong.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>

namespace oleanderhinge::base
{

// Name of a VM of the system, from the settings of its process.
using vm_id = strong<struct vm_tag, std::string>;
using region_id = strong<struct region_tag, std::string>;
using data_centre_id = strong<struct data_centre_tag, std::string>;
using customer_id = strong<struct customer_tag, std::string>;
using route_id = strong<struct route_tag, std::string>;
using model_id = strong<struct model_tag, std::string>;
using plan_id = strong<struct plan_tag, std::string>;
// Name of a backend server, announced by its agent.
using backend_server_id = strong<struct backend_server_tag, std::string>;

// Random number that a process draws at its start. A restarted process has a
// new one, which tells its messages from those of its predecessor.
using incarnation = strong<struct incarnation_tag, std::uint64_t>;

// Revision of the configuration; grows by one with each confirmed plan.
using revision = strong<struct revision_tag, std::uint64_t>;
// Number that orders commands to a backend server; older ones are refused.
using fencing_number = strong<struct fencing_tag, std::uint64_t>;
// Term and log index of the replicated log.
using term = strong<struct term_tag, std::uint64_t>;
using log_index = strong<struct log_index_tag, std::uint64_t>;

// Attempt at a request, from 1. A higher one fences lower ones.
using attempt_number = strong<struct attempt_tag, std::uint32_t>;
// Position of a generated token in an answer, from 0.
using token_index = strong<struct token_index_tag, std::uint32_t>;
// Position of a layer in a model, from 0.
using layer_index = strong<struct layer_tag, std::uint32_t>;
// Hybrid logical clock stamp, see timeline/hybrid_clock.hpp.
using stamp = strong<struct stamp_tag, std::uint64_t>;
// A number of tokens, of prompt and generated ones together.
using token_count = strong<struct token_count_tag, std::uint64_t>;

// Stable hash of the id of a prompt part. Requests whose prompts share a part
// have the same value.
using prompt_part = strong<struct prompt_part_tag, std::uint64_t>;

// Half-open range of layers [first, end).
struct layer_range {
    layer_index first;
    layer_index end;

    auto operator<=>(const layer_range&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->first, this->end);
    }
};

// Identifies a request over all processes: the incarnation of the entry node
// that took it and a counter there.
struct request_id {
    incarnation origin;
    std::uint64_t sequence = 0;

    auto operator<=>(const request_id&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->origin, this->sequence);
    }

    friend std::ostream& operator<<(std::ostream& out, const request_id& id)
    {
        return out << id.origin << '-' << id.sequence;
    }
};

// Rank of work, most urgent first.
enum class rank : std::uint8_t { urgent, standard, deferrable };
inline constexpr std::size_t rank_count = 3;

// Kind of route: a pipeline over layer ranges, or calls to a plain service.
enum class route_kind : std::uint8_t { model, service };

const char* to_string(rank value);

} // namespace oleanderhinge::base

template <>
struct std::hash<oleanderhinge::base::request_id> {
    std::size_t
    operator()(const oleanderhinge::base::request_id& id) const noexcept
    {
        return std::size_t(
            id.origin.value() ^ (id.sequence * 0x9e3779b97f4a7c15ULL));
    }
};
