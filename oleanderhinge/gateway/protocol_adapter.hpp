// Interface to the adapter that maps requests and answers to the HTTP header
// fields of a platform.
//
// The gateway itself knows no field names. The functions have no side effects
// beside their arguments.
//
// Example:
//   const auto metadata = protocol.read_request(request);
//   protocol.prepare_headers(outgoing, {.time_left = 900ms, .server = id});
#pragma once

#include "oleanderhinge/fleet/crash_quarantine.hpp"
#include "oleanderhinge/fleet/paths.hpp"
#include "oleanderhinge/net/http_client.hpp"
#include "oleanderhinge/net/http_server.hpp"

#include <boost/beast/http/fields.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace oleanderhinge::gateway
{

// Limit on the answer of an engine that is asked for its state.
inline constexpr std::size_t max_engine_state_bytes = std::size_t(256) << 10;

using http_fields = boost::beast::http::fields;

// Header fields of a caller's request.
struct request_metadata {
    // Identifies this request; its answer carries the same id.
    std::string id;
    // How long the caller waits for the answer; empty: not stated.
    std::optional<std::chrono::milliseconds> caller_timeout;
    // The customer's key.
    std::string key;
    // Id of the last event that the caller has received; empty: none.
    std::string last_event;
    // The most tokens that the answer may have; empty: not stated.
    std::optional<std::uint32_t> answer_tokens;
    // Parts of the prompt; without shared parts if none are stated.
    fleet::prompt prompt;
};

// Header fields that the gateway sends to a backend server.
struct outgoing_metadata {
    std::chrono::milliseconds time_left{0};
    // The only process that may run the request. Another one at its address
    // must refuse it.
    base::backend_server_id server;
    base::customer_id customer;
    // Path through the model engines; empty for plain services.
    fleet::path parts;
    // Id of the event after which the server resumes; empty: the caller's field
    // is left unchanged.
    std::string last_event;
    // 0 is the most urgent.
    std::uint32_t priority = 0;
};

// The mark that genuine backend servers set in their answers.
enum class server_mark : std::uint8_t {
    absent,
    present,
    // Marks that differ, so that the head is not that of one answer.
    ambiguous,
};

// Header fields of a backend server's answer.
struct answer_metadata {
    // Id of the request that it answers; empty: not stated. Several ids are
    // joined, so that they are that of no request.
    std::string id;
    // The server states that it has not run the request and will not.
    bool not_run = false;
    server_mark mark = server_mark::absent;
    // The server of the path that was at fault; empty address: not stated.
    wire::endpoint at_fault;
    // The answering server leaves and wants no further requests.
    bool leaving = false;
    // How long the answering server wants no requests from this gateway, as
    // stated; several values are joined by commas. Empty: not stated.
    std::string retry_after;
    // The requests a second that the answering server takes from all gateways,
    // as stated; several values that differ are joined by commas. Empty: not
    // stated.
    std::string request_limit;
};

// A request that makes no progress, as its first server reports it, and the
// server of its path that it waits for.
struct stalled_request {
    std::string request;
    wire::endpoint waits_for;
};

struct protocol_adapter {
    // Reads a caller's request.
    std::function<request_metadata(const http_fields&)> read_request;
    // Removes the fields that a server must not get and sets the gateway's own.
    std::function<void(http_fields&, const outgoing_metadata&)> prepare_headers;
    // Reads the head of a server's answer.
    std::function<answer_metadata(unsigned status, const http_fields&)>
        read_answer;
    // The call that asks the first server of a path for its state.
    std::function<net::http_call()> make_state_query;
    // The stalled requests in the body of an answer to `make_state_query`.
    std::function<std::vector<stalled_request>(const std::string& body)>
        parse_stalls;
    // The call that tells the first server of a running request to continue it
    // along another path. The new path begins with the same part.
    std::function<net::http_call(
        const std::string& request, const fleet::path& parts)>
        make_path_change;
    // The server that the refusal of a path change names, as it lacks the part
    // or room for it; empty address: none.
    std::function<wire::endpoint(const std::string& body)> parse_refused_part;
};

} // namespace oleanderhinge::gateway
