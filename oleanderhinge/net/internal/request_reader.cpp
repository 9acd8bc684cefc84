#include "oleanderhinge/net/internal/request_reader.hpp"

#include "oleanderhinge/net/internal/growing_body.hpp"
#include "oleanderhinge/net/request_head.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace oleanderhinge::net::internal
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using parser_type = http::request_parser<growing_body>;

namespace
{

// Completes with the error code instead of throwing.
constexpr auto as_pair = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t head_read_size = 4096;
constexpr std::size_t body_read_size = 16384;
// Unused memory of a body that is worth a copy.
constexpr std::size_t max_slack = std::size_t(64) << 10;
// Time for a client to stop sending after it was refused.
constexpr auto drop_time = std::chrono::seconds(1);
constexpr auto memory_retry_after = std::chrono::milliseconds(1000);

// Removes the empty lines that a client may send before a request (RFC 9112,
// section 2.2). Returns their size in bytes.
std::size_t remove_empty_lines(beast::flat_buffer& buffer)
{
    const auto bytes = buffer.data();
    const std::string_view unread(
        static_cast<const char*>(bytes.data()), bytes.size());
    std::size_t size = 0;
    while (unread.substr(size).starts_with("\r\n") ||
           unread.substr(size).starts_with('\n'))
        size += unread[size] == '\r' ? 2 : 1;
    buffer.consume(size);
    return size;
}

// Whether the buffer holds the beginning of a request. Expects no empty lines
// before it; one may lack its end.
bool holds_request(const beast::flat_buffer& buffer)
{
    const auto bytes = buffer.data();
    return bytes.size() > 1 || (bytes.size() == 1 && *static_cast<const char*>(
                                                         bytes.data()) != '\r');
}

bool has_bytes(beast::tcp_stream& stream)
{
    error_code failed;
    return stream.socket().available(failed) > 0 && !failed;
}

arrived_request refused(unsigned status, std::string detail)
{
    return {
        std::nullopt,
        request_refusal{
            status,
            base::not_run(
                base::failure_code::invalid_request, std::move(detail))}};
}

// Empty if the client has left.
arrived_request refuse_malformed(error_code failed)
{
    if (failed == http::error::end_of_stream ||
        failed.category() != error_code(http::error::bad_method).category())
        return {};
    const bool large = failed == http::error::body_limit ||
                       failed == http::error::header_limit ||
                       failed == http::error::buffer_overflow;
    return refused(large ? 413 : 400, "malformed request: " + failed.message());
}

arrived_request check_head(const parser_type& parser)
{
    switch (check_framing(parser.get().base())) {
    case request_framing::valid:
        return {};
    case request_framing::unsupported_coding:
        return refused(501, "unsupported transfer coding");
    case request_framing::ambiguous:
        break;
    }
    return refused(400, "ambiguous framing");
}

// Parses what has arrived. Returns `need_more` if the request is not whole.
error_code parse(parser_type& parser, beast::flat_buffer& buffer)
{
    error_code failed = http::error::need_more;
    while (!parser.is_done() && buffer.size() > 0) {
        failed = {};
        buffer.consume(parser.put(buffer.data(), failed));
        if (failed)
            return failed;
    }
    return parser.is_done() ? error_code{} : http::error::need_more;
}

// Sets the time for the next bytes: a head has `read_timeout` in all, a body as
// long as it makes progress.
void set_time_limit(
    caller_connection& from,
    const parser_type& parser,
    std::chrono::steady_clock::time_point head_limit)
{
    if (!parser.is_header_done())
        from.stream.expires_at(head_limit);
    else
        from.stream.expires_after(std::max<base::duration>(
            from.limits.read_timeout - from.place.silence(),
            std::chrono::milliseconds(1)));
}

asio::awaitable<error_code>
read_more(caller_connection& from, parser_type& parser)
{
    const auto size = std::min(
        parser.is_header_done() ? body_read_size : head_read_size,
        from.buffer.max_size() - from.buffer.size());
    if (size == 0)
        co_return http::error::buffer_overflow;
    const auto [failed, count] = co_await from.stream.async_read_some(
        from.buffer.prepare(size), as_pair);
    if (failed == asio::error::eof && parser.got_some()) {
        error_code incomplete;
        parser.put_eof(incomplete);
        co_return incomplete ? incomplete : error_code(failed);
    }
    if (failed)
        co_return failed;
    from.buffer.commit(count);
    if (parser.is_header_done())
        from.place.note_bytes(count);
    co_return error_code{};
}

http_request take_request(parser_type& parser)
{
    auto message = parser.release();
    http_request request;
    request.base() = std::move(message.base());
    request.body() = std::move(message.body());
    if (request.body().capacity() - request.body().size() > max_slack)
        request.body().shrink_to_fit();
    return request;
}

} // namespace

asio::awaitable<bool>
await_request(caller_connection& from, const std::atomic<bool>& draining)
{
    // Empty lines do not prolong it.
    from.stream.expires_after(from.limits.idle_timeout);
    auto skipped = remove_empty_lines(from.buffer);
    while (!holds_request(from.buffer)) {
        if (skipped > from.limits.header_bytes ||
            (draining && !has_bytes(from.stream)))
            co_return false;
        const auto [failed, size] = co_await from.stream.async_read_some(
            from.buffer.prepare(head_read_size), as_pair);
        if (failed)
            co_return false;
        from.buffer.commit(size);
        skipped += remove_empty_lines(from.buffer);
    }
    co_return true;
}

asio::awaitable<arrived_request> read_request(caller_connection& from)
{
    parser_type parser;
    parser.eager(true);
    parser.header_limit(std::uint32_t(from.limits.header_bytes));
    parser.body_limit(from.limits.body_bytes);
    from.place.enter(caller_stage::reading);
    const auto head_limit =
        std::chrono::steady_clock::now() + from.limits.read_timeout;
    bool head_checked = false;
    while (true) {
        const auto failed = parse(parser, from.buffer);
        if (failed && failed != http::error::need_more)
            co_return refuse_malformed(failed);
        if (parser.is_header_done() && !std::exchange(head_checked, true)) {
            if (auto faulty = check_head(parser); faulty.refusal)
                co_return faulty;
            // The time for the body begins.
            from.place.enter(caller_stage::reading);
        }
        const auto held =
            parser.get().body().capacity() + from.buffer.capacity();
        if (!from.place.hold(held))
            co_return arrived_request{std::nullopt, no_memory()};
        if (parser.is_done())
            co_return arrived_request{take_request(parser), std::nullopt};
        set_time_limit(from, parser, head_limit);
        const auto broken = co_await read_more(from, parser);
        // Others needed the memory.
        if (broken == asio::error::operation_aborted)
            co_return arrived_request{std::nullopt, no_memory()};
        if (broken)
            co_return refuse_malformed(broken);
    }
}

request_refusal no_memory()
{
    return {
        503,
        base::not_run(
            base::failure_code::overloaded,
            "no memory for the request",
            memory_retry_after)};
}

asio::awaitable<void> drop_rest(caller_connection& from)
{
    error_code failed;
    from.stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, failed);
    from.buffer.consume(from.buffer.size());
    from.stream.expires_after(drop_time);
    for (std::size_t dropped = 0;
         !failed && dropped < from.limits.body_bytes;) {
        const auto [ended, size] = co_await from.stream.async_read_some(
            from.buffer.prepare(head_read_size), as_pair);
        failed = ended;
        dropped += size;
    }
}

} // namespace oleanderhinge::net::internal
