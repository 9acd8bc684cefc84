#include "tests/harness/fleet.hpp"

#include "oleanderhinge/base/hash.hpp"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <cstdio>
#include <sstream>

namespace oleanderhinge::tests
{

namespace json = boost::json;

namespace
{

constexpr unsigned layers_of_stage = 8;
constexpr const char* model = "pinball-7b";
constexpr const char* version = "v3";
constexpr const char* secret = "cluster_secret = a-secret-for-tests-only\n";

std::string at(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string sha256_hex(const std::string& text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string out;
    for (const auto byte : base::sha256(text)) {
        out += digits[byte >> 4];
        out += digits[byte & 15];
    }
    return out;
}

// Collects the tokens of the server-sent events of a stream.
void parse_stream(const std::string& body, chat_result& to)
{
    std::istringstream lines(body);
    std::string line;
    bool error = false;
    while (std::getline(lines, line)) {
        if (line == "event: error") {
            error = true;
        } else if (line == "data: [DONE]") {
            to.complete = true;
        } else if (line.starts_with("data: ")) {
            const auto data = line.substr(6);
            if (error) {
                to.problem = data;
                continue;
            }
            const auto value = json::parse(data);
            const auto& choice = value.at("choices").at(0);
            const auto& delta = choice.at("delta").as_object();
            if (const auto* text = delta.if_contains("content")) {
                to.text += text->as_string().c_str();
                ++to.tokens;
            }
            if (choice.at("finish_reason").is_string())
                to.finish_reason =
                    choice.at("finish_reason").as_string().c_str();
        }
    }
}

} // namespace

fleet::fleet(fleet_options chosen)
    : options(std::move(chosen))
{
    const auto port = [] { return processes::free_port(); };
    for (std::size_t i = 0; i < this->options.control; ++i)
        this->controls.push_back({port(), port(), port()});
    for (std::size_t i = 0; i < this->options.entries; ++i)
        this->entries.push_back({port(), port(), port(), port()});
    const auto count =
        this->options.stages * this->options.replicas + this->options.services;
    for (std::size_t i = 0; i < count; ++i)
        this->servers.push_back({port(), port(), port(), port()});
}

fleet::~fleet()
{
    if (!testing::Test::HasFailure())
        return;
    for (std::size_t i = 0; i < this->entries.size(); ++i)
        this->print_events(entry_name(i), this->entries[i].management);
    for (std::size_t i = 0; i < this->servers.size(); ++i)
        this->print_events(
            "agent " + std::to_string(i), this->servers[i].management);
}

void fleet::print_events(const std::string& name, std::uint16_t management)
{
    const auto reply = call(
        management, {"GET", "/events", "", {}}, std::chrono::milliseconds(500));
    constexpr std::size_t longest = 4000;
    const auto from =
        reply.body.size() > longest ? reply.body.size() - longest : 0;
    std::fprintf(
        stderr, "%s: %s\n", name.c_str(), reply.body.substr(from).c_str());
}

std::string fleet::control_name(std::size_t i)
{
    return "control-" + std::to_string(i);
}

std::string fleet::entry_name(std::size_t i)
{
    return "entry-" + std::to_string(i);
}

std::string fleet::server_name(std::size_t stage, std::size_t replica)
{
    return "bench-" + std::to_string(stage) + "-" + std::to_string(replica);
}

std::string fleet::service_name(std::size_t i)
{
    return "stores-" + std::to_string(i);
}

std::string fleet::agent_of(const std::string& server)
{
    return "agent-" + server;
}

std::string fleet::node_lines(const std::string& vm) const
{
    return "[node]\nvm = " + vm +
           "\nregion = scotland\ndata_centre = glasgow\n";
}

void fleet::start()
{
    for (std::size_t i = 0; i < this->options.control; ++i)
        this->start_control(i);
    for (std::size_t i = 0; i < this->options.entries; ++i)
        this->start_entry(i);
    for (std::size_t s = 0; s < this->options.stages; ++s)
        for (std::size_t r = 0; r < this->options.replicas; ++r)
            this->start_server(s, r);
    for (std::size_t i = 0; i < this->options.services; ++i) {
        this->start_service(i);
        this->start_service_agent(i);
    }
    wait_until([&] { return this->leader() < this->options.control; });
}

void fleet::start_control(std::size_t i)
{
    const auto name = control_name(i);
    const auto& ports = this->controls[i];
    std::string members;
    for (std::size_t j = 0; j < this->controls.size(); ++j)
        members += (j == 0 ? "" : ", ") + control_name(j) + "=" +
                   at(this->controls[j].link) + "/" +
                   at(this->controls[j].admin);
    const auto file = this->run.write(
        name + ".ini",
        this->node_lines(name) + secret +
            "data_folder = " + this->run.path(name + ".data") +
            "\n[control]\nmembers = " + members + "\n[link]\n" + "listen = " +
            at(ports.link) + "\n[admin]\nlisten = " + at(ports.admin) +
            "\ntoken = " + admin_token + "\n[management]\nlisten = " +
            at(ports.management) + "\n" + this->options.control_extra);
    this->run.start(name, {"oleanderhinge-control", "--config", file});
}

void fleet::start_entry(std::size_t i)
{
    const auto name = entry_name(i);
    const auto& ports = this->entries[i];
    std::string control;
    for (const auto& c : this->controls)
        control += (control.empty() ? "" : ", ") + at(c.link);
    std::string peers;
    for (const auto& e : this->entries)
        peers += (peers.empty() ? "" : ", ") + at(e.announce);
    const auto file = this->run.write(
        name + ".ini",
        this->node_lines(name) + secret + "[entry]\nlink = " + at(ports.link) +
            "\nannounce = " + at(ports.announce) +
            "\ncallers = " + at(ports.callers) + "\npeers = " + peers +
            "\n[control]\nendpoints = " + control +
            "\n[management]\nlisten = " + at(ports.management) + "\n" +
            this->options.entry_extra);
    this->run.start(name, {"oleanderhinge-entry", "--config", file});
}

std::string fleet::agent_settings(
    const std::string& name,
    const server_ports& ports,
    const std::string& kind_lines) const
{
    std::string seeds;
    for (const auto& e : this->entries)
        seeds += (seeds.empty() ? "" : ", ") + at(e.announce);
    return this->node_lines(agent_of(name)) + secret +
           "[agent]\nlinks = " + at(ports.links) +
           "\nannouncements = " + at(ports.announcements) +
           "\n[server]\nname = " + name + "\nendpoint = " + at(ports.engine) +
           "\n" + kind_lines + "[entry_nodes]\nseeds = " + seeds +
           "\n[management]\nlisten = " + at(ports.management) + "\n" +
           this->options.agent_extra;
}

void fleet::start_server(std::size_t stage, std::size_t replica)
{
    this->start_engine(stage, replica);
    this->start_agent(stage, replica);
}

void fleet::start_engine(std::size_t stage, std::size_t replica)
{
    const auto name = server_name(stage, replica);
    const auto& ports = this->servers[stage * this->options.replicas + replica];
    const auto first = stage * layers_of_stage;
    this->run.start(
        name,
        {"model-engine",
         "--listen",
         at(ports.engine),
         "--model",
         model,
         "--version-name",
         version,
         "--layers",
         std::to_string(first) + "-" + std::to_string(first + layers_of_stage),
         "--layer-count",
         std::to_string(this->options.stages * layers_of_stage),
         "--step-ms",
         std::to_string(this->options.step_ms),
         "--record",
         this->run.path(name + ".runs")});
}

void fleet::start_agent(std::size_t stage, std::size_t replica)
{
    const auto name = server_name(stage, replica);
    const auto& ports = this->servers[stage * this->options.replicas + replica];
    const auto file = this->run.write(
        agent_of(name) + ".ini",
        this->agent_settings(name, ports, "kind = model\n"));
    this->run.start(agent_of(name), {"oleanderhinge-agent", "--config", file});
}

void fleet::start_service(std::size_t i)
{
    const auto name = service_name(i);
    const auto& ports =
        this->servers[this->options.stages * this->options.replicas + i];
    this->run.start(
        name,
        {"plain-service",
         "--listen",
         at(ports.engine),
         "--delay-ms",
         std::to_string(this->options.service_delay_ms),
         "--record",
         this->run.path(name + ".runs")});
}

void fleet::start_service_agent(std::size_t i)
{
    const auto name = service_name(i);
    const auto& ports =
        this->servers[this->options.stages * this->options.replicas + i];
    const auto file = this->run.write(
        agent_of(name) + ".ini",
        this->agent_settings(
            name, ports, "kind = service\nservice = stores-desk\n"));
    this->run.start(agent_of(name), {"oleanderhinge-agent", "--config", file});
}

http_reply fleet::admin(const http_query& query)
{
    http_query sent = query;
    sent.headers.emplace_back(
        "Authorization", std::string("Bearer ") + admin_token);
    http_reply reply;
    // Only the leader answers; the others redirect or have none. The one that
    // answered last comes first, as a frozen one takes the whole limit.
    wait_until([&] {
        const auto count = this->controls.size();
        const auto from = this->last_answering;
        for (std::size_t i = 0; i < count; ++i) {
            const auto member = (from + i) % count;
            reply = call(
                this->controls[member].admin, sent, std::chrono::seconds(10));
            if (reply.status == 0 || reply.status == 307 || reply.status == 503)
                continue;
            this->last_answering = member;
            return true;
        }
        return false;
    });
    return reply;
}

http_reply fleet::confirm(const std::string& intents)
{
    const auto plan =
        this->admin({"POST", "/v1/plans", "{\"intents\":" + intents + "}", {}});
    if (plan.status / 100 != 2)
        return plan;
    const auto id = json::parse(plan.body).at("id").as_string();
    return this->admin(
        {"POST", "/v1/plans/" + std::string(id.c_str()) + "/confirm", "", {}});
}

std::string fleet::usual_intents()
{
    json::array intents{
        json::object{
            {"op", "put_route"},
            {"route",
             {{"id", "bench-assistant"},
              {"kind", "model"},
              {"model", model},
              {"version", version},
              {"layer_count", 24},
              {"rank", "urgent"},
              {"request_timeout_ms", 30000}}}},
        json::object{
            {"op", "put_route"},
            {"route",
             {{"id", "stores-desk"},
              {"kind", "service"},
              {"service", "stores-desk"},
              {"idempotent", false},
              {"rank", "urgent"},
              {"request_timeout_ms", 10000}}}},
        json::object{
            {"op", "put_customer"},
            {"customer",
             {{"id", "glasgow-bench"},
              {"credential_sha256", sha256_hex(customer_token)},
              {"weight", 1}}}},
        json::object{
            {"op", "put_customer"},
            {"customer",
             {{"id", "inverness-bench"},
              {"credential_sha256", sha256_hex(small_token)},
              {"weight", 1}}}}};
    return json::serialize(intents);
}

bool fleet::wait_serving(std::size_t i)
{
    const auto& ports = this->entries[i];
    return wait_until([&] {
        if (call(ports.management, {"GET", "/readyz", "", {}}).status != 200)
            return false;
        // An agent's first announcement may precede the entry node's start;
        // then the server is known one interval later.
        const auto metrics =
            call(ports.management, {"GET", "/metrics", "", {}}).body;
        const auto all = "\noleanderhinge_entry_backend_servers " +
                         std::to_string(this->servers.size()) + "\n";
        if (metrics.find(all) == std::string::npos)
            return false;
        if (!this->chat(i, "ready", 2).complete)
            return false;
        return this->options.services == 0 ||
               call(
                   ports.callers,
                   {"GET",
                    "/services/stores-desk/stock",
                    "",
                    {{"Authorization",
                      std::string("Bearer ") + customer_token}}})
                       .status == 200;
    });
}

chat_result fleet::chat(
    std::size_t entry,
    const std::string& prompt,
    unsigned max_tokens,
    const std::string& token,
    const std::function<void(const std::string&)>& on_body)
{
    const json::object body{
        {"model", "bench-assistant"},
        {"messages", json::array{{{"role", "user"}, {"content", prompt}}}},
        {"max_tokens", max_tokens},
        {"stream", true}};
    const auto reply = call(
        this->entries[entry].callers,
        {"POST",
         "/v1/chat/completions",
         json::serialize(body),
         {{"Authorization", "Bearer " + token}}},
        std::chrono::seconds(60),
        on_body);
    chat_result result;
    result.status = reply.status;
    if (reply.status == 200)
        parse_stream(reply.body, result);
    else
        result.problem = reply.body;
    return result;
}

std::string fleet::expected_text(const std::string& prompt, unsigned max_tokens)
{
    // The rule of standins/model_engine.cpp, on the prompt that the entry node
    // makes of a single message.
    const auto whole = "user: " + prompt + "\n";
    std::vector<std::string> words{
        "Here", "is", "what", "I", "know", "about", "your", "question:"};
    std::istringstream in(whole);
    for (std::string word; in >> word;)
        words.push_back(word);
    words.push_back("#" + std::to_string(std::hash<std::string>{}(whole)));
    std::string text;
    for (std::size_t i = 0; i < words.size() && i < max_tokens; ++i)
        text += (i == 0 ? "" : " ") + words[i];
    return text;
}

http_reply fleet::reserve(
    std::size_t entry, const std::string& key, const std::string& part)
{
    http_query query{
        "POST",
        "/services/stores-desk/reserve",
        "{\"part\":\"" + part + "\"}",
        {{"Authorization", std::string("Bearer ") + customer_token},
         {"Content-Type", "application/json"}}};
    if (!key.empty())
        query.headers.emplace_back("Idempotency-Key", key);
    return call(this->entries[entry].callers, query);
}

std::vector<std::string> fleet::bookings()
{
    std::vector<std::string> found;
    for (std::size_t i = 0; i < this->options.services; ++i) {
        std::istringstream lines(this->run.read(service_name(i) + ".runs"));
        for (std::string line; std::getline(lines, line);)
            found.push_back(line);
    }
    return found;
}

std::size_t fleet::leader()
{
    for (std::size_t i = 0; i < this->controls.size(); ++i) {
        const auto reply = call(
            this->controls[i].admin,
            {"GET",
             "/v1/status",
             "",
             {{"Authorization", std::string("Bearer ") + admin_token}}},
            std::chrono::seconds(2));
        if (reply.status != 200)
            continue;
        const auto status = json::parse(reply.body);
        const auto* role = status.as_object().if_contains("role");
        if (role != nullptr && role->as_string() == "leader" &&
            status.at("quorum").as_bool())
            return i;
    }
    return this->controls.size();
}

} // namespace oleanderhinge::tests
