// How callers and backend servers say things in HTTP header fields.
//
// The gateway forwards requests without knowing field names: an adapter fills
// in these functions. Each is a pure translation.
//
// Example:
//   const auto facts = speak.read_request(request);
//   speak.prepare(outgoing, {.time_left = 900ms, .server = id});
#pragma once

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

using http_fields = boost::beast::http::fields;

// What a caller's request says of itself.
struct request_facts {
    // Identifies this request; answers carry it too.
    std::string id;
    // How long the caller waits; empty: it does not say.
    std::optional<std::chrono::milliseconds> patience;
    // The customer's key.
    std::string key;
    // Events up to this one have arrived; empty: none.
    std::string last_event;
};

// What the gateway tells a backend server.
struct outgoing_facts {
    std::chrono::milliseconds time_left{0};
    // Only this process may run the request.
    base::backend_server_id server;
    base::customer_id customer;
    // Path through the engines; empty for plain services.
    fleet::path parts;
    // Continue after this event; empty: as the caller said.
    std::string last_event;
    // 0 is the most urgent.
    std::uint32_t priority = 0;
};

// What a server's answer says of itself.
struct answer_facts {
    // The request that it answers; empty: it does not say.
    std::string id;
    // The server states that it has not run the request and will not.
    bool not_run = false;
    // Carries the server's mark of a genuine answer.
    bool sealed = false;
    // The server of the path that was at fault; empty address: not stated.
    wire::endpoint at_fault;
};

// A request that stands still at the first server of its path, and the server
// that it waits for.
struct stalled_request {
    std::string request;
    wire::endpoint waits_for;
};

struct dialect {
    std::function<request_facts(const http_fields&)> read_request;
    // Removes the fields that a server must not see and sets the gateway's.
    std::function<void(http_fields&, const outgoing_facts&)> prepare;
    std::function<answer_facts(unsigned status, const http_fields&)>
        read_answer;
    // Asks the first server of a path for its state.
    std::function<net::http_call()> ask_state;
    // What stands still, by the answer to `ask_state`.
    std::function<std::vector<stalled_request>(const std::string& body)>
        read_stalls;
    // Orders the first server of a running request to go on with it along
    // another path, which begins with the same part.
    std::function<net::http_call(
        const std::string& request, const fleet::path& parts)>
        change_path;
};

} // namespace oleanderhinge::gateway
