// One request while a gateway serves it.
#pragma once

#include "oleanderhinge/gateway/dialect.hpp"
#include "oleanderhinge/gateway/event_stream.hpp"
#include "oleanderhinge/gateway/route_index.hpp"
#include "oleanderhinge/gateway/upstream.hpp"
#include "oleanderhinge/net/http_server.hpp"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace oleanderhinge::gateway
{

struct forwarding_request
    : public std::enable_shared_from_this<forwarding_request> {
    forwarding_request(
        net::http_request request_in, net::http_exchange& exchange_in)
        : request(std::move(request_in))
        , exchange(exchange_in)
    {
    }

    net::http_request request;
    net::http_exchange& exchange;
    request_facts facts;
    std::shared_ptr<const route_index> index;
    const wire::forwarding_route* route = nullptr;
    const wire::forwarding_service* service = nullptr;
    base::customer_id customer;
    std::uint32_t priority = 0;
    steady_time arrived;
    // When the caller or the route gives up.
    steady_time deadline;
    // Servers that failed or refused this request.
    std::set<wire::endpoint> tried;
    std::uint32_t attempts = 0;
    // Servers that may have run the request.
    std::uint32_t runs = 0;
    // The connection in use, to be cancelled when the caller leaves.
    upstream_pointer line;
    // Path of the attempt under way.
    fleet::path parts;
    // Last event, or the start of the attempt, while an attempt is under way.
    steady_time progress;
    bool in_attempt = false;
    // A server of the path that the attempt waits for in vain.
    wire::endpoint waits_for;
    // An order to go on along another path is under way.
    bool changes_path = false;
    // While the request waits for something else than a server.
    std::optional<boost::asio::steady_timer> pause;
    bool caller_left = false;
    bool head_sent = false;
    steady_time last_event;
    event_stream events;
    // For the log: servers of the last attempt, and how the request ended.
    std::string path;
    std::string outcome;
};

} // namespace oleanderhinge::gateway
