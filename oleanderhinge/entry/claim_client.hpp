// Sends claims and outcomes to the control leader and follows it.
//
// A claim that gets no answer is repeated by its state machine, so this class
// keeps no messages; it only finds the node that answers.
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

    // Sends over the link to the node that is believed to be the leader.
    void send(const wire::message& content);
    // True if the message belongs to this component's link. Follows redirects;
    // after `unavailable` without a redirect the next node is tried.
    bool on_message(net::link_id link, const wire::message& content);
    void on_closed(net::link_id link);

private:
    // Leaves the present link for `target`, or for the next node of the list.
    void move_on(std::optional<wire::endpoint> target);

    net::link_table& links;
    const std::vector<wire::endpoint> control;
    std::mutex mutex;
    std::optional<net::link_id> link;
    std::optional<wire::endpoint> leader;
    std::size_t next_control = 0;
    // Redirects in a row without an answer; bounds a circle of stale hints.
    unsigned redirects = 0;
    // Answers `unavailable` in a row on this link.
    unsigned refusals = 0;
};

} // namespace oleanderhinge::entry
