// A forwarder between a caller and two backend servers of the test's own, on
// the loopback address. For tests only.
//
// Example:
//   TEST_F(forwarder_fixture, a_call_is_forwarded)
//   {
//       this->first.behave = answer;
//       EXPECT_EQ(this->ask("/once/x").answer.status, 200U);
//   }
#pragma once

#include "oleanderhinge/gateway/forwarder.hpp"

#include "oleanderhinge/base/hash.hpp"
#include "oleanderhinge/gateway/headers.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gtest/gtest.h>

namespace oleanderhinge::gateway::test
{

namespace asio = boost::asio;
using namespace std::chrono_literals;

inline base::prompt_part part_of(const std::string& id)
{
    return base::prompt_part{base::stable_hash(id)};
}

// Uses its own field names, which no platform has.
inline protocol_adapter make_protocol_adapter()
{
    protocol_adapter protocol;
    protocol.read_request = [](const http_fields& fields) {
        request_metadata metadata;
        metadata.id = std::string(fields["Id"]);
        metadata.key = std::string(fields["Key"]);
        metadata.last_event = std::string(fields["After"]);
        metadata.caller_timeout = 2000ms;
        metadata.prompt.own = part_of(metadata.id);
        if (!fields["Part"].empty())
            metadata.prompt.shared = {part_of(std::string(fields["Part"]))};
        if (!fields["Tokens"].empty())
            metadata.answer_tokens =
                std::uint32_t(std::stoul(std::string(fields["Tokens"])));
        if (!fields["Patience"].empty())
            metadata.caller_timeout = std::chrono::milliseconds(
                std::stoi(std::string(fields["Patience"])));
        return metadata;
    };
    protocol.prepare_headers = [](http_fields& fields,
                                  const outgoing_metadata& metadata) {
        fields.erase("Key");
        fields.set("Customer", metadata.customer.value());
        fields.set("Server", metadata.server.value());
        fields.set("Left", std::to_string(metadata.time_left.count()));
        if (!metadata.last_event.empty())
            fields.set("After", metadata.last_event);
        if (!metadata.parts.empty())
            fields.set("Path", fleet::describe(metadata.parts));
    };
    protocol.read_answer = [](unsigned, const http_fields& fields) {
        answer_metadata metadata;
        metadata.id = distinct_values(fields, "Id");
        metadata.not_run = !fields["Not-Run"].empty();
        metadata.mark = read_mark(fields, "Seal");
        metadata.leaving = !fields["Leaving"].empty();
        metadata.retry_after =
            joined_values(fields, boost::beast::http::field::retry_after);
        metadata.request_limit = distinct_values(fields, "Limit");
        return metadata;
    };
    protocol.make_state_query = [] {
        return net::http_call{"GET", "/state", {}, ""};
    };
    protocol.parse_stalls = [](const std::string&) {
        return std::vector<stalled_request>{};
    };
    protocol.make_path_change = [](const std::string& id,
                                   const fleet::path& parts) {
        return net::http_call{
            "POST", "/order/" + id, {}, fleet::describe(parts)};
    };
    protocol.parse_refused_part = [](const std::string&) {
        return wire::endpoint{};
    };
    return protocol;
}

// As much as a caller of the platform may send.
inline constexpr std::size_t max_body_bytes = std::size_t(4) << 20;
inline constexpr std::size_t answer_memory_bytes = std::size_t(16) << 20;

// A backend server that answers as `behave` says.
struct backend {
    using behaviour = std::function<asio::awaitable<void>(
        const net::http_request&, net::http_exchange&)>;

    explicit backend(asio::io_context& io)
        : server(
              io,
              {.body_bytes = max_body_bytes},
              [this](net::http_request request, net::http_exchange& exchange)
                  -> asio::awaitable<void> {
                  this->seen.push_back(request);
                  co_await this->behave(request, exchange);
              })
    {
        this->address = base::handle(
            [this] {
                return this->server.listen({"127.0.0.1", 0});
            },
            [](const base::error& e) -> wire::endpoint {
                ADD_FAILURE() << e.detail;
                return {};
            });
    }

