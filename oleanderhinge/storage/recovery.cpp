// Opening a folder: `log_store::open`.
#include "oleanderhinge/storage/internal/recovery.hpp"
#include "oleanderhinge/storage/log_store.hpp"
#include "oleanderhinge/wire/archive.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace oleanderhinge::storage
{

namespace
{

base::result<std::optional<std::string>> read_file(
    file_system& files,
    const std::vector<std::string>& names,
    const std::string& name)
{
    if (std::find(names.begin(), names.end(), name) == names.end())
        return std::optional<std::string>();
    BOOST_LEAF_AUTO(contents, files.read(name));
    BOOST_LEAF_AUTO(body, internal::decode_file(name, contents));
    return std::optional(std::move(body));
}

// The incarnation of the folder; draws one if the folder is empty.
base::result<void> read_identity(
    file_system& files,
    const std::vector<std::string>& names,
    base::incarnation drawn,
    recovered_state& state)
{
    BOOST_LEAF_AUTO(body, read_file(files, names, internal::member_name));
    if (body) {
        BOOST_LEAF_ASSIGN(
            state.disk, wire::from_bytes<base::incarnation>(*body));
        return {};
    }
    for (const auto& name : names) {
        const bool ours = name == internal::vote_name ||
                          name == internal::snapshot_name ||
                          internal::log_number(name).has_value();
        if (ours)
            return base::fail(
                base::error_code::corrupt,
                std::string(internal::member_name) +
                    " at offset 0: missing, although " + name + " exists");
    }
    state.disk = drawn;
    state.fresh = true;
    return internal::replace(
        files,
        internal::member_name,
        internal::encode_file(wire::to_bytes(drawn)));
}

base::result<void> read_replaced_files(
    file_system& files,
    const std::vector<std::string>& names,
    recovered_state& state)
{
    BOOST_LEAF_AUTO(vote_body, read_file(files, names, internal::vote_name));
    if (vote_body) {
        BOOST_LEAF_ASSIGN(
            state.vote, wire::from_bytes<storage::vote>(*vote_body));
    }
    BOOST_LEAF_AUTO(body, read_file(files, names, internal::snapshot_name));
    if (body) {
        BOOST_LEAF_ASSIGN(
            state.snapshot, wire::from_bytes<storage::snapshot>(*body));
    }
    return {};
}

} // namespace

base::result<log_store::opened> log_store::open(
    file_system& files, store_options options, base::incarnation disk)
{
    opened out;
    out.store.reset(new log_store(files, options));
    // After the end of the process alone, a rename may be unsynced. It must be
    // durable before anything is removed because of it.
    BOOST_LEAF_CHECK(files.sync_folder());
    BOOST_LEAF_AUTO(names, files.list());
    for (const auto& name : names) {
        if (name.ends_with(".tmp"))
            BOOST_LEAF_CHECK(files.remove(name));
    }
    BOOST_LEAF_CHECK(read_identity(files, names, disk, out.state));
    BOOST_LEAF_CHECK(read_replaced_files(files, names, out.state));
    BOOST_LEAF_CHECK(out.store->recover_log(names, out.state));
    return out;
}

base::result<void> log_store::recover_log(
    const std::vector<std::string>& names, recovered_state& state)
{
    BOOST_LEAF_AUTO(log, internal::read_log(this->files, names));
    this->segments = std::move(log.segments);
    const auto covered =
        state.snapshot ? state.snapshot->last : base::log_index{};
    const auto covered_term =
        state.snapshot ? state.snapshot->last_term : base::term{};
    if (this->segments.empty()) {
        this->last = covered;
        return {};
    }
    // Without a snapshot the log starts at 1, behind the entry 0 of term 0.
    BOOST_LEAF_AUTO(
        complete, internal::leads_up_to(log, covered, covered_term));
    if (!complete) {
        this->last = covered;
        return this->remove_all_segments();
    }
    state.cut_bytes = log.cut_bytes;
    this->last = base::log_index{log.next.value() - 1};
    this->active_size = log.active_size;
    const auto behind = std::find_if(
        log.records.begin(), log.records.end(), [&](const record& r) {
            return r.index > covered;
        });
    state.records.assign(
        std::make_move_iterator(behind),
        std::make_move_iterator(log.records.end()));
    const auto name = internal::log_name(this->segments.back().number);
    if (log.cut_bytes != 0)
        BOOST_LEAF_CHECK(this->files.truncate(name, log.active_size));
    BOOST_LEAF_ASSIGN(this->active, this->files.open_append(name));
    // The last batch may be unsynced for the same reason.
    BOOST_LEAF_CHECK(this->active->sync());
    return this->remove_covered(covered);
}

} // namespace oleanderhinge::storage
