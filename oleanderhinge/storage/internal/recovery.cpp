#include "oleanderhinge/storage/internal/recovery.hpp"

#include <algorithm>
#include <utility>

namespace oleanderhinge::storage::internal
{

namespace
{

boost::leaf::error_id
damage(std::uint64_t segment, std::uint64_t offset, const std::string& reason)
{
    return base::fail(
        base::error_code::corrupt,
        log_name(segment) + " at offset " + std::to_string(offset) + ": " +
            reason);
}

// Adds a record to the log; returns the reason if it does not fit.
std::optional<std::string> add(recovered_log& log, record r)
{
    if (r.kind == truncation_kind) {
        while (!log.records.empty() && log.records.back().index >= r.index)
            log.records.pop_back();
        log.next = std::min(log.next, r.index);
        return std::nullopt;
    }
    if (r.index != log.next)
        return "record " + std::to_string(r.index.value()) + " where " +
               std::to_string(log.next.value()) + " is expected";
    log.next = r.index.next();
    log.records.push_back(std::move(r));
    return std::nullopt;
}

// Parses a batch, or returns the reason why it does not parse.
std::optional<std::string> try_decode(
    std::uint64_t segment,
    std::uint64_t offset,
    std::string_view bytes,
    decoded_batch& batch)
{
    return base::handle(
        [&]() -> base::result<std::optional<std::string>> {
            BOOST_LEAF_ASSIGN(batch, decode_batch(segment, offset, bytes));
            return std::optional<std::string>();
        },
        [](const base::error& e) { return std::optional(e.detail); });
}

base::result<void> replay_segment(
    recovered_log& log,
    std::uint64_t number,
    std::string_view bytes,
    bool is_last)
{
    std::uint64_t offset = segment_header_size;
    while (offset < bytes.size()) {
        decoded_batch batch;
        const auto reason = try_decode(number, offset, bytes, batch);
        if (reason && !is_last)
            return damage(number, offset, *reason + ", not the last segment");
        if (reason && has_batch_behind(number, offset, bytes))
            return damage(
                number, offset, *reason + ", with valid records behind it");
        if (reason) {
            log.cut_bytes = bytes.size() - offset;
            break;
        }
        for (auto& r : batch.records) {
            if (const auto wrong = add(log, std::move(r)))
                return damage(number, offset, *wrong);
        }
        offset += batch.size;
    }
    log.active_size = offset;
    return {};
}

// A last segment of at most the size of its header may be the trace of a stop
// before its first sync. It holds no record.
base::result<bool> remove_unfinished(
    file_system& files, std::uint64_t number, std::string_view bytes)
{
    if (bytes.size() > segment_header_size)
        return false;
    const bool valid = base::handle(
        [&]() -> base::result<bool> {
            BOOST_LEAF_CHECK(decode_header(bytes));
            return true;
        },
        [](const base::error&) { return false; });
    if (valid)
        return false;
    BOOST_LEAF_CHECK(files.remove(log_name(number)));
    BOOST_LEAF_CHECK(files.sync_folder());
    return true;
}

base::result<segment_header>
check_header(std::uint64_t number, std::string_view bytes)
{
    segment_header header;
    const auto reason = base::handle(
        [&]() -> base::result<std::string> {
            BOOST_LEAF_ASSIGN(header, decode_header(bytes));
            return std::string();
        },
        [](const base::error& e) { return e.detail; });
    if (!reason.empty())
        return damage(number, 0, reason);
    if (header.number != number)
        return damage(number, 0, "header names another segment");
    return header;
}

} // namespace

base::result<recovered_log>
read_log(file_system& files, const std::vector<std::string>& names)
{
    std::vector<std::uint64_t> numbers;
    for (const auto& name : names) {
        if (const auto number = log_number(name))
            numbers.push_back(*number);
    }
    std::sort(numbers.begin(), numbers.end());
    recovered_log log;
    for (const auto number : numbers) {
        const bool is_last = number == numbers.back();
        BOOST_LEAF_AUTO(bytes, files.read(log_name(number)));
        if (is_last) {
            BOOST_LEAF_AUTO(removed, remove_unfinished(files, number, bytes));
            if (removed)
                break;
        }
        BOOST_LEAF_AUTO(header, check_header(number, bytes));
        if (log.segments.empty())
            log.next = header.first;
        else if (number != log.segments.back().number + 1)
            return damage(number, 0, "the segment before it is missing");
        log.segments.push_back(header);
        BOOST_LEAF_CHECK(replay_segment(log, number, bytes, is_last));
    }
    return log;
}

base::result<bool> leads_up_to(
    const recovered_log& log, base::log_index last, base::term last_term)
{
    // A snapshot is saved only after all batches before it are synced, so a
    // torn batch before the end of the snapshot cannot be a torn write.
    if (log.next <= last && log.cut_bytes != 0)
        return damage(
            log.segments.back().number,
            log.active_size,
            "bad batch before the end of the snapshot at " +
                std::to_string(last.value()));
    if (log.next <= last)
        return false;
    const auto begin =
        log.records.empty() ? log.next : log.records.front().index;
    if (begin > last.next())
        return damage(
            log.segments.front().number,
            0,
            "records start at " + std::to_string(begin.value()) +
                ", the snapshot ends at " + std::to_string(last.value()));
    if (begin == last.next())
        return true;
    const auto& at = log.records[last.value() - begin.value()];
    return at.record_term == last_term;
}

} // namespace oleanderhinge::storage::internal
