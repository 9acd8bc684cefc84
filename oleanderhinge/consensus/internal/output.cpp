#include "oleanderhinge/consensus/internal/context.hpp"

#include <algorithm>

namespace oleanderhinge::consensus::internal
{

namespace
{

send make_send(context& c, const vm_id& to, incarnation receiver, body content)
{
    return {
        to, {c.state.vote.current, c.state.disk, receiver, std::move(content)}};
}

std::uint64_t next_ticket(context& c)
{
    const auto ticket = ++c.state.last_ticket;
    c.state.tickets.emplace_back(ticket, last_index(c.state.log));
    return ticket;
}

} // namespace

void send_to(context& c, const vm_id& to, incarnation receiver, body content)
{
    c.actions.emplace_back(make_send(c, to, receiver, std::move(content)));
}

void send_after(
    context& c,
    std::uint64_t ticket,
    const vm_id& to,
    incarnation receiver,
    body content)
{
    c.state.held.push_back(
        {ticket,
         c.state.vote.current,
         make_send(c, to, receiver, std::move(content))});
}

std::uint64_t write_vote(context& c)
{
    const auto ticket = next_ticket(c);
    c.state.vote_ticket = ticket;
    c.actions.emplace_back(persist{ticket, c.state.vote, {}, {}});
    return ticket;
}

void write_entries(
    context& c, std::optional<log_index> truncate_from, std::vector<entry> e)
{
    if (truncate_from) {
        const log_index kept{truncate_from->value() - 1};
        for (auto& [ticket, last] : c.state.tickets)
            last = std::min(last, kept);
        c.state.durable = std::min(c.state.durable, kept);
    }
    c.state.counts.entries_appended += e.size();
    const auto ticket = next_ticket(c);
    c.actions.emplace_back(persist{ticket, {}, truncate_from, std::move(e)});
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