    std::vector<net::http_request> seen;
    behaviour behave;
    net::http_server server;
    wire::endpoint address;
};

inline std::vector<wire::header>
server_headers(const net::http_request& request)
{
    return {{"Id", std::string(request["Id"])}, {"Seal", "1"}};
}

inline asio::awaitable<void>
answer(const net::http_request& request, net::http_exchange& exchange)
{
    auto headers = server_headers(request);
    co_await exchange.respond(200, "", "done", std::move(headers));
}

inline asio::awaitable<void>
refuse(const net::http_request& request, net::http_exchange& exchange)
{
    auto headers = server_headers(request);
    headers.push_back({"Not-Run", "1"});
    co_await exchange.respond(503, "", "", std::move(headers));
}

// Begins a stream and closes the connection inside the second event.
inline asio::awaitable<void>
break_off(const net::http_request& request, net::http_exchange& exchange)
{
    auto headers = server_headers(request);
    co_await exchange.begin_stream(200, "", std::move(headers));
    co_await exchange.write_chunk("id: 1\ndata: a\n\nid: 2\nda");
}

inline asio::awaitable<void> answer_for_another_request(
    const net::http_request&, net::http_exchange& exchange)
{
    std::vector<wire::header> headers{{"Id", "other"}, {"Seal", "1"}};
    co_await exchange.respond(200, "", "not yours", std::move(headers));
}

// Streams events 1 to 3, or those after the event that the field After names.
inline asio::awaitable<void>
stream(const net::http_request& request, net::http_exchange& exchange)
{
    int first = 1;
    const std::string after(request["After"]);
    if (!after.empty())
        first = std::stoi(after) + 1;
    auto headers = server_headers(request);
    co_await exchange.begin_stream(200, "", std::move(headers));
    for (int id = first; id <= 3; ++id) {
        const auto event = "id: " + std::to_string(id) + "\ndata: x\n\n";
        co_await exchange.write_chunk(event);
    }
    co_await exchange.end_stream();
}

inline constexpr const char* three_events =
    "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n";

// Knows of no stalled requests, sends the first event, and then `rest` again
// and again until `done` returns true. `queries` counts the state queries.
inline backend::behaviour pause_after_first_event(
    asio::io_context& io,
    std::string rest,
    int& queries,
    std::function<bool()> done)
{
    return [&io, &queries, rest = std::move(rest), done = std::move(done)](
               const net::http_request& request,
               net::http_exchange& exchange) -> asio::awaitable<void> {
        if (request.target() == "/state") {
            ++queries;
            co_return (void) co_await exchange.respond(200, "", "", {});
        }
        co_await exchange.begin_stream(200, "", server_headers(request));
        co_await exchange.write_chunk("id: 1\ndata: x\n\n");
        asio::steady_timer timer(io);
        while (!done()) {
            timer.expires_after(5ms);
            co_await timer.async_wait(asio::use_awaitable);
            if (!rest.empty())
                co_await exchange.write_chunk(rest);
        }
        co_await exchange.write_chunk("id: 2\ndata: x\n\n");
        co_await exchange.write_chunk("id: 3\ndata: x\n\n");
        co_await exchange.end_stream();
    };
}

// Behaves as a server that crashes: no event, and no listener any more.
inline backend::behaviour crash(backend& self)
{
    return [&self](
               const net::http_request& request,
               net::http_exchange& exchange) -> asio::awaitable<void> {
        co_await exchange.begin_stream(200, "", server_headers(request));
        self.server.drain();
    };
}

class forwarder_fixture : public testing::Test
{
protected:
    forwarder_fixture()
        : forwarder_fixture(forwarder_options{.retries = {.request_share = 10}})
    {
    }

