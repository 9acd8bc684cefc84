// Gateways and backend servers of two services that record what they run.
//
// Example:
//   site place;
//   ASSERT_TRUE(place.start({{"safe", "alpha"}, ...}));
//   place.put({{"safe", "beta"}, ...});
#pragma once

#include "tests/harness/gateway_fleet.hpp"
#include "tests/harness/message_files.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <atomic>
#include <mutex>

namespace oleanderhinge::tests
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

// Routes, each named by its path; the last two answer with streams.
inline constexpr std::array<const char*, 4> kinds{
    "safe", "once", "stream", "resume"};
inline constexpr std::size_t gateway_count = 3;
inline constexpr milliseconds kill_delay{3000};
inline constexpr int events_of_stream = 8;
inline const std::string messages =
    OLEANDERHINGE_SOURCE_DIR "/platform/testdata/soak/";

inline std::vector<wire::header>
fields(const std::string& file, const replacements& values)
{
    return header_fields(messages + file, values);
}

inline std::string stream_event(int number, const std::string& text)
{
    return "id: " + std::to_string(number) + "\ndata: " + text + "\n\n";
}

inline asio::awaitable<void> sleep_for(milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

class site
{
public:
    site()
    {
        for (std::size_t i = 0; i < servers.size(); ++i)
            this->fleet.add_server(
                servers[i],
                [this,
                 i](auto request, auto& exchange) -> asio::awaitable<void> {
                    co_await this->answer(i, request, exchange);
                },
                [this, i](const auto& address, std::size_t sequence) {
                    return this->report(i, address, sequence);
                });
    }

    // Returns whether all gateways answer on all routes.
    bool start(const replacements& table)
    {
        bool serves = this->fleet.start(this->next(table));
        for (const auto& ports : this->fleet.gateways)
            for (const std::string kind : kinds)
                serves = serves && wait_until([&] {
                             const http_query query{
                                 "POST",
                                 "/" + kind + "/5/",
                                 "x",
                                 {{"Host", "desk.example"}}};
                             return call(ports.callers, query).status == 200;
                         });
        return serves;
    }
    // Puts the next version of table.json.
    void put(const replacements& table) { this->fleet.put(this->next(table)); }
    // The backend server refuses new requests and says that it leaves; at the
    // next call, its successor is ready.
    void turn(std::size_t server) { ++this->starts[server]; }
    // When each run of the request ends unless it is disturbed.
    std::vector<milliseconds> runs_of(const std::string& id)
    {
        const std::scoped_lock lock(this->mutex);
        return this->runs[id];
    }
    milliseconds now() const
    {
        return std::chrono::duration_cast<milliseconds>(
            std::chrono::steady_clock::now() - this->begin);
    }

private:
    // The path is /KIND/MS/..., MS being the time of the answer.
    asio::awaitable<void> answer(
        std::size_t server,
        const net::http_request& request,
        net::http_exchange& exchange)
    {
        replacements values;
        values["server"] = servers[server];
        const std::string id = values["id"] =
            request[fields("answer.txt", {}).front().name];
        const auto named = fields("answer.txt", values);
        const auto expected = fields("addressed.txt", values).front();
        const bool known = request[expected.name] == expected.value;
        if (!known || this->starts[server] % 2 == 1) {
            const auto* refusal = known ? "leaving.txt" : "misdirected.txt";
            co_await exchange.respond(
                known ? 503 : 421, "", "", fields(refusal, values));
            co_return;
        }
        std::string kind;
        milliseconds::rep time = 0;
        std::istringstream path{std::string(request.target().substr(1))};
        std::getline(path, kind, '/') >> time;
        {
            const std::scoped_lock lock(this->mutex);
            this->runs[id].push_back(this->now() + milliseconds(time));
        }
        const auto text = id + " " + std::to_string(request.body().size());
        if (kind != kinds[2] && kind != kinds[3]) {
            co_await sleep_for(milliseconds(time));
            co_await exchange.respond(200, "text/plain", text, named);
            co_return;
        }
        const std::string last(request["Last-Event-Id"]);
        int event = last.empty() ? 0 : std::stoi(last);
        bool open =
            co_await exchange.begin_stream(200, "text/event-stream", named);
        while (open && event++ < events_of_stream) {
            co_await sleep_for(milliseconds(time / events_of_stream));
            open = co_await exchange.write_chunk(stream_event(event, text));
        }
        if (open)
            co_await exchange.end_stream();
    }

    std::string
    report(std::size_t server, const std::string& address, std::size_t sequence)
    {
        constexpr std::int64_t first_start = 1767225600000;
        const std::string name = servers[server];
        const int state = this->starts[server];
        return message(
            messages + "report.json",
            {{"service", name.substr(0, name.find('-'))},
             {"address", address},
             {"state", state % 2 == 1 ? "draining" : "ready"},
             {"sequence", std::to_string(sequence)},
             {"born", std::to_string(first_start + state / 2)}});
    }

    std::string next(replacements table)
    {
        table["version"] = std::to_string(++this->version);
        return message(messages + "table.json", table);
    }

    static constexpr std::array<const char*, 4> servers{
        "alpha-1", "alpha-2", "beta-1", "beta-2"};
    const std::chrono::steady_clock::time_point begin =
        std::chrono::steady_clock::now();
    int version = 0;
    // Starts of each backend server; odd while it leaves.
    std::array<std::atomic<int>, servers.size()> starts{};
    std::mutex mutex;
    std::map<std::string, std::vector<milliseconds>> runs;

public:
    gateway_fleet fleet{
        gateway_count,
        "kill_delay = " + std::to_string(kill_delay.count()) + "ms\n"};
};

} // namespace oleanderhinge::tests
