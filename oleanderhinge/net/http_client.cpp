#include "oleanderhinge/net/http_client.hpp"

#include "oleanderhinge/net/answer_head.hpp"
#include "oleanderhinge/net/framing_limits.hpp"
#include "oleanderhinge/net/idle_connection.hpp"
#include "oleanderhinge/net/request_length.hpp"
#include "oleanderhinge/net/second_answer.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace oleanderhinge::net
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace
{

// A kept connection that the server closed meanwhile leaves it unknown whether
// the call ran. Servers close idle connections after tens of seconds.
constexpr auto max_idle_time = std::chrono::seconds(5);
// A member of control has connections to hundreds of engines.
constexpr auto drop_interval = std::chrono::seconds(1);
constexpr auto as_pair = asio::as_tuple(asio::use_awaitable);

http_outcome failed_with(http_failure kind, boost::system::error_code error)
{
    return {kind, error.message(), {}};
}

http::request<http::string_body>
to_beast(const wire::endpoint& server, http_call&& call)
{
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(call.method);
    request.target(call.target);
    for (const auto& field : call.headers)
        request.set(field.name, field.value);
    request.set(
        http::field::host, server.address + ":" + std::to_string(server.port));
    request.body() = std::move(call.body);
    set_length(request);
    return request;
}

} // namespace

struct http_client::impl {
    impl(
        asio::io_context& context,
        std::size_t kept_limit,
        std::size_t answer_limit)
        : io(context)
        , max_idle(kept_limit)
        , max_answer(answer_limit)
    {
    }

    std::unique_ptr<beast::tcp_stream> take(const wire::endpoint& server)
    {
        const std::lock_guard lock(this->mutex);
        const auto now = std::chrono::steady_clock::now();
        this->drop_old(now);
        auto& kept = this->idle[server];
        // The newest one is last; if it is too old, all are.
        if (!kept.empty() && now - kept.back().since > max_idle_time)
            kept.clear();
        while (!kept.empty()) {
            auto stream = std::move(kept.back().stream);
            kept.pop_back();
            if (is_quiet(stream->socket()))
                return stream;
        }
        return nullptr;
    }

    void keep(
        const wire::endpoint& server, std::unique_ptr<beast::tcp_stream> stream)
    {
        stream->expires_never();
        const std::lock_guard lock(this->mutex);
        auto& kept = this->idle[server];
        if (kept.size() < this->max_idle)
            kept.push_back(
                {std::move(stream), std::chrono::steady_clock::now()});
    }

    // Drops those to servers that get no more calls, once per `drop_interval`;
    // with the lock held.
    void drop_old(std::chrono::steady_clock::time_point now)
    {
        if (now < this->next_drop)
            return;
        this->next_drop = now + drop_interval;
        for (auto& [server, kept] : this->idle)
            std::erase_if(kept, [now](const kept_connection& item) {
                return now - item.since > max_idle_time;
            });
        std::erase_if(
            this->idle, [](const auto& item) { return item.second.empty(); });
    }

    asio::io_context& io;
    const std::size_t max_idle;
    const std::size_t max_answer;
    std::mutex mutex;
    struct kept_connection {
        std::unique_ptr<beast::tcp_stream> stream;
        std::chrono::steady_clock::time_point since;
    };
    std::map<wire::endpoint, std::vector<kept_connection>> idle;
    std::chrono::steady_clock::time_point next_drop;
};

http_client::http_client(
    asio::io_context& io, std::size_t max_idle, std::size_t max_answer)
    : state(std::make_shared<impl>(io, max_idle, max_answer))
{
}

http_client::~http_client() = default;

