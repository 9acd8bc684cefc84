// Difference between two forwarding tables, so that a change of a few routes of
// a large table takes a few bytes on each link.
//
// Example:
//   const auto patch = make_patch(present, next);
//   if (fits(present, patch))
//       apply_patch(present, patch);  // now equal to `next`
#pragma once

#include "oleanderhinge/wire/forwarding.hpp"

#include <cstdint>
#include <vector>

namespace oleanderhinge::wire
{

// A run of items of the base list, followed by new items.
template <class Item>
struct list_segment {
    std::uint32_t kept_first = 0;
    std::uint32_t kept_count = 0;
    std::vector<Item> added;

    bool operator==(const list_segment&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->kept_first, this->kept_count, this->added);
    }
};

// The segments of each list, in order, make up the list of the new table. The
// kept runs are in the order of the base list and do not overlap.
struct forwarding_patch {
    // Version of the table that the patch changes.
    std::uint64_t base_version = 0;
    std::uint64_t version = 0;
    std::vector<list_segment<forwarding_route>> routes;
    std::vector<list_segment<forwarding_service>> services;
    std::vector<list_segment<forwarding_customer>> customers;
    bool needs_keys = false;

    bool operator==(const forwarding_patch&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->base_version, this->version, this->routes);
        archive(this->services, this->customers, this->needs_keys);
    }
};

// The field `modified` is not part of the difference; the system sets it.
forwarding_patch
make_patch(const forwarding_table& from, const forwarding_table& to);

// Whether the patch was made for a table of this version and these list sizes.
bool fits(const forwarding_table& base, const forwarding_patch& patch);

// Changes the table, without copying what it keeps. Precondition: `fits`.
void apply_patch(forwarding_table& table, const forwarding_patch& patch);

} // namespace oleanderhinge::wire
