#include "oleanderhinge/entry/http_api.hpp"

#include "oleanderhinge/base/hash.hpp"

#include <boost/asio/this_coro.hpp>
#include <boost/beast/http/field.hpp>

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

namespace oleanderhinge::entry
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

// In this file a temporary never appears in a co_await expression: GCC 12
// destroys some of them twice, for example in conditional expressions.

// Interval at which a waiting request checks whether its caller closed the
// connection.
constexpr auto caller_check = std::chrono::milliseconds(500);
constexpr std::string_view services_prefix = "/services/";
constexpr std::size_t max_key_size = 256;

// Hop-by-hop and routing headers. They are forwarded neither to a service nor
// from it.
constexpr std::array dropped_headers = {
    http::field::authorization,
    http::field::connection,
    http::field::content_length,
    http::field::expect,
    http::field::host,
    http::field::keep_alive,
    http::field::proxy_authorization,
    http::field::te,
    http::field::trailer,
    http::field::transfer_encoding,
    http::field::upgrade,
};

std::string hexadecimal(const base::sha256_digest& digest)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(digest.size() * 2);
    for (const auto byte : digest) {
        text += digits[byte >> 4];
        text += digits[byte & 15];
    }
    return text;
}

std::string to_text(base::request_id id)
{
    std::ostringstream out;
    out << id;
    return out.str();
}

base::verdict accepted()
{
    return {};
}

bool may_use(const wire::customer& customer, const base::route_id& route)
{
    return customer.routes.empty() ||
           std::find(customer.routes.begin(), customer.routes.end(), route) !=
               customer.routes.end();
}

std::vector<wire::header> service_headers(const net::http_request& request)
{
    std::vector<wire::header> headers;
    for (const auto& field : request) {
        const bool dropped =
            std::find(
                dropped_headers.begin(), dropped_headers.end(), field.name()) !=
            dropped_headers.end();
        if (!dropped)
            headers.push_back(
                {std::string(field.name_string()), std::string(field.value())});
    }
    return headers;
}

std::vector<wire::header>
answer_headers(const wire::response& answer, bool replayed)
{
    std::vector<wire::header> headers;
    for (const auto& field : answer.headers) {
        const auto name = http::string_to_field(field.name);
        const bool dropped =
            std::find(dropped_headers.begin(), dropped_headers.end(), name) !=
            dropped_headers.end();
        if (!dropped && name != http::field::server)
            headers.push_back(field);
    }
    if (replayed)
        headers.push_back({"Idempotency-Replayed", "true"});
    return headers;
}

// Digest of method, target and body, which tells a resend from a different
// request under the same key.
wire::digest digest_of(const net::http_request& request)
{
    std::string text(request.method_string());
    text += '\n';
    text += request.target();
    text += '\n';
    text += request.body();
    return base::sha256(text);
}

asio::awaitable<void>
respond_service(const service_answer& done, net::http_exchange& exchange)
{
    auto body = done.answer.body;
    auto headers = answer_headers(done.answer, done.replayed);
    co_await exchange.respond(
        done.answer.status, "", std::move(body), std::move(headers));
}

asio::awaitable<void>
refuse_unknown(const net::http_request& request, net::http_exchange& exchange)
{
    const auto refusal = base::not_run(
        base::failure_code::unknown_route,
        "no resource " + std::string(request.method_string()) + " " +
            std::string(request.target()));
    co_await net::respond_problem(exchange, refusal);
}

} // namespace

http_api::http_api(
    config_client& source, request_service& service, api_options chosen)
    : config(source)
    , requests(service)
    , options(chosen)
{
}

asio::awaitable<void>
http_api::handle(net::http_request request, net::http_exchange& exchange)
{
    caller_context caller;
    const auto refusal = this->admit(request, caller);
    if (refusal.code != base::failure_code::none) {
        co_await net::respond_problem(exchange, refusal);
        co_return;
    }
    const std::string target(request.target());
    const bool post = request.method() == http::verb::post;
    if (target == "/v1/chat/completions" && post)
        co_await this->chat(request, caller, exchange);
    else if (target == "/v1/models" && !post)
        co_await this->models(caller, exchange);
    else if (target.starts_with(services_prefix))
        co_await this->service(request, caller, exchange);
    else
        co_await refuse_unknown(request, exchange);
}

