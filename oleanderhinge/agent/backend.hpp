// The engine's HTTP interface in JSON: bodies of requests, checks of answers.
//
// Nothing here does I/O. An answer that is malformed is never trusted in part.
//
// Example:
//   auto outcome = co_await client.call(engine, run_request(step), 2s, ...);
//   chain::step_finished event = to_step_finished(step, outcome);
#pragma once

#include "oleanderhinge/base/error.hpp"
#include "oleanderhinge/chain/execution.hpp"
#include "oleanderhinge/net/http_client.hpp"
#include "oleanderhinge/wire/configuration.hpp"

#include <optional>
#include <string>
#include <vector>

namespace oleanderhinge::agent
{

// What an engine holds, from GET /v1/info.
struct backend_info {
    base::model_id model;
    std::string version;
    std::vector<std::string> adapters;
    base::layer_range layers;
    std::uint32_t layer_count = 0;
    std::string accelerator;
    std::uint32_t speed_percent = 100;
    // Steps that the engine runs together; 0 if it does not say.
    std::uint32_t batch = 0;
    // Of the last order, if the engine keeps numbers.
    std::optional<base::fencing_number> last_order;

    bool operator==(const backend_info&) const = default;
};

// Key under which the engine keeps what belongs to one attempt: "7-1.2" for
// attempt 2 of request 7-1.
std::string
engine_key(const base::request_id& request, base::attempt_number attempt);

net::http_call info_request();
net::http_call run_request(const chain::run_step& step);
net::http_call order_request(const wire::server_order& order);
net::http_call forget_request(const chain::free_engine_state& what);

// Fails with `unavailable` if there is no answer, `malformed` otherwise.
base::result<backend_info> to_info(const net::http_outcome& outcome);

// `not_run` only if nothing was sent or the engine refused the step (4xx).
chain::step_finished
to_step_finished(const chain::run_step& step, const net::http_outcome& outcome);

// The verdict of a call to a plain service; `none` when it answered.
base::verdict to_call_verdict(const net::http_outcome& outcome);

} // namespace oleanderhinge::agent
