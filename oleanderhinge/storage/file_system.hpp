// File access of the log, in one folder. The interface lets tests stop after
// any single operation.
//
// Example:
//   auto files = make_posix_file_system("/var/lib/oleanderhinge");
//   BOOST_LEAF_AUTO(log, files->create("log-1"));
//   BOOST_LEAF_CHECK(log->write("bytes"));
//   BOOST_LEAF_CHECK(log->sync());
#pragma once

#include "oleanderhinge/base/error.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderhinge::storage
{

// A file open for appending. Errors carry the name and the reason: `no_space`
// if the disk has no room for what was to be written, else `io`.
class file
{
public:
    virtual ~file() = default;

    virtual base::result<void> write(std::string_view bytes) = 0;
    // Makes the contents durable. The name is durable only after
    // `sync_folder`.
    virtual base::result<void> sync() = 0;
};

class file_system
{
public:
    virtual ~file_system() = default;

    // Names of the files, sorted.
    virtual base::result<std::vector<std::string>> list() = 0;
    virtual base::result<std::string> read(const std::string& name) = 0;
    // An empty file; an existing one is emptied.
    virtual base::result<std::unique_ptr<file>>
    create(const std::string& name) = 0;
    virtual base::result<std::unique_ptr<file>>
    open_append(const std::string& name) = 0;
    // Cuts the file to `size` bytes; durable after `sync` of the file.
    virtual base::result<void>
    truncate(const std::string& name, std::uint64_t size) = 0;
    // Replaces `to` in one step. Durable after `sync_folder`.
    virtual base::result<void>
    rename(const std::string& from, const std::string& to) = 0;
    // No error if there is no such file, so that it can be repeated.
    virtual base::result<void> remove(const std::string& name) = 0;
    virtual base::result<void> sync_folder() = 0;
};

// Files in `folder`, which must exist.
std::unique_ptr<file_system> make_posix_file_system(std::string folder);

} // namespace oleanderhinge::storage
