#include "oleanderhinge/chain/execution.hpp"

#include "oleanderhinge/chain/internal/attempts.hpp"

#include <utility>

namespace oleanderhinge::chain
{

attempt_table make_attempt_table(stage_identity self, execution_limits limits)
{
    attempt_table table;
    table.self = std::move(self);
    table.limits = limits;
    return table;
}

std::vector<action>
advance(attempt_table& table, const event& input, base::time_point now)
{
    internal::context c{table, now, {}};
    std::visit([&](const auto& e) { internal::handle(c, e); }, input);
    return std::move(c.actions);
}

std::size_t open_attempts(const attempt_table& table)
{
    std::size_t count = 0;
    for (const auto& id : table.active)
        count += table.requests.at(id).attempts.size();
    return count;
}

std::set<peer_link> entry_links(const attempt_table& table)
{
    std::set<peer_link> links;
    for (const auto& id : table.active)
        for (const auto& state : table.requests.at(id).attempts)
            links.insert(state.entry_link);
    return links;
}

} // namespace oleanderhinge::chain
