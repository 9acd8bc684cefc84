// Numbers for backend servers, so that a message about which servers have
// reported again takes one bit for each server.
//
// Pattern: thousands of servers report every second, and hundreds of gateways
// have to learn that they are alive. With a whole record for each report, the
// bytes grow with servers times gateways and fill the links of control.
//
// Each link has its own numbers, chosen by the sender.
//
// Example:
//   // sender
//   send(new_numbers(numbers, ids));
//   send(make_refresh(numbers, ids, age));
//   // receiver
//   learn(received, message);
//   visit_refreshed(received, refresh, [&](const auto& id) { ... });
#pragma once

#include "oleanderhinge/wire/messages.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace oleanderhinge::fleet
{

// The numbers of a sender.
struct numbering {
    std::map<base::backend_server_id, std::uint32_t> numbers;
    std::vector<base::backend_server_id> servers;
};

// Gives numbers to servers that have none and returns them. Nothing to send if
// `servers` of the result is empty.
template <class Ids>
wire::server_numbers new_numbers(numbering& from, const Ids& ids)
{
    wire::server_numbers added{std::uint32_t(from.servers.size()), {}};
    for (const auto& id : ids)
        if (from.numbers.try_emplace(id, std::uint32_t(from.servers.size()))
                .second) {
            from.servers.push_back(id);
            added.servers.push_back(id);
        }
    return added;
}

// Gives new numbers to the servers that are known at present, and returns them
// for all links.
template <class Ids>
wire::server_numbers renumber(numbering& from, const Ids& known)
{
    from = {};
    return new_numbers(from, known);
}

// True if most numbers belong to servers that are not known any more.
bool is_sparse(const numbering& from, std::size_t known_servers);

// All numbers, for a new link.
wire::server_numbers all_numbers(const numbering& from);

// Marks the servers as reported. Those without a number are left out.
template <class Ids>
wire::server_refresh
make_refresh(const numbering& from, const Ids& ids, std::uint32_t age_ms)
{
    wire::server_refresh made{age_ms, {}};
    made.reported.resize((from.servers.size() + 7) / 8);
    for (const auto& id : ids)
        if (const auto found = from.numbers.find(id);
            found != from.numbers.end())
            made.reported[found->second / 8] |=
                std::uint8_t(1U << (found->second % 8));
    return made;
}

// A server's load as sent on links. The cache is rounded to a share.
wire::server_loads::item
pack_load(std::uint32_t number, const wire::engine_load& load);
wire::engine_load unpack_load(const wire::server_loads::item& item);

// The numbers of the peer of a link.
struct peer_numbering {
    std::vector<base::backend_server_id> servers;
};

// Numbers that start at zero replace the known ones; others that do not follow
// them are ignored.
void learn(peer_numbering& known, const wire::server_numbers& received);

// Calls `visit(const backend_server_id&, const engine_load&)` for each load.
// Unknown numbers are skipped.
template <class Visitor>
void visit_loads(
    const peer_numbering& known,
    const wire::server_loads& received,
    Visitor&& visit)
{
    for (const auto& item : received.items)
        if (item.server < known.servers.size())
            visit(known.servers[item.server], unpack_load(item));
}

// Calls `visit(const backend_server_id&)` for each server that has reported.
// Unknown numbers are skipped.
template <class Visitor>
void visit_refreshed(
    const peer_numbering& known,
    const wire::server_refresh& received,
    Visitor&& visit)
{
    for (std::size_t number = 0;
         number < known.servers.size() && number / 8 < received.reported.size();
         ++number)
        if ((received.reported[number / 8] >> (number % 8) & 1U) != 0)
            visit(known.servers[number]);
}

} // namespace oleanderhinge::fleet