    // With these limits; all other options are the fixture's own.
    explicit forwarder_fixture(const forwarder_options& limits)
        : stats(registry)
        , protocol(make_protocol_adapter())
        , first(io)
        , second(io)
        , forward(
              io,
              protocol,
              selector,
              quarantine,
              stats,
              {.retries = limits.retries,
               .hedges = limits.hedges,
               .seed = 1,
               .move_streams_early = true,
               .answer_memory = answer_memory_bytes,
               .report_suspect = [](const wire::endpoint&) {},
               .share_evidence =
                   [this](const wire::crash_evidence& news) {
                       this->shared_evidence.push_back(news);
                   },
               .share_limits =
                   [this](const wire::server_limits& stated) {
                       this->shared_limits.push_back(stated);
                   }})
        , front(
              io,
              {.body_bytes = max_body_bytes},
              [this](net::http_request request, net::http_exchange& exchange) {
                  return this->forward.handle(std::move(request), exchange);
              })
        , client(io, 1)
    {
        this->address = base::handle(
            [this] {
                return this->front.listen({"127.0.0.1", 0});
            },
            [](const base::error& e) -> wire::endpoint {
                ADD_FAILURE() << e.detail;
                return {};
            });
        this->use_table();
        // `first` is preferred, since `second` is in another data centre.
        this->selector.home = base::data_centre_id{"near"};
        this->add_server("first", "near", this->first);
        this->add_server("second", "far", this->second);
    }

    void use_table()
    {
        wire::forwarding_table table;
        table.version = 1;
        table.needs_keys = true;
        table.customers = {
            {base::customer_id{"hule"}, {"key"}, {}},
            {base::customer_id{"mint"}, {"mint key"}, {}}};
        table.services = {{"desk", "", 0, {}}, {"chat", "", 0, {}}};
        auto& engine = table.services[1].engine.emplace();
        engine.layer_count = 4;
        engine.step_ms = 1;
        engine.kinds = {{"card", 1000, 1, 1}};
        const auto add = [&](const char* prefix,
                             auto repeat,
                             bool streams,
                             const char* service) {
            wire::forwarding_route route;
            route.name = prefix;
            route.host = "127.0.0.1";
            route.path_prefix = prefix;
            route.repeat = repeat;
            route.streaming = streams;
            route.timeout_ms = streams ? 20000 : 2000;
            route.attempts = 2;
            route.targets = {{service, 1}};
            table.routes.push_back(route);
        };
        add("/once/", wire::repeat_rule::at_most_once, false, "desk");
        add("/read/", wire::repeat_rule::idempotent, false, "desk");
        add("/talk/", wire::repeat_rule::resumable, true, "chat");
        // Streams of a service without engines.
        add("/news/", wire::repeat_rule::resumable, true, "desk");
        add("/news-once/", wire::repeat_rule::at_most_once, true, "desk");
        // Its callers stay for so long that a test which waits for them ends
        // by its own timeout.
        table.routes.back().largest_gap_ms = 600'000;
        this->index = std::make_shared<route_index>(table);
        this->forward.set_table(this->index);
    }

    void add_server(const char* name, const char* place, const backend& server)
    {
        this->add_server(name, place, server.address);
    }

    void
    add_server(const char* name, const char* place, const wire::endpoint& at)
    {
        for (const auto* service : {"desk", "chat"}) {
            wire::server_record record;
            record.id = base::backend_server_id{std::string(name) + service};
            record.started_ms = 1;
            record.sequence = 1;
            record.service = service;
            record.address = at.address;
            record.port = at.port;
            record.data_centre = base::data_centre_id{place};
            record.kind = "card";
            record.layers = {base::layer_index{0}, base::layer_index{4}};
            apply_record(this->selector, record, base::monotonic_now());
        }
    }

    // Paths are drawn by weight: makes the second server's unlikely.
    void prefer_first_path()
    {
        fleet::note_load(
            this->selector.servers,
            base::backend_server_id{"secondchat"},
            {.slowness = 1000,
             .layers = {base::layer_index{0}, base::layer_index{4}}});
    }

    net::http_outcome ask(const std::string& target)
    {
        net::http_outcome outcome;
        bool done = false;
        asio::co_spawn(
            this->io,
            [&]() -> asio::awaitable<void> {
                net::http_call call{
                    this->method,
                    target,
                    {{"Id", this->request_id}, {"Key", this->key}},
                    this->request_body};
                if (!this->part.empty())
                    call.headers.push_back({"Part", this->part});
                if (this->answer_tokens)
                    call.headers.push_back(
                        {"Tokens", std::to_string(*this->answer_tokens)});
                if (this->patience.count() != 0)
                    call.headers.push_back(
                        {"Patience", std::to_string(this->patience.count())});
                outcome = co_await this->client.call(
                    this->address, std::move(call), 5s, net::reuse::never);
                done = true;
            },
            asio::detached);
        while (!done)
            this->io.run_one();
        return outcome;
    }

