// Requests to the backend server over HTTP, and the interpretation of its
// answers. Engines exchange JSON.
//
// No function does I/O. No part of a malformed answer is used.
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

// Model, layers and adapters that an engine has loaded, from GET /v1/info.
struct backend_info {
    base::model_id model;
    std::string version;
    std::vector<std::string> adapters;
    base::layer_range layers;
    std::uint32_t layer_count = 0;
    std::string accelerator;
    std::uint32_t speed_percent = 100;
    // Number of steps that the engine runs together; 0 if unknown.
    std::uint32_t batch_size = 0;
    // Fencing number of the last order that the engine accepted; empty if it
    // does not record them.
    std::optional<base::fencing_number> last_order;

    bool operator==(const backend_info&) const = default;
};

// Identifies the engine's state of one attempt: "7-1.2" for attempt 2 of
// request 7-1.
std::string
engine_key(const base::request_id& request, base::attempt_number attempt);

net::http_call info_request();
net::http_call run_request(const chain::run_step& step);
net::http_call order_request(const wire::server_order& order);
net::http_call free_state_request(const chain::free_engine_state& what);

// Parses the answer to `info_request`. Fails with `unavailable` if there is no
// answer or its status is not 200, and with `malformed` if it cannot be parsed
// or its layer range is not within the model.
base::result<backend_info> to_backend_info(const net::http_outcome& outcome);

// The result of a step. A failure has the state `not_run` if nothing was sent
// or the engine refused the step (status 4xx), and `may_have_run` otherwise. An
// answer that names another request, attempt or token is none.
chain::step_finished
to_step_finished(const chain::run_step& step, const net::http_outcome& outcome);

// The verdict on a call to a plain service. Its code is `none` if the service
// answered, with any status.
base::verdict to_call_verdict(const net::http_outcome& outcome);

} // namespace oleanderhinge::agent
