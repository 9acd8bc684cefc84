// State of one request while the gateway serves it.
//
// Example:
//   auto request = std::make_shared<forwarding_request>(
//       std::move(incoming), exchange);
#pragma once

#include "oleanderhinge/gateway/event_stream.hpp"
#include "oleanderhinge/gateway/protocol_adapter.hpp"
#include "oleanderhinge/gateway/route_index.hpp"
#include "oleanderhinge/gateway/server_signals.hpp"
#include "oleanderhinge/gateway/upstream.hpp"
#include "oleanderhinge/net/http_server.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderhinge::gateway
{

struct stream_takeover;

// Why a stream that has begun is continued by another attempt.
enum class takeover_cause : std::uint8_t {
    // The present attempt makes no progress.
    stalled,
    // The first server of its path ends soon, but still serves.
    leaving,
};

struct forwarding_request
    : public std::enable_shared_from_this<forwarding_request> {
    forwarding_request(
        net::http_request incoming_in, net::http_exchange& exchange_in)
        : incoming(std::move(incoming_in))
        , body(std::make_shared<const std::string>(
              std::move(this->incoming.body())))
        , exchange(exchange_in)
    {
    }

    // A further attempt at a request, whose body it shares.
    forwarding_request(
        const forwarding_request& of, net::http_exchange& exchange_in)
        : incoming(of.incoming)
        , body(of.body)
        , exchange(exchange_in)
    {
    }

    // Its body is in `body`, which all attempts share.
    net::http_request incoming;
    const std::shared_ptr<const std::string> body;
    net::http_exchange& exchange;
    request_metadata metadata;
    std::shared_ptr<const route_index> index;
    const wire::forwarding_route* route = nullptr;
    const wire::forwarding_service* service = nullptr;
    base::customer_id customer;
    std::uint32_t priority = 0;
    steady_time arrived;
    // The earlier end of the caller's time and the route's timeout.
    steady_time deadline;
    // Servers that are excluded from further attempts, since they failed or
    // refused this request.
    std::set<wire::endpoint> tried;
    std::uint32_t attempts = 0;
    // Attempts that may have run on a server.
    std::uint32_t possible_runs = 0;
    // Connection of the present attempt at a stream; cancelled when the caller
    // leaves.
    upstream_pointer connection;
    // Connections of the present attempts at a plain call; likewise.
    std::vector<upstream_pointer> call_connections;
    // Attempts at a plain call without a result yet.
    std::uint32_t running_calls = 0;
    // Path of the present attempt at a stream; empty for plain calls.
    fleet::path parts;
    // Expected time of one token on the path that was chosen last; 0: none was.
    double token_ms = 0;
    // Wait for its first event to expect there.
    base::duration expected_wait{0};
    // The process that the present attempt was sent to.
    server_incarnation sent_to;
    steady_time attempt_started;
    // Time of the last event, path change or start of an attempt.
    steady_time last_progress;
    bool in_attempt = false;
    // The unresponsive server for which the attempt was cancelled; empty
    // address: none.
    wire::endpoint waits_for;
    // The answer is being read, so that a pause is the server's.
    bool awaits_server = false;
    // The first server has been asked to change the path and has not answered.
    bool path_change_pending = false;
    // Another attempt that continues the stream, made while the present one is
    // kept; null: none.
    std::shared_ptr<stream_takeover> takeover;
    // When the last change of the path or takeover failed, and the generation
    // of the server selector then.
    base::time_point last_failed_move;
    std::uint64_t failed_move_generation = 0;
    // The next check whether a request that has not begun leaves its path.
    base::time_point next_start_check;
    // What identifies the request among its repetitions; set when first needed.
    std::optional<base::prompt_part> repetition_key;
    // The retry for the next attempt has been taken from the budget.
    bool retry_reserved = false;
    // Set while the request is suspended in `wait_until`.
    std::optional<boost::asio::steady_timer> wait_timer;
    bool caller_left = false;
    bool head_sent = false;
    steady_time last_event;
    event_position events;
    // For the log: servers of the last or answered attempt, how its answer was
    // framed, the size of a plain answer, and how the request ended.
    std::string logged_path;
    std::string_view framing;
    std::size_t body_bytes = 0;
    std::string outcome;
    // What became of the second attempt beside the first; see
    // docs/OPERATIONS.md.
    std::string_view hedge = "none";
};

// Closes the connections of all present attempts.
void cancel_attempts(forwarding_request& request);

} // namespace oleanderhinge::gateway