    // Has no table yet.
    forwarder make_forwarder()
    {
        return forwarder(
            this->io,
            this->protocol,
            this->selector,
            this->quarantine,
            this->stats,
            {});
    }

    // Callers ask a forwarder without a table, which calls `meanwhile` while
    // the first one waits.
    net::http_outcome
    ask_fresh(forwarder& fresh, const std::function<void()>& meanwhile)
    {
        net::http_server other(
            this->io,
            {},
            [&](net::http_request request, net::http_exchange& exchange) {
                asio::post(this->io, meanwhile);
                return fresh.handle(std::move(request), exchange);
            });
        this->address = base::handle(
            [&] {
                return other.listen({"127.0.0.1", 0});
            },
            [](const base::error&) { return wire::endpoint{}; });
        auto outcome = this->ask("/once/x");
        // `fresh` ends before `io`, and must not leave requests there.
        while (fresh.in_progress() != 0)
            this->io.run_one();
        return outcome;
    }

    // Checks for stalls every 20 ms until the fixture ends.
    void start_stall_checks()
    {
        asio::co_spawn(
            this->io,
            [this]() -> asio::awaitable<void> {
                asio::steady_timer timer(this->io);
                while (true) {
                    this->forward.tick();
                    timer.expires_after(20ms);
                    co_await timer.async_wait(asio::use_awaitable);
                }
            },
            asio::detached);
    }

    // Three engines: `first` holds the first half of the layers, `lost` and
    // `other` the second half each. The path over `lost` is preferred, and
    // requests on it stall.
    void stall_behind_first(const std::string& lost)
    {
        this->stall_behind(this->first.address, lost);
    }

    // The same behind a server at `head`.
    void stall_behind(const wire::endpoint& head, const std::string& lost)
    {
        this->protocol.parse_stalls = [lost](const std::string&) {
            return std::vector<stalled_request>{{"r1", {lost, 80}}};
        };
        this->selector.servers = {};
        ++this->selector.generation;
        const auto add = [this](
                             const std::string& id,
                             const wire::endpoint& at,
                             std::uint32_t from,
                             const char* place) {
            wire::server_record record;
            record.id = base::backend_server_id{id};
            record.started_ms = 1;
            record.sequence = 1;
            record.service = "chat";
            record.address = at.address;
            record.port = at.port;
            record.data_centre = base::data_centre_id{place};
            record.kind = "card";
            record.layers = {
                base::layer_index{from}, base::layer_index{from + 2}};
            apply_record(this->selector, record, base::monotonic_now());
        };
        add("head", head, 0, "near");
        add("lost", {lost, 80}, 2, "near");
        add("other", {"other", 80}, 2, "far");
    }

    // What a caller gets whose server pauses as `pause_after_first_event` until
    // the other one is asked.
    std::string
    ask_paused_server(const char* rest, const std::string& target = "/talk/x")
    {
        this->prefer_first_path();
        this->first.behave = pause_after_first_event(
            this->io, rest, this->state_queries, [this] {
                return !this->second.seen.empty();
            });
        this->second.behave = stream;
        this->patience = 20s;
        this->start_stall_checks();
        return this->ask(target).answer.body;
    }

    std::size_t runs() const
    {
        return this->first.seen.size() + this->second.seen.size();
    }

    asio::io_context io;
    prometheus::Registry registry;
    metrics stats;
    std::shared_ptr<const route_index> index;
    server_selector selector;
    fleet::crash_quarantine quarantine;
    protocol_adapter protocol;
    backend first;
    backend second;
    forwarder forward;
    net::http_server front;
    net::http_client client;
    wire::endpoint address;
    std::string method = "POST";
    std::string request_id = "r1";
    std::string key = "key";
    std::string request_body = "body";
    // The caller's time; zero: two seconds.
    std::chrono::milliseconds patience{0};
    // The longest answer that the caller states.
    std::optional<std::uint32_t> answer_tokens;
    int state_queries = 0;
    std::string part;
    std::vector<wire::crash_evidence> shared_evidence;
    std::vector<wire::server_limits> shared_limits;
};

} // namespace oleanderhinge::gateway::test
