#include "oleanderhinge/storage/formation.hpp"

#include "oleanderhinge/storage/internal/files.hpp"

#include <algorithm>

namespace oleanderhinge::storage
{

base::result<void> write_formation(file_system& files, std::string_view body)
{
    return internal::replace(
        files, internal::formation_name, internal::encode_file(body));
}

base::result<std::optional<std::string>> read_formation(file_system& files)
{
    BOOST_LEAF_AUTO(names, files.list());
    if (std::find(names.begin(), names.end(), internal::formation_name) ==
        names.end())
        return std::optional<std::string>();
    BOOST_LEAF_AUTO(contents, files.read(internal::formation_name));
    BOOST_LEAF_AUTO(
        body, internal::decode_file(internal::formation_name, contents));
    return std::optional(std::move(body));
}

} // namespace oleanderhinge::storage
