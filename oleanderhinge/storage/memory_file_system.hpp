// A folder in memory that tells durable bytes from unsynced ones, for tests of
// everything that writes to a disk.
//
// Example:
//   memory_file_system files;
//   files.stop_after(7);             // the 7th operation is the last one
//   run(files);
//   files.crash(unsynced::random, random);  // power loss; usable again
#pragma once

#include "oleanderhinge/base/random.hpp"
#include "oleanderhinge/storage/file_system.hpp"

#include <map>
#include <mutex>

namespace oleanderhinge::storage
{

// What a power loss does to unsynced bytes and names.
enum class unsynced : std::uint8_t {
    lost,
    // Only the process ended: everything is still there, and still unsynced.
    kept,
    // Each name independently is old or new; of unsynced bytes a part
    // survives, and a part of that is zero.
    random,
};

// Thread-safe. Must outlive the files that it hands out.
class memory_file_system final : public file_system
{
public:
    base::result<std::vector<std::string>> list() override;
    base::result<std::string> read(const std::string& name) override;
    base::result<std::unique_ptr<file>>
    create(const std::string& name) override;
    base::result<std::unique_ptr<file>>
    open_append(const std::string& name) override;
    base::result<void>
    truncate(const std::string& name, std::uint64_t size) override;
    base::result<void>
    rename(const std::string& from, const std::string& to) override;
    base::result<void> remove(const std::string& name) override;
    base::result<void> sync_folder() override;

    // Changing operations (create, write, sync, truncate, rename, remove,
    // sync of the folder) so far.
    std::uint64_t operations() const;
    // After `count` changing operations in total, every call fails.
    void stop_after(std::uint64_t count);
    // While the disk is full, files cannot be created, and a write fails after
    // half of its bytes.
    void set_full(bool value);
    // The next sync of a file fails once and makes nothing durable.
    void fail_next_sync();
    // End of the process or power loss: applies `mode`, forgets open files and
    // removes the limit.
    void crash(unsynced mode, base::random_source& random);
    // Removes everything: the disk was replaced.
    void wipe();
    // Replaces the durable and present contents of a file, to damage it.
    void overwrite(const std::string& name, const std::string& bytes);

private:
    struct inode {
        std::string present;
        std::string durable;
    };
    using names = std::map<std::string, std::shared_ptr<inode>>;
    class open_file;

    base::result<void> begin_change();
    base::result<std::shared_ptr<inode>> find(const std::string& name);
    base::result<std::unique_ptr<file>> hand_out(std::shared_ptr<inode> node);
    static std::string
    surviving(const inode& node, unsynced mode, base::random_source& random);

    mutable std::mutex mutex;
    names present;
    names durable;
    std::uint64_t changes = 0;
    std::uint64_t limit = UINT64_MAX;
    bool full = false;
    bool sync_fails = false;
    // Files that were opened before a crash are dead.
    std::uint64_t generation = 0;
};

} // namespace oleanderhinge::storage
