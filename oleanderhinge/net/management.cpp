#include "oleanderhinge/net/management.hpp"

#include <prometheus/text_serializer.h>

#include <charconv>
#include <memory>
#include <utility>

namespace oleanderhinge::net
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t max_events = 10000;

std::string metrics_text(const management_options& options)
{
    if (options.before_scrape)
        options.before_scrape();
    return prometheus::TextSerializer().Serialize(options.registry.Collect());
}

// The number after "after=" in the query, or 0.
base::stamp after_of(std::string_view target)
{
    const auto at = target.find("after=");
    std::uint64_t value = 0;
    if (at != std::string_view::npos) {
        const auto digits = target.substr(at + 6);
        std::from_chars(digits.data(), digits.data() + digits.size(), value);
    }
    return base::stamp{value};
}

} // namespace

http_handler management_handler(management_options options)
{
    const auto held = std::make_shared<management_options>(std::move(options));
    return [held](
               http_request request,
               http_exchange& exchange) -> asio::awaitable<void> {
        const std::string target(request.target());
        const auto path = target.substr(0, target.find('?'));
        if (path == "/healthz") {
            co_await exchange.respond(200, "text/plain", "ok\n", {});
        } else if (path == "/readyz") {
            const auto state = held->ready();
            co_await exchange.respond(
                state.ready ? 200 : 503,
                "text/plain",
                state.ready ? "ready\n" : "not ready: " + state.reason + "\n",
                {});
        } else if (path == "/metrics") {
            co_await exchange.respond(
                200, "text/plain; version=0.0.4", metrics_text(*held), {});
        } else if (path == "/events") {
            co_await exchange.respond(
                200,
                "application/json",
                timeline::to_json(
                    held->events.since(after_of(target), max_events)),
                {});
        } else {
            auto missing = base::not_run(
                base::failure_code::unknown_route, "no page " + path);
            co_await respond_problem(exchange, missing);
        }
    };
}

} // namespace oleanderhinge::net