namespace
{

using stream_ptr = std::unique_ptr<beast::tcp_stream>;
using deadline_point = std::chrono::steady_clock::time_point;

asio::awaitable<boost::system::error_code>
connect(beast::tcp_stream& stream, const wire::endpoint& server)
{
    boost::system::error_code bad;
    const auto address = asio::ip::make_address(server.address, bad);
    if (bad)
        co_return bad;
    const auto [failed] = co_await stream.async_connect(
        tcp::endpoint(address, server.port), as_pair);
    boost::system::error_code ignored;
    if (!failed)
        stream.socket().set_option(tcp::no_delay(true), ignored);
    co_return failed;
}

http_outcome to_outcome(http::response<http::string_body>&& answer)
{
    http_outcome outcome;
    outcome.answer.status = answer.result_int();
    for (const auto& field : answer)
        outcome.answer.headers.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    outcome.answer.body = std::move(answer.body());
    return outcome;
}

using answer_parser = http::response_parser<http::string_body>;

// Fails if the answer that was read cannot be known to be whole and alone.
boost::system::error_code
check_answer(const answer_parser& parser, const beast::flat_buffer& buffer)
{
    if (holds_second_answer(parser.get()) ||
        holds_second_answer(
            parser.get().body(),
            parser.need_eof(),
            beast::buffers_to_string(buffer.data())))
        return http::error::unexpected_body;
    if (!has_plain_framing(parser.get().base()))
        return http::error::bad_transfer_encoding;
    return {};
}

// Reads past informational answers.
asio::awaitable<boost::system::error_code> read_answer(
    beast::tcp_stream& stream,
    http::verb method,
    std::size_t max_answer,
    beast::flat_buffer& buffer,
    std::optional<answer_parser>& parser)
{
    for (int heads = 0; heads <= max_informational_heads; ++heads) {
        parser.emplace();
        parser->body_limit(max_answer);
        // The length in an answer to HEAD is that of the answer to GET.
        parser->skip(method == http::verb::head);
        const auto broken = co_await read_head(stream, buffer, *parser);
        if (broken)
            co_return broken;
        const auto kind = kind_of(parser->get().base());
        if (kind == head_kind::undefined)
            co_return http::error::bad_status;
        if (kind == head_kind::informational)
            continue;
        const auto [failed, size] =
            co_await http::async_read(stream, buffer, *parser, as_pair);
        co_return failed ? failed : check_answer(*parser, buffer);
    }
    co_return http::error::header_limit;
}

// Runs on the strand of the stream. `fresh` is set for a new connection.
// Resets `stream` if the connection cannot be kept.
asio::awaitable<http_outcome> exchange(
    stream_ptr& stream,
    bool fresh,
    wire::endpoint server,
    http_call request,
    std::size_t max_answer,
    deadline_point deadline)
{
    stream->expires_at(deadline);
    if (fresh) {
        const auto failed = co_await connect(*stream, server);
        if (failed) {
            stream.reset();
            co_return failed_with(http_failure::not_sent, failed);
        }
    }
    const auto message = to_beast(server, std::move(request));
    const auto [write_failed, written] =
        co_await http::async_write(*stream, message, as_pair);
    if (write_failed) {
        stream.reset();
        co_return failed_with(http_failure::unknown, write_failed);
    }
    beast::flat_buffer buffer(max_unparsed_bytes);
    std::optional<answer_parser> parser;
    const auto read_failed = co_await read_answer(
        *stream, message.method(), max_answer, buffer, parser);
    if (read_failed) {
        stream.reset();
        co_return failed_with(http_failure::unknown, read_failed);
    }
    // Bytes after a complete answer belong to no request.
    const bool keep = parser->get().keep_alive() && buffer.size() == 0;
    auto outcome = to_outcome(parser->release());
    if (!keep)
        stream.reset();
    co_return outcome;
}

} // namespace

asio::awaitable<http_outcome> http_client::call(
    wire::endpoint server,
    http_call request,
    std::chrono::milliseconds timeout,
    reuse connection)
{
    const auto held = this->state;
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    stream_ptr stream;
    if (connection == reuse::allowed)
        stream = held->take(server);
    const bool fresh = !stream;
    if (fresh)
        stream =
            std::make_unique<beast::tcp_stream>(asio::make_strand(held->io));
    const auto executor = stream->get_executor();
    auto outcome = co_await asio::co_spawn(
        executor,
        exchange(
            stream,
            fresh,
            server,
            std::move(request),
            held->max_answer,
            deadline),
        asio::use_awaitable);
    if (stream && connection == reuse::allowed)
        held->keep(server, std::move(stream));
    co_return outcome;
}

} // namespace oleanderhinge::net
