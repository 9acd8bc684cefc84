#include "oleanderhinge/storage/memory_file_system.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace oleanderhinge::storage
{

class memory_file_system::open_file final : public file
{
public:
    open_file(memory_file_system& owner_in, std::shared_ptr<inode> node_in)
        : owner(owner_in)
        , node(std::move(node_in))
        , generation(owner_in.generation)
    {
    }

    base::result<void> write(std::string_view bytes) override
    {
        const std::lock_guard lock(this->owner.mutex);
        BOOST_LEAF_CHECK(this->alive());
        BOOST_LEAF_CHECK(this->owner.begin_change());
        if (this->owner.full) {
            this->node->present += bytes.substr(0, bytes.size() / 2);
            return base::fail(base::error_code::no_space, "the disk is full");
        }
        this->node->present += bytes;
        return {};
    }

    base::result<void> sync() override
    {
        const std::lock_guard lock(this->owner.mutex);
        BOOST_LEAF_CHECK(this->alive());
        BOOST_LEAF_CHECK(this->owner.begin_change());
        if (std::exchange(this->owner.sync_fails, false))
            return base::fail(base::error_code::io, "sync failed");
        this->node->durable = this->node->present;
        return {};
    }

private:
    base::result<void> alive() const
    {
        if (this->generation != this->owner.generation)
            return base::fail(
                base::error_code::io, "the file was opened before a crash");
        return {};
    }

    memory_file_system& owner;
    const std::shared_ptr<inode> node;
    const std::uint64_t generation;
};

base::result<void> memory_file_system::begin_change()
{
    if (this->changes >= this->limit)
        return base::fail(base::error_code::io, "the file system has stopped");
    ++this->changes;
    return {};
}

base::result<std::shared_ptr<memory_file_system::inode>>
memory_file_system::find(const std::string& name)
{
    const auto found = this->present.find(name);
    if (found == this->present.end())
        return base::fail(base::error_code::io, name + ": no such file");
    return found->second;
}

base::result<std::unique_ptr<file>>
memory_file_system::hand_out(std::shared_ptr<inode> node)
{
    return std::unique_ptr<file>(
        std::make_unique<open_file>(*this, std::move(node)));
}

base::result<std::vector<std::string>> memory_file_system::list()
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> out;
    for (const auto& [name, node] : this->present)
        out.push_back(name);
    return out;
}

base::result<std::string> memory_file_system::read(const std::string& name)
{
    const std::lock_guard lock(this->mutex);
    BOOST_LEAF_AUTO(node, this->find(name));
    return node->present;
}

base::result<std::unique_ptr<file>>
memory_file_system::create(const std::string& name)
{
    const std::lock_guard lock(this->mutex);
    BOOST_LEAF_CHECK(this->begin_change());
    if (this->full)
        return base::fail(base::error_code::no_space, "the disk is full");
    auto& node = this->present[name];
    if (node)
        node->present.clear();
    else
        node = std::make_shared<inode>();
    return this->hand_out(node);
}

base::result<std::unique_ptr<file>>
memory_file_system::open_append(const std::string& name)
{
    const std::lock_guard lock(this->mutex);
    BOOST_LEAF_AUTO(node, this->find(name));
    return this->hand_out(std::move(node));
}

base::result<void>
memory_file_system::truncate(const std::string& name, std::uint64_t size)
{
    const std::lock_guard lock(this->mutex);
    BOOST_LEAF_CHECK(this->begin_change());
    BOOST_LEAF_AUTO(node, this->find(name));
    node->present.resize(size);
    return {};
}

base::result<void>
memory_file_system::rename(const std::string& from, const std::string& to)
{
    const std::lock_guard lock(this->mutex);
    BOOST_LEAF_CHECK(this->begin_change());
    BOOST_LEAF_AUTO(node, this->find(from));
    this->present.erase(from);
    this->present[to] = std::move(node);
    return {};
}

base::result<void> memory_file_system::remove(const std::string& name)
{
    const std::lock_guard lock(this->mutex);
    BOOST_LEAF_CHECK(this->begin_change());
    this->present.erase(name);
    return {};
}

base::result<void> memory_file_system::sync_folder()
{
    const std::lock_guard lock(this->mutex);
    BOOST_LEAF_CHECK(this->begin_change());
    this->durable = this->present;
    return {};
}

std::uint64_t memory_file_system::operations() const
{
    const std::lock_guard lock(this->mutex);
    return this->changes;
}

void memory_file_system::stop_after(std::uint64_t count)
{
    const std::lock_guard lock(this->mutex);
    this->limit = count;
}

void memory_file_system::set_full(bool value)
{
    const std::lock_guard lock(this->mutex);
    this->full = value;
}

void memory_file_system::fail_next_sync()
{
    const std::lock_guard lock(this->mutex);
    this->sync_fails = true;
}

std::string memory_file_system::surviving(
    const inode& node, unsynced mode, base::random_source& random)
{
    if (mode == unsynced::lost || node.present == node.durable)
        return node.durable;
    if (!node.present.starts_with(node.durable))
        return random.below(2) == 0 ? node.durable : node.present;
    const auto added = node.present.size() - node.durable.size();
    auto out =
        node.present.substr(0, node.durable.size() + random.below(added + 1));
    // Pages reach the disk in any order: a hole before bytes that survived.
    const auto hole = random.below(out.size() - node.durable.size() + 1);
    if (random.below(2) == 0)
        std::fill_n(
            out.begin() + std::ptrdiff_t(node.durable.size()),
            std::ptrdiff_t(hole),
            '\0');
    return out;
}

void memory_file_system::crash(unsynced mode, base::random_source& random)
{
    const std::lock_guard lock(this->mutex);
    this->limit = UINT64_MAX;
    this->full = false;
    this->sync_fails = false;
    ++this->generation;
    if (mode == unsynced::kept)
        return;
    std::set<std::string> all;
    for (const auto& [name, node] : this->present)
        all.insert(name);
    for (const auto& [name, node] : this->durable)
        all.insert(name);
    names after;
    for (const auto& name : all) {
        const bool newer = mode == unsynced::kept ||
                           (mode == unsynced::random && random.below(2) == 0);
        const auto& source = newer ? this->present : this->durable;
        const auto found = source.find(name);
        if (found == source.end())
            continue;
        const auto bytes = surviving(*found->second, mode, random);
        after[name] = std::make_shared<inode>(inode{bytes, bytes});
    }
    this->present = after;
    this->durable = after;
}

void memory_file_system::wipe()
{
    const std::lock_guard lock(this->mutex);
    this->present.clear();
    this->durable.clear();
    ++this->generation;
}

void memory_file_system::overwrite(
    const std::string& name, const std::string& bytes)
{
    const std::lock_guard lock(this->mutex);
    this->present[name] = std::make_shared<inode>(inode{bytes, bytes});
    this->durable[name] = this->present[name];
}

} // namespace oleanderhinge::storage
