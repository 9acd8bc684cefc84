// Another attempt at a stream that has begun, made while the present one is
// kept. Internal to the forwarder.
//
// From its start to its end nothing more is taken from the present attempt, so
// that the events of the next one follow the last event that the caller has.
// Once the head of the next answer has arrived, it replaces the present one.
// If it is refused or fails, the present attempt goes on.
//
// Example:
//   if (request.takeover && request.takeover->state == takeover_state::granted)
//       continue_with(request.takeover->next);
#pragma once

#include "oleanderhinge/gateway/forwarding_request.hpp"

#include <cstdint>
#include <set>

namespace oleanderhinge::gateway
{

enum class takeover_state : std::uint8_t {
    // The next attempt has no answer yet.
    pending,
    // The head of its answer has arrived.
    granted,
    // It is no longer wanted, since the present attempt goes on or the caller
    // has left.
    abandoned,
};

struct stream_takeover {
    stream_takeover(
        const forwarding_request& present,
        fleet::path parts,
        takeover_cause why,
        std::set<wire::endpoint> avoided_in);

    // The next attempt, with the connection and the path of its own.
    forwarding_request next;
    const takeover_cause cause;
    // Servers that the request avoids from now on.
    const std::set<wire::endpoint> avoided;
    takeover_state state = takeover_state::pending;
};

// Ends the request's takeover, if there is one, for the benefit of the present
// attempt.
void abandon_takeover(forwarding_request& request);

} // namespace oleanderhinge::gateway
