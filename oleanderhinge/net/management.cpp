#include "oleanderhinge/net/management.hpp"

#include "oleanderhinge/net/descriptors.hpp"

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
// No page takes a body.
constexpr std::size_t max_body_bytes = 4096;
// For two pages of events.
constexpr std::size_t page_memory = std::size_t(8) << 20;

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

std::string
events_json(const management_options& options, std::string_view target)
{
    return timeline::to_json(
        options.events.since(after_of(target), max_events));
}

// An answer that is complete before the coroutine awaits: GCC 12 destroys
// temporaries of conditional expressions twice if they cross a co_await.
struct page {
    unsigned status = 200;
    std::string content_type = "text/plain";
    std::string body;
};

page ready_page(const readiness& state)
{
    page answer;
    answer.status = state.ready ? 200 : 503;
    answer.body = state.ready ? "ready\n" : "not ready: " + state.reason + "\n";
    return answer;
}

} // namespace

http_limits management_limits()
{
    http_limits limits;
    limits.body_bytes = max_body_bytes;
    limits.memory = page_memory;
    limits.max_connections = split_descriptors(descriptor_limit()).management;
    return limits;
}

http_handler management_handler(management_options options)
{
    const auto held = std::make_shared<management_options>(std::move(options));
    return [held](
               http_request request,
               http_exchange& exchange) -> asio::awaitable<void> {
        const std::string target(request.target());
        const auto path = target.substr(0, target.find('?'));
        page found;
        if (path == "/healthz")
            found.body = "ok\n";
        else if (path == "/readyz")
            found = ready_page(held->ready());
        else if (path == "/metrics")
            found = {200, "text/plain; version=0.0.4", metrics_text(*held)};
        else if (path == "/events")
            found = {200, "application/json", events_json(*held, target)};
        else
            found.status = 404;
        if (found.status == 404) {
            const auto missing = base::not_run(
                base::failure_code::unknown_route, "no page " + path);
            co_await respond_problem(exchange, missing);
        } else {
            co_await exchange.respond(
                found.status, found.content_type, std::move(found.body), {});
        }
    };
}

} // namespace oleanderhinge::net
