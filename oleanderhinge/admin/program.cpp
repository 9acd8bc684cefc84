#include "oleanderhinge/admin/program.hpp"

#include "oleanderhinge/admin/client.hpp"
#include "oleanderhinge/admin/follow.hpp"
#include "oleanderhinge/admin/print.hpp"
#include "oleanderhinge/base/random.hpp"

#include <CLI/CLI.hpp>
#include <boost/json.hpp>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace oleanderhinge::admin
{

namespace json = boost::json;

namespace
{

constexpr const char* examples =
    "Examples:\n"
    "  oleanderhinge --control 127.0.0.1:7601 apply -f intents.json\n"
    "  oleanderhinge plan create -f intents.json\n"
    "  oleanderhinge plan confirm 2f1c9e5d0b7a4c33\n"
    "  oleanderhinge server drain gpu-17 --yes\n"
    "  oleanderhinge follow 9c41d07be2a35f68 edge-1.log control.log\n"
    "  oleanderhinge timeline --from 127.0.0.1:7701,127.0.0.1:7702\n"
    "Exit codes: 0 ok, 1 refused or invalid, 2 usage, 3 conflict,\n"
    "4 unavailable.";

// What the command line states; the callbacks of CLI11 refer to it.
struct command_line {
    std::string control = "127.0.0.1:7601";
    std::string token_file;
    bool as_json = false;
    bool yes = false;
    std::string file;
    std::string id;
    std::string link;
    std::string admin;
    std::string from;
    std::vector<std::string> files;
    // Set by the chosen subcommand.
    std::function<int()> run;
};

// A wrong command line; ends the program with `exit_usage`.
struct usage_error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

std::string read_file(const std::string& path)
{
    std::ostringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream file(path);
    if (!file)
        throw usage_error("cannot read " + path);
    text << file.rdbuf();
    return text.str();
}

std::string read_token(const command_line& line)
{
    if (line.token_file.empty()) {
        const char* token = std::getenv("OLEANDERHINGE_TOKEN");
        if (token == nullptr)
            throw usage_error(
                "no token: give --token-file or set OLEANDERHINGE_TOKEN");
        return token;
    }
    auto token = read_file(line.token_file);
    while (!token.empty() && (token.back() == '\n' || token.back() == '\r'))
        token.pop_back();
    return token;
}

std::vector<wire::endpoint> endpoints_of(const std::string& text)
{
    return base::handle(
        [&] { return parse_endpoints(text); },
        [](const base::error& failure) -> std::vector<wire::endpoint> {
            throw usage_error(failure.detail);
        });
}

client_options options_of(const command_line& line)
{
    client_options options;
    options.endpoints = endpoints_of(line.control);
    options.token = read_token(line);
    return options;
}

// Prints a reply: JSON as it came, or by `describe`; problems to stderr.
int show(
    const command_line& line,
    const reply& answer,
    const std::function<std::string(const json::value&)>& describe)
{
    const int code = exit_code(answer);
    if (answer.status == 0)
        std::cerr << "unavailable: " << answer.detail << '\n';
    else if (line.as_json)
        std::cout << answer.text;
    else if (code == exit_ok)
        std::cout << describe(answer.body);
    else if (answer.body.is_object())
        std::cerr << describe_problem(answer.body);
    else
        std::cerr << "HTTP status " << answer.status << '\n';
    return code;
}

std::string random_id()
{
    base::random_source random{base::entropy_seed()};
    std::ostringstream text;
    text << std::hex << random.next() << (random.next() ^ base::entropy_seed());
    return text.str();
}

// The body for POST /v1/plans from a file with a list of intents or an object
// with "intents". The id makes a resend harmless.
std::string plan_body(const std::string& contents)
{
    boost::system::error_code failed;
    auto value = json::parse(contents, failed);
    if (failed)
        throw usage_error("the intents are no JSON: " + failed.message());
    json::object body;
    if (value.is_object())
        body = value.as_object();
    else
        body["intents"] = std::move(value);
    if (!body.contains("id"))
        body["id"] = random_id();
    return json::serialize(body);
}

bool ask(const char* question)
{
    std::cout << question << " [y/N] " << std::flush;
    std::string answer;
    std::getline(std::cin, answer);
    return answer == "y" || answer == "yes";
}

int plan_create(const command_line& line)
{
    return show(
        line,
        call(
            options_of(line),
            "POST",
            "/v1/plans",
            plan_body(read_file(line.file))),
        describe_plan);
}

int plan_show(const command_line& line)
{
    return show(
        line,
        call(options_of(line), "GET", "/v1/plans/" + line.id),
        describe_plan);
}

int plan_confirm(const command_line& line)
{
    const auto path = "/v1/plans/" + line.id + "/confirm";
    return show(line, call(options_of(line), "POST", path), describe_plan);
}

// Creates a plan, shows it and confirms it after a question.
int create_and_confirm(const command_line& line, const std::string& body)
{
    const auto options = options_of(line);
    const auto made = call(options, "POST", "/v1/plans", body);
    if (exit_code(made) != exit_ok)
        return show(line, made, describe_plan);
    if (!line.as_json)
        std::cout << describe_plan(made.body);
    if (!line.yes && !ask("Put this plan in force?")) {
        std::cerr << "the plan was not confirmed\n";
        return exit_refused;
    }
    const auto id = std::string(made.body.as_object().at("id").as_string());
    const auto done = call(options, "POST", "/v1/plans/" + id + "/confirm");
    return show(line, done, [](const json::value& plan) {
        const auto& fields = plan.as_object();
        return "confirmed as revision " +
               json::serialize(fields.at("confirmed_at")) + "\n";
    });
}

int apply_file(const command_line& line)
{
    return create_and_confirm(line, plan_body(read_file(line.file)));
}

int show_list(
    const command_line& line,
    const char* name,
    const std::vector<std::string>& columns)
{
    const auto answer =
        call(options_of(line), "GET", std::string("/v1/") + name);
    return show(line, answer, [&](const json::value& body) {
        return table(body.as_object().at(name).as_array(), columns);
    });
}

int show_members(const command_line& line, const reply& answer)
{
    return show(line, answer, [](const json::value& body) {
        return table(
            body.as_object().at("members").as_array(),
            {"vm", "link", "admin", "voter"});
    });
}

int add_member(const command_line& line)
{
    const json::object body{
        {"vm", line.id}, {"link", line.link}, {"admin", line.admin}};
    const auto answer =
        call(options_of(line), "POST", "/v1/members", json::serialize(body));
    return show_members(line, answer);
}

// The order for a server with `draining` set; a new one if it has none.
json::object draining_order(const reply& orders, const std::string& server)
{
    for (const auto& item : orders.body.as_object().at("orders").as_array()) {
        auto order = item.as_object();
        if (order.at("server").as_string() != server)
            continue;
        order["draining"] = true;
        return order;
    }
    return {{"server", server}, {"draining", true}};
}

int drain_server(const command_line& line)
{
    const auto orders = call(options_of(line), "GET", "/v1/orders");
    if (exit_code(orders) != exit_ok)
        return show(line, orders, describe_status);
    const json::object intent{
        {"op", "put_order"}, {"order", draining_order(orders, line.id)}};
    const json::array intents{intent};
    return create_and_confirm(line, plan_body(json::serialize(intents)));
}

// Reads /events of each management port and merges them by their stamps.
int show_timeline(const command_line& line)
{
    std::vector<std::vector<timeline::event>> parts;
    int code = exit_ok;
    for (const auto& server : endpoints_of(line.from)) {
        client_options options;
        options.endpoints = {server};
        options.total_timeout = std::chrono::milliseconds(0);
        const auto answer = call(options, "GET", "/events");
        if (exit_code(answer) == exit_ok) {
            parts.push_back(parse_events(answer.body));
            continue;
        }
        // The rest of the time line is still of use.
        std::cerr << "no events from " << server.address << ':' << server.port
                  << ": " << answer.detail << '\n';
        code = exit_unavailable;
    }
    const auto merged = timeline::merge(std::move(parts));
    std::cout
        << (line.as_json ? timeline::to_json(merged) + "\n"
                         : describe_events(merged));
    return code;
}

int show_request(const command_line& line)
{
    std::vector<log_file> logs;
    for (const auto& file : line.files)
        logs.push_back({file, read_file(file)});
    const auto lines = follow(logs, line.id);
    for (const auto& item : lines)
        std::cout << item.source << ": " << item.text << '\n';
    if (!lines.empty())
        return exit_ok;
    std::cerr << "no line names the request " << line.id << '\n';
    return exit_refused;
}

void add_plan_commands(CLI::App& app, command_line& line)
{
    auto* plan = app.add_subcommand("plan", "make, show or confirm a plan");
    plan->require_subcommand(1);
    auto* create = plan->add_subcommand("create", "make a plan from intents");
    create->add_option("-f,--file", line.file, "JSON file, - for stdin")
        ->required();
    create->callback([&] { line.run = [&] { return plan_create(line); }; });
    auto* one = plan->add_subcommand("show", "show a plan");
    one->add_option("id", line.id, "id of the plan")->required();
    one->callback([&] { line.run = [&] { return plan_show(line); }; });
    auto* confirm = plan->add_subcommand("confirm", "put a plan in force");
    confirm->add_option("id", line.id, "id of the plan")->required();
    confirm->callback([&] { line.run = [&] { return plan_confirm(line); }; });
    auto* apply = app.add_subcommand(
        "apply", "make a plan, show it and confirm it after a question");
    apply->add_option("-f,--file", line.file, "JSON file, - for stdin")
        ->required();
    apply->add_flag("--yes", line.yes, "confirm without a question");
    apply->callback([&] { line.run = [&] { return apply_file(line); }; });
}

void add_list_commands(CLI::App& app, command_line& line)
{
    app.add_subcommand("routes", "list the routes")->callback([&] {
        line.run = [&] {
            return show_list(
                line,
                "routes",
                {"id",
                 "kind",
                 "model",
                 "version",
                 "service",
                 "rank",
                 "modified"});
        };
    });
    app.add_subcommand("customers", "list the customers")->callback([&] {
        line.run = [&] {
            return show_list(
                line, "customers", {"id", "weight", "routes", "modified"});
        };
    });
    app.add_subcommand("status", "status of one control node")->callback([&] {
        line.run = [&] {
            return show(
                line,
                call(options_of(line), "GET", "/v1/status"),
                describe_status);
        };
    });
    auto* merged =
        app.add_subcommand("timeline", "merge the events of several processes");
    merged->add_option("--from", line.from, "management endpoints")->required();
    merged->callback([&] { line.run = [&] { return show_timeline(line); }; });
    auto* followed = app.add_subcommand(
        "follow", "lines of several logs that explain a request");
    followed->add_option("request", line.id, "id of the request")->required();
    followed->add_option("logs", line.files, "log files")->required();
    followed->callback([&] { line.run = [&] { return show_request(line); }; });
}

void add_member_commands(CLI::App& app, command_line& line)
{
    auto* members = app.add_subcommand("members", "members of control");
    members->callback([&] {
        if (!line.run)
            line.run = [&] {
                return show_members(
                    line, call(options_of(line), "GET", "/v1/members"));
            };
    });
    auto* add = members->add_subcommand("add", "add a member");
    add->add_option("vm", line.id, "name of the VM")->required();
    add->add_option("--link", line.link, "link endpoint")->required();
    add->add_option("--admin", line.admin, "admin endpoint")->required();
    add->callback([&] { line.run = [&] { return add_member(line); }; });
    auto* remove = members->add_subcommand("remove", "remove a member");
    remove->add_option("vm", line.id, "name of the VM")->required();
    remove->callback([&] {
        line.run = [&] {
            return show_members(
                line,
                call(options_of(line), "DELETE", "/v1/members/" + line.id));
        };
    });
    auto* server = app.add_subcommand("server", "orders to backend servers");
    server->require_subcommand(1);
    auto* drain = server->add_subcommand("drain", "take a server out of use");
    drain->add_option("name", line.id, "name of the server")->required();
    drain->add_flag("--yes", line.yes, "confirm without a question");
    drain->callback([&] { line.run = [&] { return drain_server(line); }; });
}

} // namespace

int run_program(int argc, const char* const* argv)
{
    CLI::App app{"Operator's command line of oleanderhinge."};
    command_line line;
    app.footer(examples);
    app.set_version_flag(
        "--version", std::string("oleanderhinge ") + OLEANDERHINGE_VERSION);
    app.add_option(
        "--control", line.control, "admin endpoints of the control nodes");
    app.add_option(
        "--token-file", line.token_file, "file with the bearer token");
    app.add_flag("--json", line.as_json, "print JSON");
    app.require_subcommand(1);
    app.fallthrough();
    add_plan_commands(app, line);
    add_list_commands(app, line);
    add_member_commands(app, line);
    try {
        app.parse(argc, argv);
        return line.run();
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? exit_ok : exit_usage;
    } catch (const std::exception& e) {
        std::cerr << e.what() << '\n';
        return exit_usage;
    }
}

} // namespace oleanderhinge::admin
