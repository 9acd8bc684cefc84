#include "oleanderhinge/consensus/internal/context.hpp"

#include <algorithm>

namespace oleanderhinge::consensus::internal
{

namespace
{

send make_send(context& c, const vm_id& to, incarnation receiver, body content)
{
    return {
        to,
        {c.state.vote.current_term,
         c.state.disk,
         receiver,
         std::move(content)}};
}

// Adds a write that makes the log durable up to its last index.
std::uint64_t start_write(context& c)
{
    const auto write_sequence = ++c.state.last_write_sequence;
    c.state.pending_writes.emplace_back(
        write_sequence, last_index(c.state.log));
    return write_sequence;
}

} // namespace

void send_to(context& c, const vm_id& to, incarnation receiver, body content)
{
    c.actions.emplace_back(make_send(c, to, receiver, std::move(content)));
}

void send_after_persist(
    context& c,
    std::uint64_t write_sequence,
    const vm_id& to,
    incarnation receiver,
    body content)
{
    c.state.held_messages.push_back(
        {write_sequence,
         c.state.vote.current_term,
         make_send(c, to, receiver, std::move(content))});
}

std::uint64_t write_vote(context& c)
{
    const auto write_sequence = start_write(c);
    c.state.vote_write_sequence = write_sequence;
    c.actions.emplace_back(persist{write_sequence, c.state.vote, {}, {}});
    return write_sequence;
}

void write_entries(
    context& c, std::optional<log_index> truncate_from, std::vector<entry> e)
{
    if (truncate_from) {
        const log_index kept{truncate_from->value() - 1};
        for (auto& [write_sequence, last] : c.state.pending_writes)
            last = std::min(last, kept);
        c.state.durable = std::min(c.state.durable, kept);
    }
    c.state.counts.entries_appended += e.size();
    const auto write_sequence = start_write(c);
    c.actions.emplace_back(
        persist{write_sequence, {}, truncate_from, std::move(e)});
}

void commit_up_to(context& c, log_index index)
{
    if (index <= c.state.committed)
        return;
    c.state.committed = index;
    apply out;
    for (auto i = c.state.applied.next(); i <= index; i = i.next())
        out.entries.push_back(entry_at(c.state.log, i));
    c.state.applied = index;
    c.actions.emplace_back(std::move(out));
}

std::uint32_t lease_age_ms(const context& c)
{
    const auto age = lease_age(c.state, c.now);
    if (!age)
        return UINT32_MAX;
    return std::uint32_t(
        std::chrono::duration_cast<std::chrono::milliseconds>(*age).count());
}

} // namespace oleanderhinge::consensus::internal
