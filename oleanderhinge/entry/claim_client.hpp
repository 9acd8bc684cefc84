// Sends claims and outcome reports to the leader of the control group and finds
// the new leader after a change.
//
// A message may be lost. The state machine of its call (service_call) sends it
// again, so this class keeps no messages.
//
// Example:
//   claim_client claims{links, control_endpoints};
//   claims.send(claim_request);
#pragma once

#include "oleanderhinge/net/link_table.hpp"

#include <mutex>
#include <optional>
#include <vector>

namespace oleanderhinge::entry
{

// Thread-safe.
class claim_client
{
public:
    claim_client(net::link_table& links, std::vector<wire::endpoint> control);

    // Sends to the assumed leader; connects if there is no link. The message is
    // lost if the link is closed or full.
    void send(const wire::message& content);
    // Follows a redirect on this component's link and returns true. Returns
    // false for all other messages; replies to claims must still be dispatched
    // to their calls. The second `unavailable` in a row without a redirect
    // switches to the next node.
    bool on_message(net::link_id link, const wire::message& content);
    // The link was closed; the next message goes to the next node.
    void on_closed(net::link_id link);

private:
    // Closes the link; the next message goes to `target`, or without it to the
    // next node of `control`.
    void switch_node(std::optional<wire::endpoint> target);

    net::link_table& links;
    const std::vector<wire::endpoint> control;
    std::mutex mutex;
    std::optional<net::link_id> link;
    std::optional<wire::endpoint> leader;
    std::size_t next_control = 0;
    // Consecutive redirects without an answer. Limited, since redirects to
    // former leaders may form a loop.
    unsigned redirects = 0;
    // Consecutive replies `unavailable` on this link.
    unsigned unavailable_replies = 0;
};

} // namespace oleanderhinge::entry