base::verdict
http_api::admit(const net::http_request& request, caller_context& out) const
{
    constexpr std::string_view scheme = "Bearer ";
    out.active = this->config.current();
    if (!out.active)
        return base::not_run(
            base::failure_code::not_ready,
            "no configuration yet",
            std::chrono::milliseconds(1000));
    const std::string_view field = request[http::field::authorization];
    if (!field.starts_with(scheme))
        return base::not_run(
            base::failure_code::unauthenticated,
            "header Authorization: Bearer is missing");
    const auto digest = hexadecimal(base::sha256(field.substr(scheme.size())));
    const auto found = out.active->credentials.find(digest);
    if (found == out.active->credentials.end())
        return base::not_run(
            base::failure_code::unauthenticated, "unknown credential");
    out.customer = &out.active->config->customers.at(found->second);
    if (this->requests.in_progress() >= this->options.max_in_progress)
        return base::not_run(
            base::failure_code::overloaded,
            "this entry node has " +
                std::to_string(this->options.max_in_progress) +
                " requests in progress",
            std::chrono::milliseconds(1000));
    return accepted();
}

base::verdict http_api::find_route(
    const caller_context& caller,
    const base::route_id& id,
    base::route_kind kind,
    const wire::route*& out) const
{
    const auto& routes = caller.active->config->routes;
    const auto found = routes.find(id);
    if (found == routes.end() || found->second.kind != kind)
        return base::not_run(
            base::failure_code::unknown_route, "no route " + id.value());
    if (!may_use(*caller.customer, id))
        return base::not_run(
            base::failure_code::forbidden,
            "customer " + caller.customer->id.value() + " may not use route " +
                id.value());
    const auto decision =
        this->config.may_serve(found->second, base::monotonic_now());
    if (!decision.allowed)
        return decision.refusal;
    out = &found->second;
    return accepted();
}

asio::awaitable<void> http_api::chat(
    const net::http_request& request,
    const caller_context& caller,
    net::http_exchange& exchange)
{
    base::verdict refusal;
    const auto chat = base::handle(
        [&]() -> base::result<chat_request> {
            return parse_chat(request.body());
        },
        [&](const base::error& e) {
            refusal =
                base::not_run(base::failure_code::invalid_request, e.detail);
            return chat_request{};
        });
    const wire::route* route = nullptr;
    if (refusal.code == base::failure_code::none)
        refusal = this->find_route(
            caller, chat.route, base::route_kind::model, route);
    if (refusal.code != base::failure_code::none) {
        co_await net::respond_problem(exchange, refusal);
        co_return;
    }
    model_request_spec spec;
    spec.id = this->requests.next_id();
    spec.route = *route;
    spec.customer = caller.customer->id;
    spec.customer_weight = caller.customer->weight;
    spec.prompt = chat.prompt;
    spec.max_tokens = chat.max_tokens;
    spec.config = caller.active->config->at;
    spec.token_stall = this->options.token_stall;
    spec.first_token_stall = this->options.first_token_stall;
    const auto id = spec.id;
    auto deliveries = std::make_shared<delivery_queue>(
        asio::any_io_executor(co_await asio::this_coro::executor));
    this->requests.begin_model(spec, deliveries);
    if (chat.stream)
        co_await this->stream_answer(id, chat, std::move(deliveries), exchange);
    else
        co_await this->whole_answer(id, chat, std::move(deliveries), exchange);
}

asio::awaitable<void> http_api::stream_answer(
    base::request_id id,
    const chat_request& chat,
    std::shared_ptr<delivery_queue> deliveries,
    net::http_exchange& exchange)
{
    const auto name = to_text(id);
    const std::vector<wire::header> headers{
        wire::header{"Cache-Control", "no-cache"}};
    bool begun = false;
    bool connected = true;
    while (connected) {
        auto item = co_await deliveries->next(caller_check);
        if (!item) {
            connected = !exchange.client_gone();
            continue;
        }
        if (const auto* failed = std::get_if<request_failure>(&*item)) {
            // Before the first token, the HTTP status states the failure.
            if (!begun) {
                co_await net::respond_problem(exchange, failed->reason);
            } else {
                const auto event = stream_error(failed->reason);
                co_await exchange.write_chunk(event);
                co_await exchange.end_stream();
            }
            co_return;
        }
        if (!std::exchange(begun, true))
            connected = co_await exchange.begin_stream(
                200, "text/event-stream", headers);
        if (const auto* token = std::get_if<token_delivery>(&*item)) {
            connected = connected && co_await exchange.write_chunk(chat_chunk(
                                         name, chat.route, token->text, ""));
        } else if (const auto* done = std::get_if<completion>(&*item)) {
            auto end = chat_chunk(name, chat.route, "", done->finish_reason);
            end += stream_end();
            co_await exchange.write_chunk(end);
            co_await exchange.end_stream();
            co_return;
        }
    }
    this->requests.caller_gone(id);
}

