#include "oleanderhinge/storage/log_store.hpp"

#include "oleanderhinge/storage/internal/files.hpp"
#include "oleanderhinge/wire/archive.hpp"

#include <utility>

namespace oleanderhinge::storage
{

void log_store::append(record r)
{
    this->last = r.index;
    this->collected.push_back(std::move(r));
}

void log_store::truncate_from(base::log_index from)
{
    if (from > this->last)
        return;
    this->last = base::log_index{from.value() - 1};
    this->collected.push_back({from, base::term{}, truncation_kind, {}});
}

base::result<void> log_store::usable() const
{
    if (this->failed)
        return base::fail(
            base::error_code::io, "the store is closed after an earlier error");
    return {};
}

base::result<void> log_store::track(base::result<void> outcome)
{
    if (!outcome)
        this->failed = true;
    return outcome;
}

base::result<void> log_store::repair()
{
    if (!this->failed)
        return {};
    if (this->active) {
        BOOST_LEAF_CHECK(this->files.truncate(
            internal::log_name(this->segments.back().number),
            this->active_size));
        BOOST_LEAF_CHECK(this->active->sync());
    }
    this->failed = false;
    return {};
}

base::result<void> log_store::start_segment()
{
    const std::uint64_t number =
        this->segments.empty() ? 1 : this->segments.back().number + 1;
    // The collected records are not in a segment yet.
    auto first = this->last.next();
    if (!this->collected.empty())
        first = this->collected.front().index;
    BOOST_LEAF_AUTO(created, this->files.create(internal::log_name(number)));
    const auto header = internal::encode_header({number, first});
    BOOST_LEAF_CHECK(created->write(header));
    BOOST_LEAF_CHECK(created->sync());
    BOOST_LEAF_CHECK(this->files.sync_folder());
    this->active = std::move(created);
    this->active_size = header.size();
    this->segments.push_back({number, first});
    ++this->counts.segments;
    this->counts.syncs += 2;
    return {};
}

base::result<void> log_store::write_batch()
{
    if (!this->active || this->active_size >= this->options.segment_bytes)
        BOOST_LEAF_CHECK(this->start_segment());
    const auto batch = encode_batch(
        this->segments.back().number, this->active_size, this->collected);
    BOOST_LEAF_CHECK(this->active->write(batch));
    BOOST_LEAF_CHECK(this->active->sync());
    this->active_size += batch.size();
    this->counts.bytes += batch.size();
    this->counts.records += this->collected.size();
    ++this->counts.syncs;
    this->collected.clear();
    return {};
}

base::result<void> log_store::sync()
{
    BOOST_LEAF_CHECK(this->usable());
    if (this->collected.empty())
        return {};
    return this->track(this->write_batch());
}

base::result<void>
log_store::replace_file(const std::string& name, std::string_view body)
{
    const auto bytes = internal::encode_file(body);
    BOOST_LEAF_CHECK(internal::replace(this->files, name, bytes));
    this->counts.bytes += bytes.size();
    this->counts.syncs += 2;
    return {};
}

base::result<void> log_store::save_vote(const vote& v)
{
    BOOST_LEAF_CHECK(this->usable());
    return this->track(
        this->replace_file(internal::vote_name, wire::to_bytes(v)));
}

base::result<void> log_store::remove_covered(base::log_index covered)
{
    // Oldest first with a sync each, so that after a stop the rest of the log
    // still has no gap.
    while (this->segments.size() > 1 &&
           this->segments[1].first <= covered.next()) {
        BOOST_LEAF_CHECK(this->files.remove(
            internal::log_name(this->segments.front().number)));
        BOOST_LEAF_CHECK(this->files.sync_folder());
        ++this->counts.syncs;
        this->segments.erase(this->segments.begin());
    }
    return {};
}

base::result<void> log_store::remove_all_segments()
{
    this->active.reset();
    std::vector<std::uint64_t> numbers;
    for (const auto& s : this->segments)
        numbers.push_back(s.number);
    BOOST_LEAF_CHECK(internal::remove_segments(this->files, numbers));
    this->counts.syncs += numbers.size();
    this->segments.clear();
    return {};
}

base::result<void> log_store::save_snapshot(const snapshot& s)
{
    BOOST_LEAF_CHECK(this->usable());
    return this->track([&]() -> base::result<void> {
        BOOST_LEAF_CHECK(
            this->replace_file(internal::snapshot_name, wire::to_bytes(s)));
        ++this->counts.snapshots;
        return this->remove_covered(s.last);
    }());
}

base::result<void> log_store::install_snapshot(const snapshot& s)
{
    BOOST_LEAF_CHECK(this->usable());
    this->collected.clear();
    return this->track([&]() -> base::result<void> {
        BOOST_LEAF_CHECK(
            this->replace_file(internal::snapshot_name, wire::to_bytes(s)));
        ++this->counts.snapshots;
        BOOST_LEAF_CHECK(this->remove_all_segments());
        this->last = s.last;
        return {};
    }());
}

} // namespace oleanderhinge::storage
