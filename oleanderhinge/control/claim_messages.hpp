// Converts claims and outcomes between link messages and commands of the
// replicated log.
//
// Example:
//   log.propose(encode(to_command(request, limits, now_ms)),
//       [&](propose_result r) { send(to_reply(request.correlation, r)); });
#pragma once

#include "oleanderhinge/control_state/commands.hpp"
#include "oleanderhinge/replica/replicated_log.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <cstdint>

namespace oleanderhinge::control
{

// Limits of the claim table, from the settings.
struct claim_limits {
    std::uint64_t retention_ms = 24ULL * 3600 * 1000;
    // A claim has about 100 bytes of key and ids; see docs/design.md, 3.5.
    std::uint64_t max_claims = 100'000;
    std::uint64_t max_bytes = 64ULL << 20;
};

control_state::command to_command(
    const wire::claim_request& request,
    const claim_limits& limits,
    std::uint64_t now_ms);
control_state::command
to_command(const wire::outcome_report& report, const claim_limits& limits);

// Returns the reply to a claim. Its state is `unavailable` unless the command
// was applied; the verdict is then `not_run` if nothing was claimed, and
// `may_have_run` if that is unknown. The owner may send the claim again.
wire::claim_reply
to_reply(std::uint64_t correlation, const replica::propose_result& result);
// Returns the acknowledgement of an outcome report. `stored` is the result of
// the command, and false if it was not applied.
wire::outcome_ack
to_ack(std::uint64_t correlation, const replica::propose_result& result);

} // namespace oleanderhinge::control