asio::awaitable<void> http_api::whole_answer(
    base::request_id id,
    const chat_request& chat,
    std::shared_ptr<delivery_queue> deliveries,
    net::http_exchange& exchange)
{
    std::string text;
    std::size_t tokens = 0;
    while (true) {
        auto item = co_await deliveries->next(caller_check);
        if (!item) {
            if (exchange.client_gone())
                break;
        } else if (const auto* token = std::get_if<token_delivery>(&*item)) {
            text += token->text;
            ++tokens;
        } else if (const auto* failed = std::get_if<request_failure>(&*item)) {
            co_await net::respond_problem(exchange, failed->reason);
            co_return;
        } else if (const auto* done = std::get_if<completion>(&*item)) {
            auto body = chat_answer(
                to_text(id),
                chat.route,
                text,
                done->finish_reason,
                chat.prompt.size(),
                tokens);
            co_await exchange.respond(
                200, "application/json", std::move(body), {});
            co_return;
        }
    }
    this->requests.caller_gone(id);
}

asio::awaitable<void> http_api::service(
    const net::http_request& request,
    const caller_context& caller,
    net::http_exchange& exchange)
{
    const std::string_view rest =
        std::string_view(request.target()).substr(services_prefix.size());
    const auto end = std::min(rest.find('/'), rest.size());
    const base::route_id route_name{std::string(rest.substr(0, end))};
    const std::string key(request["Idempotency-Key"]);
    const wire::route* route = nullptr;
    auto refusal =
        this->find_route(caller, route_name, base::route_kind::service, route);
    if (refusal.code == base::failure_code::none && key.size() > max_key_size)
        refusal = base::not_run(
            base::failure_code::invalid_request,
            "header Idempotency-Key has " + std::to_string(key.size()) +
                " bytes, allowed are " + std::to_string(max_key_size));
    if (refusal.code != base::failure_code::none) {
        co_await net::respond_problem(exchange, refusal);
        co_return;
    }
    service_call_spec spec;
    spec.id = this->requests.next_id();
    spec.route = *route;
    spec.customer = caller.customer->id;
    spec.customer_weight = caller.customer->weight;
    spec.method = std::string(request.method_string());
    // HTTP defines these methods as safe to repeat.
    if (request.method() == http::verb::get ||
        request.method() == http::verb::head)
        spec.route.idempotent = true;
    spec.target = end < rest.size() ? std::string(rest.substr(end)) : "/";
    spec.headers = service_headers(request);
    spec.body = request.body();
    // A call without a key gets a generated one, so that it still runs at most
    // once. A resend by the caller is then a new call.
    spec.idempotency_key =
        key.empty() ? "generated-" + to_text(spec.id) : "caller-" + key;
    spec.request_digest = digest_of(request);
    auto deliveries = std::make_shared<delivery_queue>(
        asio::any_io_executor(co_await asio::this_coro::executor));
    this->requests.begin_call(spec, deliveries);
    while (true) {
        // The call continues when its caller closes the connection, since its
        // outcome must be recorded. The time limits of service_call end the
        // wait.
        auto item = co_await deliveries->next(caller_check);
        if (!item)
            continue;
        if (const auto* failed = std::get_if<request_failure>(&*item))
            co_await net::respond_problem(exchange, failed->reason);
        else if (const auto* done = std::get_if<service_answer>(&*item))
            co_await respond_service(*done, exchange);
        co_return;
    }
}

asio::awaitable<void>
http_api::models(const caller_context& caller, net::http_exchange& exchange)
{
    std::vector<base::route_id> routes;
    for (const auto& [id, route] : caller.active->config->routes)
        if (route.kind == base::route_kind::model &&
            may_use(*caller.customer, id))
            routes.push_back(id);
    auto body = model_list(routes);
    co_await exchange.respond(200, "application/json", std::move(body), {});
}

} // namespace oleanderhinge::entry
