// Record of a first start: the disk has belonged to an initial member since the
// cluster started for the first time. It lets a member that restarts before the
// cluster has formed take part again. A lost disk loses the record too, so it
// cannot make an empty disk look like one of a first start.
//
// Example:
//   BOOST_LEAF_CHECK(write_formation(files, encode_membership(initial)));
//   BOOST_LEAF_AUTO(found, read_formation(files));
#pragma once

#include "oleanderhinge/base/error.hpp"
#include "oleanderhinge/storage/file_system.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace oleanderhinge::storage
{

// Durable on success.
base::result<void> write_formation(file_system& files, std::string_view body);

// Empty if there is no record. Fails with `corrupt` if it is damaged.
base::result<std::optional<std::string>> read_formation(file_system& files);

} // namespace oleanderhinge::storage
