// HTTP interface of an entry node for callers. Failures are answered as
// application/problem+json with the code and execution state of the verdict.
//
//   POST /v1/chat/completions   whole or streamed answer of a model route
//   GET  /v1/models             model routes that the customer may use
//   *    /services/{route}/...  call to a plain service
//
// Example:
//   http_api api{config, requests, limits};
//   http_server server{io, {}, [&](auto r, auto& e) {
//       return api.handle(std::move(r), e); }};
#pragma once

#include "oleanderhinge/entry/chat_api.hpp"
#include "oleanderhinge/entry/config_client.hpp"
#include "oleanderhinge/entry/request_service.hpp"
#include "oleanderhinge/net/http_server.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <string>

namespace oleanderhinge::entry
{

struct api_options {
    // Most requests in progress at this node; more are refused as `overloaded`.
    std::size_t max_in_progress = 2000;
    // See model_request_spec.
    base::duration token_stall = std::chrono::milliseconds(1500);
    base::duration first_token_stall = std::chrono::milliseconds(5000);
};

// Thread-safe.
class http_api
{
public:
    http_api(
        config_client& config, request_service& requests, api_options options);

    // Serves one request and writes its whole answer to `exchange`.
    boost::asio::awaitable<void>
    handle(net::http_request request, net::http_exchange& exchange);

private:
    // The authenticated customer of a request and the configuration in force
    // when the request arrived, which owns `customer`.
    struct caller_context {
        std::shared_ptr<const active_configuration> active;
        const wire::customer* customer = nullptr;
    };

    // Authenticates the caller and checks `max_in_progress`. The verdict has
    // the code `none` on success.
    base::verdict
    admit(const net::http_request& request, caller_context& out) const;
    // Finds the route. Checks that the customer may use it and that it may
    // be served with the age of the configuration. The verdict has the code
    // `none` on success.
    base::verdict find_route(
        const caller_context& caller,
        const base::route_id& id,
        base::route_kind kind,
        const wire::route*& out) const;

    // Handlers of the three resources; each writes the whole answer.
    boost::asio::awaitable<void> chat(
        const net::http_request& request,
        const caller_context& caller,
        net::http_exchange& exchange);
    // Writes the tokens as server-sent events while they arrive.
    boost::asio::awaitable<void> stream_answer(
        base::request_id id,
        const chat_request& chat,
        std::shared_ptr<delivery_queue> deliveries,
        net::http_exchange& exchange);
    // Collects all tokens and writes one JSON body.
    boost::asio::awaitable<void> whole_answer(
        base::request_id id,
        const chat_request& chat,
        std::shared_ptr<delivery_queue> deliveries,
        net::http_exchange& exchange);
    boost::asio::awaitable<void> service(
        const net::http_request& request,
        const caller_context& caller,
        net::http_exchange& exchange);
    boost::asio::awaitable<void>
    models(const caller_context& caller, net::http_exchange& exchange);

    config_client& config;
    request_service& requests;
    const api_options options;
};

} // namespace oleanderhinge::entry
