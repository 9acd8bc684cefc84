// The admin API of the control daemon, described in docs/api.md.
//
// Example:
//   admin_api api{log, state, events, numbers, options};
//   net::http_server server{io, limits, api.handler()};
#pragma once

#include "oleanderhinge/control/metrics.hpp"
#include "oleanderhinge/control/replicated_state.hpp"
#include "oleanderhinge/control_state/commands.hpp"
#include "oleanderhinge/net/http_server.hpp"
#include "oleanderhinge/replica/replicated_log.hpp"
#include "oleanderhinge/timeline/event.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace oleanderhinge::control
{

struct admin_options {
    base::vm_id self;
    // Bearer token of the operators.
    std::string token;
    // Returns milliseconds since the Unix epoch.
    std::function<std::uint64_t()> wall_ms;
    // Returns a unique plan id, for clients that choose none.
    std::function<std::string()> new_plan_id;
    // Returns the number of direct subscribers, for the status.
    std::function<std::size_t()> subscribers;
};

// Thread-safe. The referenced objects and the API itself must outlive the HTTP
// server.
class admin_api
{
public:
    admin_api(
        replica::replicated_log& log,
        const replicated_state& state,
        timeline::recorder& events,
        metrics& numbers,
        admin_options options);

    net::http_handler handler();

private:
    struct answer;
    struct target;

    boost::asio::awaitable<void>
    serve(const net::http_request& request, net::http_exchange& exchange);
    boost::asio::awaitable<answer>
    answer_to(const net::http_request& request, const target& at);
    boost::asio::awaitable<answer>
    serve_as_leader(const net::http_request& request, const target& at);
    boost::asio::awaitable<answer> create(const std::string& body);
    boost::asio::awaitable<answer> confirm(base::plan_id id);
    boost::asio::awaitable<answer> query(const target& at);
    boost::asio::awaitable<answer> add(const std::string& body);
    boost::asio::awaitable<answer> remove(base::vm_id vm);

    answer invalid(const std::vector<std::string>& faults) const;
    answer created(
        const base::plan_id& id, const control_state::plan_reply& reply) const;
    answer confirmed(
        const base::plan_id& id,
        const control_state::confirm_reply& reply) const;
    answer conflicted(
        const std::string& name,
        const control_state::confirm_reply& reply) const;
    answer read(const target& at) const;
    answer membership_changed(const base::vm_id& vm, const char* how) const;
    static answer not_found(const std::string& what);
    answer status() const;
    answer members() const;
    answer redirect(const std::string& path) const;
    answer not_applied(replica::propose_state state, const char* what) const;
    bool authorised(const net::http_request& request) const;

    replica::replicated_log& log;
    const replicated_state& state;
    timeline::recorder& events;
    metrics& numbers;
    const admin_options options;
};

} // namespace oleanderhinge::control
