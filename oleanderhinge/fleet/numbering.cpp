#include "oleanderhinge/fleet/numbering.hpp"

namespace oleanderhinge::fleet
{

wire::server_numbers all_numbers(const numbering& from)
{
    return {0, from.servers};
}

void learn(peer_numbering& known, const wire::server_numbers& received)
{
    if (received.first == 0)
        known.servers.clear();
    if (received.first != known.servers.size())
        return;
    known.servers.insert(
        known.servers.end(), received.servers.begin(), received.servers.end());
}

} // namespace oleanderhinge::fleet
