// Stand-in for a model engine that holds a range of layers. It answers the
// engine's HTTP interface (docs/design.md, section 6) with a canned text that
// depends only on the prompt and the token index, and checks that the layers
// before its own have run in order.
//
// POST /v1/layers/run takes
//   {"request": "7-1", "attempt": 1, "token": 0, "next_layer": 0,
//    "activation": "", "prefill": true, "prompt": "...", "delivered": [...],
//    "max_tokens": 64}
// and answers {"request": ..., "attempt": ..., "token": ..., "activation": ...,
// "text": ..., "last": ..., "finish_reason": ...}, or an error; both repeat the
// step's request, attempt and token. `prompt` and `delivered` come with
// `prefill` only; the engine keeps them until DELETE
// /v1/requests/{request}.{attempt}.
#include "oleanderhinge/net/http_server.hpp"
#include "oleanderhinge/net/process.hpp"

#include <CLI/CLI.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <iostream>
#include <limits>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace
{

namespace asio = boost::asio;
namespace json = boost::json;
namespace net = oleanderhinge::net;
namespace wire = oleanderhinge::wire;
namespace base = oleanderhinge::base;

// Words of the canned answer before the words of the prompt.
constexpr std::size_t answer_words = 8;
// An engine holds at most this many contexts; the oldest is dropped.
constexpr std::size_t max_contexts = 4096;

// Runs until a fault that is not wanted.
constexpr auto never = std::numeric_limits<std::uint64_t>::max();

struct options {
    std::string listen = "127.0.0.1:0";
    std::string model = "bench-assistant";
    std::string version = "1";
    std::vector<std::string> adapters;
    std::string layers = "0-8";
    std::uint32_t layer_count = 8;
    std::string accelerator = "a100";
    std::uint32_t speed_percent = 100;
    std::uint32_t step_ms = 2;
    std::uint32_t batch = 8;
    bool honour_fencing = true;
    std::uint64_t freeze_after = never;
    std::uint64_t fail_after = never;
    std::string record;
};

struct layer_span {
    std::uint64_t first = 0;
    std::uint64_t end = 0;
};

layer_span parse_layers(const std::string& text)
{
    const auto dash = text.find('-');
    if (dash == std::string::npos)
        throw std::invalid_argument("layers are written first-end, e.g. 0-8");
    return {
        std::stoull(text.substr(0, dash)), std::stoull(text.substr(dash + 1))};
}

std::string to_text(const layer_span& span)
{
    return std::to_string(span.first) + "-" + std::to_string(span.end);
}

std::vector<std::string> words_of(const std::string& text)
{
    std::vector<std::string> words;
    std::istringstream in(text);
    for (std::string word; in >> word;)
        words.push_back(word);
    return words;
}

// The whole answer to a prompt: a fixed opening, the words of the prompt and a
// hash of it, so that two prompts never have the same answer.
std::vector<std::string> answer_to(const std::string& prompt)
{
    std::vector<std::string> answer{
        "Here", "is", "what", "I", "know", "about", "your", "question:"};
    static_assert(answer_words == 8);
    for (auto& word : words_of(prompt))
        answer.push_back(std::move(word));
    answer.push_back("#" + std::to_string(std::hash<std::string>{}(prompt)));
    for (std::size_t i = 1; i < answer.size(); ++i)
        answer[i].insert(0, " ");
    return answer;
}

// What the engine keeps for one attempt.
struct attempt_context {
    std::string prompt;
    std::uint64_t max_tokens = 0;
};

class engine
{
public:
    explicit engine(options chosen)
        : config(std::move(chosen))
        , span(parse_layers(this->config.layers))
    {
        if (!this->config.record.empty())
            this->record.open(this->config.record, std::ios::app);
    }

    asio::awaitable<void>
    handle(net::http_request request, net::http_exchange& exchange)
    {
        const std::string target(request.target());
        const std::string method(request.method_string());
        if (method == "GET" && target == "/v1/info")
            co_await reply(exchange, this->info());
        else if (method == "GET" && target == "/v1/load")
            co_await reply(exchange, this->load());
        else if (method == "GET" && target == "/v1/cache_events")
            co_await reply(exchange, no_events());
        else if (method == "POST" && target == "/v1/layers/run")
            co_await this->run_layers(request.body(), exchange);
        else if (method == "POST" && target == "/v1/orders")
            co_await this->order(request.body(), exchange);
        else if (method == "DELETE" && target.starts_with("/v1/requests/"))
            co_await this->drop(target.substr(13), exchange);
        else
            co_await reply_error(exchange, 404, "no such resource");
    }

private:
    static asio::awaitable<void>
    reply(net::http_exchange& exchange, json::object body)
    {
        co_await exchange.respond(
            200, "application/json", json::serialize(body));
    }

    static asio::awaitable<void> reply_error(
        net::http_exchange& exchange, unsigned status, std::string detail)
    {
        const json::object body{{"error", std::move(detail)}};
        co_await exchange.respond(
            status, "application/json", json::serialize(body));
    }

    static asio::awaitable<void> wait(std::chrono::milliseconds time)
    {
        asio::steady_timer timer(co_await asio::this_coro::executor, time);
        co_await timer.async_wait(asio::use_awaitable);
    }

    json::object info()
    {
        const std::lock_guard lock(this->mutex);
        json::object body{
            {"model", this->config.model},
            {"version", this->config.version},
            {"adapters", json::value_from(this->config.adapters)},
            {"first_layer", this->span.first},
            {"end_layer", this->span.end},
            {"layer_count", this->config.layer_count},
            {"accelerator", this->config.accelerator},
            {"speed_percent", this->config.speed_percent},
            {"batch", this->config.batch}};
        if (this->config.honour_fencing)
            body["fencing_number"] = this->last_order;
        return body;
    }

    static json::object no_events() { return {{"events", json::array{}}}; }

    json::object load()
    {
        const std::lock_guard lock(this->mutex);
        return {
            {"running", this->running.load()},
            {"batch", this->config.batch},
            {"contexts", this->contexts.size()}};
    }

    // The step time grows once more steps run than the batch holds.
    std::chrono::milliseconds step_time() const
    {
        const auto load = std::max<std::uint64_t>(this->running.load(), 1);
        const auto rounds =
            (load + this->config.batch - 1) / std::max(1U, this->config.batch);
        return std::chrono::milliseconds(
            this->config.step_ms * 100 * rounds /
            std::max(1U, this->config.speed_percent));
    }

    asio::awaitable<void>
    run_layers(const std::string& body, net::http_exchange& exchange)
    {
        boost::system::error_code bad;
        const auto parsed = json::parse(body, bad);
        if (bad || !parsed.is_object())
            co_return co_await reply_error(exchange, 400, "malformed JSON");
        const auto number = ++this->runs;
        if (number > this->config.freeze_after)
            co_await wait(std::chrono::hours(1));
        if (number > this->config.fail_after)
            co_return co_await reply_error(exchange, 500, "engine failure");
        ++this->running;
        co_await wait(this->step_time());
        --this->running;
        std::string fault;
        json::object answer;
        try {
            answer = this->run(parsed.as_object(), fault);
        } catch (const std::exception& e) {
            fault = e.what();
        }
        if (!fault.empty())
            answer = {{"error", fault}};
        for (const char* name : {"request", "attempt", "token"})
            if (const auto* value = parsed.as_object().if_contains(name))
                answer[name] = *value;
        co_await exchange.respond(
            fault.empty() ? 200 : 409,
            "application/json",
            json::serialize(answer));
    }

    // Checks the step, applies the layers and records the run.
    json::object run(const json::object& step, std::string& fault)
    {
        const std::string request(step.at("request").as_string());
        const auto attempt = step.at("attempt").to_number<std::uint64_t>();
        const auto token = step.at("token").to_number<std::uint64_t>();
        const auto next_layer =
            step.at("next_layer").to_number<std::uint64_t>();
        const std::lock_guard lock(this->mutex);
        if (next_layer != this->span.first)
            fault = "next_layer is not the first layer of this engine";
        const auto applied = this->layers_before(step, token, fault);
        const auto key = request + "." + std::to_string(attempt);
        if (const auto* prefill = step.if_contains("prefill");
            prefill && prefill->as_bool())
            this->keep(key, step);
        const auto found = this->contexts.find(key);
        if (found == this->contexts.end())
            fault = "no context for " + key;
        if (!fault.empty())
            return {};
        if (this->record.is_open())
            this->record << request << ' ' << attempt << ' ' << token << ' '
                         << to_text(this->span) << std::endl;
        const bool final_stage = this->span.end == this->config.layer_count;
        if (!final_stage)
            return {{"activation", applied + to_text(this->span) + ";"}};
        return token_of(found->second, token);
    }

    // The activation lists the token and the ranges that ran for it, as
    // "3:0-8;8-16;"; empty or without a range at the first layer.
    std::string layers_before(
        const json::object& step, std::uint64_t token, std::string& fault) const
    {
        auto prefix = std::to_string(token) + ":";
        if (this->span.first == 0)
            return prefix;
        std::string applied(step.at("activation").as_string());
        if (!applied.starts_with(prefix)) {
            fault = "the activation belongs to another token";
            return {};
        }
        std::istringstream in(applied.substr(prefix.size()));
        std::uint64_t next = 0;
        for (std::string part; std::getline(in, part, ';');) {
            const auto ran = parse_layers(part);
            if (ran.first != next)
                fault = "layers ran out of order: " + applied;
            next = ran.end;
        }
        if (next != this->span.first)
            fault = "layers before " + std::to_string(this->span.first) +
                    " have not run: " + applied;
        return applied;
    }

    void keep(const std::string& key, const json::object& step)
    {
        if (this->contexts.size() >= max_contexts)
            this->contexts.erase(this->contexts.begin());
        this->contexts[key] = {
            std::string(step.at("prompt").as_string()),
            step.at("max_tokens").to_number<std::uint64_t>()};
    }

    static json::object
    token_of(const attempt_context& context, std::uint64_t token)
    {
        const auto answer = answer_to(context.prompt);
        const bool stop = token + 1 >= answer.size();
        const bool length =
            context.max_tokens > 0 && token + 1 >= context.max_tokens;
        return {
            {"activation", ""},
            {"text", token < answer.size() ? answer[token] : ""},
            {"last", stop || length},
            {"finish_reason",
             stop     ? "stop"
             : length ? "length"
                      : ""}};
    }

    asio::awaitable<void>
    order(const std::string& body, net::http_exchange& exchange)
    {
        boost::system::error_code bad;
        const auto parsed = json::parse(body, bad);
        if (bad || !parsed.is_object() ||
            !parsed.as_object().contains("fencing_number"))
            co_return co_await reply_error(exchange, 400, "malformed order");
        std::string fault;
        try {
            this->apply(parsed.as_object(), fault);
        } catch (const std::exception& e) {
            fault = e.what();
        }
        if (!fault.empty())
            co_return co_await reply_error(exchange, 409, fault);
        co_await reply(exchange, this->info());
    }

    void apply(const json::object& order, std::string& fault)
    {
        const auto number =
            order.at("fencing_number").to_number<std::uint64_t>();
        const std::lock_guard lock(this->mutex);
        if (this->config.honour_fencing && number < this->last_order) {
            fault = "fencing number " + std::to_string(number) +
                    " is older than " + std::to_string(this->last_order);
            return;
        }
        this->last_order = number;
        const std::string model(order.at("model").as_string());
        if (!model.empty()) {
            this->config.model = model;
            this->config.version = order.at("version").as_string();
            const std::string adapter(order.at("adapter").as_string());
            if (!adapter.empty() &&
                std::ranges::find(this->config.adapters, adapter) ==
                    this->config.adapters.end())
                this->config.adapters.push_back(adapter);
            const layer_span wanted{
                order.at("first_layer").to_number<std::uint64_t>(),
                order.at("end_layer").to_number<std::uint64_t>()};
            if (wanted.end > wanted.first &&
                (wanted.first != this->span.first ||
                 wanted.end != this->span.end)) {
                this->span = wanted;
                this->contexts.clear();
            }
        }
        if (this->record.is_open())
            this->record << "order " << number << ' ' << model << std::endl;
    }

    asio::awaitable<void>
    drop(const std::string& key, net::http_exchange& exchange)
    {
        {
            const std::lock_guard lock(this->mutex);
            this->contexts.erase(key);
        }
        co_await reply(exchange, json::object());
    }

    std::mutex mutex;
    options config;
    layer_span span;
    std::uint64_t last_order = 0;
    std::map<std::string, attempt_context> contexts;
    std::atomic<std::uint64_t> runs{0};
    std::atomic<std::uint64_t> running{0};
    std::ofstream record;
};

options parse_command_line(int argc, char** argv)
{
    options chosen;
    std::string honour = "yes";
    CLI::App app("Stand-in for a model engine", "model-engine");
    app.add_option("--listen", chosen.listen, "address:port; port 0 chooses");
    app.add_option("--model", chosen.model, "name of the model");
    app.add_option("--version-name", chosen.version, "version of the model");
    app.add_option("--adapter", chosen.adapters, "adapter; repeatable");
    app.add_option("--layers", chosen.layers, "first-end, end excluded");
    app.add_option("--layer-count", chosen.layer_count, "of the whole model");
    app.add_option("--accelerator", chosen.accelerator, "kind of accelerator");
    app.add_option("--speed-percent", chosen.speed_percent, "relative speed");
    app.add_option("--step-ms", chosen.step_ms, "time of one step at 100%");
    app.add_option("--batch", chosen.batch, "steps that run at full speed");
    app.add_option("--honour-fencing", honour, "refuse old fencing numbers")
        ->check(CLI::IsMember({"yes", "no"}));
    app.add_option(
        "--freeze-after", chosen.freeze_after, "runs until it hangs");
    app.add_option("--fail-after", chosen.fail_after, "runs until it fails");
    app.add_option("--record", chosen.record, "file with a line for each run");
    try {
        app.parse(argc, argv);
        parse_layers(chosen.layers);
    } catch (const CLI::ParseError& e) {
        std::exit(app.exit(e));
    } catch (const std::exception& e) {
        std::cerr << "--layers: " << e.what() << '\n';
        std::exit(2);
    }
    chosen.honour_fencing = honour == "yes";
    return chosen;
}

} // namespace

int main(int argc, char** argv)
{
    const auto chosen = parse_command_line(argc, argv);
    const auto colon = chosen.listen.rfind(':');
    const wire::endpoint local{
        chosen.listen.substr(0, colon),
        std::uint16_t(std::stoul(chosen.listen.substr(colon + 1)))};
    asio::io_context io;
    engine backend(chosen);
    net::http_server server(
        io,
        {.body_bytes = std::size_t(8) << 20},
        [&](net::http_request request, net::http_exchange& exchange) {
            return backend.handle(std::move(request), exchange);
        });
    const bool ok = base::handle(
        [&]() -> base::result<bool> {
            BOOST_LEAF_AUTO(bound, server.listen(local));
            std::cout << "listening on " << bound.address << ':' << bound.port
                      << std::endl;
            return true;
        },
        [](const base::error& e) {
            std::cerr << e.detail << '\n';
            return false;
        });
    if (!ok)
        return 1;
    return net::run_process(
        io,
        {.threads = 1,
         .drain_limit = std::chrono::seconds(1),
         .begin_drain = [&] { server.drain(); },
         .drained = [&] { return server.active() == 0; },
         .stop = [&] { server.shutdown(); }});
}
