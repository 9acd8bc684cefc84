#include "oleanderhinge/admin/client.hpp"

#include "oleanderhinge/net/http_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <thread>
#include <utility>

namespace oleanderhinge::admin
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr unsigned max_redirects = 5;

std::optional<wire::endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == text.npos)
        return std::nullopt;
    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, failed] =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    std::string address(text.substr(0, colon));
    boost::system::error_code bad;
    asio::ip::make_address(address, bad);
    if (bad || failed != std::errc() || port == 0 ||
        end != digits.data() + digits.size())
        return std::nullopt;
    return wire::endpoint{std::move(address), port};
}

std::string to_text(const wire::endpoint& item)
{
    return item.address + ":" + std::to_string(item.port);
}

net::http_outcome call_once(
    const client_options& options,
    const wire::endpoint& server,
    const net::http_call& request)
{
    asio::io_context io;
    net::http_client client(io, 0);
    auto outcome = asio::co_spawn(
        io,
        client.call(server, request, options.call_timeout, net::reuse::never),
        asio::use_future);
    io.run();
    return outcome.get();
}

// The endpoint in a Location such as http://127.0.0.1:7601/v1/routes.
std::optional<wire::endpoint> leader_of(const wire::response& answer)
{
    constexpr std::string_view scheme = "http://";
    for (const auto& field : answer.headers) {
        if (field.name != "Location" && field.name != "location")
            continue;
        std::string_view text = field.value;
        if (text.substr(0, scheme.size()) != scheme)
            return std::nullopt;
        text.remove_prefix(scheme.size());
        return parse_endpoint(text.substr(0, text.find('/')));
    }
    return std::nullopt;
}

reply to_reply(const wire::response& answer)
{
    reply result{.status = answer.status, .text = answer.body};
    boost::system::error_code failed;
    auto body = json::parse(answer.body, failed);
    if (!failed)
        result.body = std::move(body);
    return result;
}

// One endpoint and the redirects from it.
reply call_from(
    const client_options& options,
    wire::endpoint server,
    const net::http_call& request)
{
    for (unsigned hop = 0; hop <= max_redirects; ++hop) {
        const auto outcome = call_once(options, server, request);
        if (outcome.failure != net::http_failure::none)
            return {.detail = to_text(server) + ": " + outcome.detail};
        constexpr unsigned temporary_redirect = 307;
        if (outcome.answer.status != temporary_redirect)
            return to_reply(outcome.answer);
        const auto leader = leader_of(outcome.answer);
        if (!leader)
            return {.detail = to_text(server) + ": redirect without target"};
        server = *leader;
    }
    return {.detail = "too many redirects, last to " + to_text(server)};
}

bool try_elsewhere(const reply& answer)
{
    constexpr unsigned service_unavailable = 503;
    return answer.status == 0 || answer.status == service_unavailable;
}

} // namespace

reply call(
    const client_options& options,
    const std::string& method,
    const std::string& path,
    const std::string& body)
{
    net::http_call request{
        .method = method,
        .target = path,
        .headers = {{"Authorization", "Bearer " + options.token}},
        .body = body};
    if (!body.empty())
        request.headers.push_back({"Content-Type", "application/json"});
    const auto deadline =
        std::chrono::steady_clock::now() + options.total_timeout;
    reply last{.detail = "no endpoint of a control node is given"};
    for (;;) {
        for (const auto& server : options.endpoints) {
            last = call_from(options, server, request);
            if (!try_elsewhere(last))
                return last;
        }
        if (options.endpoints.empty() ||
            std::chrono::steady_clock::now() + options.pause >= deadline)
            return last;
        std::this_thread::sleep_for(options.pause);
    }
}

int exit_code(const reply& answer)
{
    if (answer.status >= 200 && answer.status < 300)
        return exit_ok;
    switch (answer.status) {
    case 409:
        return exit_conflict;
    case 0:
    case 429:
    case 500:
    case 502:
    case 503:
    case 504:
        return exit_unavailable;
    default:
        return exit_refused;
    }
}

base::result<std::vector<wire::endpoint>> parse_endpoints(std::string_view text)
{
    std::vector<wire::endpoint> found;
    for (std::size_t from = 0; from <= text.size();) {
        const auto end = std::min(text.find(',', from), text.size());
        const auto part = text.substr(from, end - from);
        from = end + 1;
        const auto item = parse_endpoint(part);
        if (!item)
            return base::fail(
                base::error_code::malformed,
                "'" + std::string(part) +
                    "' is no endpoint, must be like 127.0.0.1:7601");
        found.push_back(*item);
    }
    return found;
}

} // namespace oleanderhinge::admin
