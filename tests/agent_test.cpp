// Guards against agents that run a step or call twice, answer with a false
// verdict, lose tokens, take work while they leave, or carry out old orders.
// The agents, engines and services are real processes; the test plays the entry
// node.
#include "oleanderhinge/net/link_table.hpp"
#include "oleanderhinge/net/udp_endpoint.hpp"
#include "tests/harness/processes.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <gtest/gtest.h>

#include <condition_variable>
#include <csignal>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>

namespace oleanderhinge::tests
{
namespace
{

using namespace std::chrono_literals;

// Upper bound of a wait; a test that passes needs far less.
constexpr auto patience = 20s;
constexpr auto secret = "test-secret";

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

wire::endpoint at(std::uint16_t port)
{
    return {"127.0.0.1", port};
}

// The entry node's side of links and announcements.
class entry_side
{
public:
    entry_side()
        : links(
              io,
              clock,
              make_options(),
              {[](auto, const auto&) {},
               [this](auto, auto m) { this->store(std::move(m)); },
               [](auto, auto, bool) {}})
        , datagrams(
              io,
              clock,
              secret,
              [this](wire::message m, const wire::endpoint& from) {
                  if (auto* a = std::get_if<wire::announcement>(&m))
                      this->on_announcement(std::move(*a), from);
              })
        , port(processes::free_port())
        , guard(boost::asio::make_work_guard(io))
        , thread([this] { this->io.run(); })
    {
        base::handle(
            [&]() -> base::result<bool> {
                BOOST_LEAF_CHECK(this->datagrams.listen(at(this->port)));
                return true;
            },
            [](const base::error& e) {
                ADD_FAILURE() << e.detail;
                return false;
            });
    }

    ~entry_side()
    {
        this->links.shutdown();
        this->datagrams.shutdown();
        this->io.stop();
        this->thread.join();
    }

    // Waits until `found` is true for the received state.
    bool wait_until(const std::function<bool()>& found)
    {
        std::unique_lock lock(this->mutex);
        return this->changed.wait_for(lock, patience, found);
    }

    wire::announcement
    wait_for_state(const std::string& server, wire::server_state state)
    {
        const base::backend_server_id id{server};
        const bool seen = this->wait_until([&] {
            const auto found = this->servers.find(id);
            return found != this->servers.end() && found->second.state == state;
        });
        EXPECT_TRUE(seen) << server << " state " << int(state);
        const std::lock_guard lock(this->mutex);
        return this->servers[id];
    }

    // First message of type T that `accept` takes; it is removed.
    template <class T>
    std::optional<T> wait_for(std::function<bool(const T&)> accept = {})
    {
        std::optional<T> result;
        this->wait_until([&] {
            for (auto i = this->received.begin(); i != this->received.end();
                 ++i) {
                const auto* m = std::get_if<T>(&*i);
                if (m == nullptr || (accept && !accept(*m)))
                    continue;
                result = *m;
                this->received.erase(i);
                return true;
            }
            return false;
        });
        EXPECT_TRUE(result) << "no message of the expected kind";
        return result;
    }

    // Answers announcements of the server with this order from now on.
    void give_order(const wire::server_order& order, std::uint32_t age_ms)
    {
        const std::lock_guard lock(this->mutex);
        this->orders[order.server] = {order, age_ms};
    }

    boost::asio::io_context io;
    timeline::hybrid_clock clock;
    net::link_table links;
    net::udp_endpoint datagrams;
    const std::uint16_t port;
    std::mutex mutex;
    std::map<base::backend_server_id, wire::announcement> servers;

private:
    static net::link_options make_options()
    {
        net::link_options options;
        options.cluster_secret = secret;
        options.self.sender = wire::role::entry;
        options.self.vm = base::vm_id{"entry-test"};
        return options;
    }

    void store(wire::message m)
    {
        const std::lock_guard lock(this->mutex);
        this->received.push_back(std::move(m));
        this->changed.notify_all();
    }

    void on_announcement(wire::announcement a, const wire::endpoint& from)
    {
        wire::announcement_ack ack;
        ack.server = a.server;
        ack.sequence = a.sequence;
        ack.entry_nodes = {at(this->port)};
        {
            const std::lock_guard lock(this->mutex);
            const auto order = this->orders.find(a.server);
            if (order != this->orders.end() &&
                order->second.first.number > a.applied_order) {
                ack.order.push_back(order->second.first);
                ack.config_age_ms = order->second.second;
            }
            this->servers[a.server] = std::move(a);
            this->changed.notify_all();
        }
        this->datagrams.send(from, ack);
    }

    std::condition_variable changed;
    std::vector<wire::message> received;
    std::map<
        base::backend_server_id,
        std::pair<wire::server_order, std::uint32_t>>
        orders;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        guard;
    std::thread thread;
};

constexpr std::uint32_t stages = 3;
constexpr std::uint32_t layers_each = 8;

std::string server_name(std::uint32_t i)
{
    return "server-" + std::to_string(i);
}

// Starts agents with their backend servers.
class fleet
{
public:
    explicit fleet(entry_side& node)
        : entry(node)
    {
    }

    void start_engine(std::uint32_t i, std::vector<std::string> extra = {})
    {
        const auto first = i * layers_each;
        std::vector<std::string> command{
            "model-engine",
            "--listen",
            loopback(this->backend_port(i)),
            "--layers",
            std::to_string(first) + "-" + std::to_string(first + layers_each),
            "--layer-count",
            std::to_string(this->layer_count),
            "--record",
            this->run.path("record-" + std::to_string(i))};
        command.insert(command.end(), extra.begin(), extra.end());
        this->run.start("engine-" + std::to_string(i), command);
    }

    void start_service(std::vector<std::string> extra = {})
    {
        std::vector<std::string> command{
            "plain-service",
            "--listen",
            loopback(this->backend_port(0)),
            "--record",
            this->run.path("record-0")};
        command.insert(command.end(), extra.begin(), extra.end());
        this->run.start("service", command);
    }

    void start_agent(std::uint32_t i, const std::string& server_lines = "")
    {
        const auto name = server_name(i);
        const auto link_port = processes::free_port();
        const auto file = this->run.write(
            name + ".ini",
            "[node]\nvm = vm-" + name +
                "\nregion = scotland\ndata_centre = glasgow\n"
                "cluster_secret = " +
                secret + "\n[agent]\nlinks = " + loopback(link_port) +
                "\nannouncements = " + loopback(processes::free_port()) +
                "\n[entry_nodes]\nseeds = " + loopback(this->entry.port) +
                "\n[management]\nlisten = " + loopback(processes::free_port()) +
                "\n[server]\nname = " + name +
                "\nendpoint = " + loopback(this->backend_port(i)) +
                "\nstep_limit = 500ms\n" + server_lines);
        this->run.start(
            "agent-" + std::to_string(i),
            {"oleanderhinge-agent", "--config", file});
    }

    // Three engines with their agents, serving.
    void start_chain()
    {
        for (std::uint32_t i = 0; i < stages; ++i) {
            this->start_engine(i);
            this->start_agent(i);
        }
        this->connect(stages);
    }

    void connect(std::uint32_t count)
    {
        this->chain.clear();
        for (std::uint32_t i = 0; i < count; ++i) {
            const auto a = this->entry.wait_for_state(
                server_name(i), wire::server_state::serving);
            this->chain.push_back(
                {a.server, a.agent_incarnation, a.agent, a.layers});
            this->link[i] = this->entry.links.connect(a.agent);
        }
    }

    wire::open_attempt message_for(
        std::uint64_t sequence,
        std::uint32_t attempt,
        const std::string& prompt,
        std::vector<std::string> delivered = {})
    {
        wire::open_attempt m;
        m.request = {base::incarnation{7}, sequence};
        m.attempt = base::attempt_number{attempt};
        m.chain = this->chain;
        m.prompt = prompt;
        m.delivered = std::move(delivered);
        m.max_tokens = 100;
        m.budget_ms = 20000;
        m.first_token_budget_ms = 10000;
        return m;
    }

    // Opens the attempt at all stages and starts it.
    void begin(wire::open_attempt m)
    {
        for (std::uint32_t i = 0; i < m.chain.size(); ++i) {
            m.position = i;
            this->entry.links.send(this->link[i], m);
            const auto granted =
                this->entry.wait_for<wire::attempt_granted>([&](const auto& g) {
                    return g.request == m.request && g.position == i;
                });
            ASSERT_TRUE(granted);
        }
        this->entry.links.send(
            this->link[0], wire::start_attempt{m.request, m.attempt});
    }

    std::vector<std::string> read_tokens(const wire::open_attempt& m)
    {
        std::vector<std::string> texts = m.delivered;
        while (true) {
            const auto token = this->entry.wait_for<wire::token>(
                [&](const auto& t) { return t.request == m.request; });
            if (!token)
                return texts;
            EXPECT_EQ(token->index.value(), texts.size());
            EXPECT_EQ(token->attempt, m.attempt);
            texts.push_back(token->text);
            if (token->last)
                return texts;
        }
    }

    void close(const wire::open_attempt& m)
    {
        for (std::uint32_t i = 0; i < m.chain.size(); ++i)
            this->entry.links.send(
                this->link[i], wire::close_attempt{m.request, m.attempt, {}});
    }

    // Lines of a record file, each of which must occur once.
    std::set<std::string> record(std::uint32_t i)
    {
        std::istringstream in(this->run.read("record-" + std::to_string(i)));
        std::set<std::string> lines;
        for (std::string line; std::getline(in, line);)
            EXPECT_TRUE(lines.insert(line).second) << "ran twice: " << line;
        return lines;
    }

    std::uint16_t backend_port(std::uint32_t i)
    {
        auto& chosen = this->ports[i];
        if (chosen == 0)
            chosen = processes::free_port();
        return chosen;
    }

    std::uint32_t layer_count = stages * layers_each;
    entry_side& entry;
    processes run;
    std::vector<wire::stage> chain;
    std::map<std::uint32_t, net::link_id> link;

private:
    std::map<std::uint32_t, std::uint16_t> ports;
};

std::string join(const std::vector<std::string>& parts)
{
    std::string text;
    for (const auto& part : parts)
        text += part;
    return text;
}

TEST(agent, chain_serves_each_request_its_own_whole_answer)
{
    entry_side entry;
    fleet servers(entry);
    servers.start_chain();
    std::vector<wire::open_attempt> requests;
    for (std::uint64_t i = 1; i <= 6; ++i)
        requests.push_back(
            servers.message_for(i, 1, "part number " + std::to_string(i)));
    for (const auto& m : requests)
        servers.begin(m);
    std::size_t tokens = 0;
    for (const auto& m : requests) {
        const auto texts = servers.read_tokens(m);
        tokens += texts.size();
        EXPECT_NE(join(texts).find(m.prompt), std::string::npos) << join(texts);
        servers.close(m);
    }
    // Each layer ran exactly once for each token of each request.
    for (std::uint32_t i = 0; i < stages; ++i)
        EXPECT_EQ(servers.record(i).size(), tokens) << "stage " << i;
}

TEST(agent, second_attempt_resumes_after_the_delivered_tokens)
{
    entry_side entry;
    fleet servers(entry);
    servers.start_chain();
    const auto first = servers.message_for(1, 1, "broken bumper");
    servers.begin(first);
    const auto whole = servers.read_tokens(first);
    ASSERT_GT(whole.size(), 4U);
    const auto second = servers.message_for(
        1, 2, "broken bumper", {whole.begin(), whole.begin() + 3});
    servers.begin(second);
    EXPECT_EQ(servers.read_tokens(second), whole);
}

TEST(agent, engine_faults_end_the_attempt_with_a_true_verdict)
{
    struct fault {
        const char* name;
        std::vector<std::string> engine;
        base::execution expected;
    };
    const fault faults[] = {
        {"hangs at the first step",
         {"--freeze-after", "0"},
         base::execution::may_have_run},
        {"hangs after steps that ran",
         {"--freeze-after", "2"},
         base::execution::ran},
        {"fails at the first step",
         {"--fail-after", "0"},
         base::execution::may_have_run},
        {"fails after steps that ran",
         {"--fail-after", "2"},
         base::execution::ran},
    };
    for (const auto& f : faults) {
        SCOPED_TRACE(f.name);
        entry_side entry;
        fleet servers(entry);
        servers.start_engine(0);
        servers.start_engine(1, f.engine);
        servers.start_engine(2);
        for (std::uint32_t i = 0; i < stages; ++i)
            servers.start_agent(i);
        servers.connect(stages);
        servers.begin(servers.message_for(1, 1, "stuck plunger"));
        const auto failed = entry.wait_for<wire::attempt_failed>();
        ASSERT_TRUE(failed);
        EXPECT_EQ(failed->position, 1U);
        EXPECT_EQ(failed->reason.state, f.expected);
        EXPECT_EQ(failed->reason.code, base::failure_code::server_failed);
    }
}

TEST(agent, lost_engine_is_announced_and_comes_back)
{
    entry_side entry;
    fleet servers(entry);
    servers.start_engine(0);
    servers.start_agent(0);
    entry.wait_for_state(server_name(0), wire::server_state::serving);
    servers.run.kill("engine-0");
    entry.wait_for_state(server_name(0), wire::server_state::starting);
    servers.start_engine(0);
    entry.wait_for_state(server_name(0), wire::server_state::serving);
}

TEST(agent, dead_next_stage_fails_the_attempt)
{
    entry_side entry;
    fleet servers(entry);
    servers.start_chain();
    const auto m = servers.message_for(1, 1, "dead relay");
    servers.run.kill("agent-2");
    for (std::uint32_t i = 0; i < 2; ++i) {
        auto open = m;
        open.position = i;
        entry.links.send(servers.link[i], open);
        ASSERT_TRUE(entry.wait_for<wire::attempt_granted>());
    }
    entry.links.send(
        servers.link[0], wire::start_attempt{m.request, m.attempt});
    const auto failed = entry.wait_for<wire::attempt_failed>();
    ASSERT_TRUE(failed);
    EXPECT_EQ(failed->position, 1U);
    EXPECT_EQ(failed->reason.code, base::failure_code::link_lost);
    EXPECT_EQ(failed->reason.state, base::execution::ran);
}

TEST(agent, leaving_finishes_its_work_and_refuses_new_work)
{
    entry_side entry;
    fleet servers(entry);
    servers.layer_count = layers_each;
    servers.start_engine(0, {"--step-ms", "20"});
    servers.start_agent(0);
    servers.connect(1);
    const auto m = servers.message_for(1, 1, "long report about the cabinet");
    servers.begin(m);
    ASSERT_TRUE(entry.wait_for<wire::token>());
    servers.run.signal("agent-0", SIGTERM);
    entry.wait_for_state(server_name(0), wire::server_state::leaving);
    entry.links.send(servers.link[0], servers.message_for(2, 1, "new"));
    const auto refused = entry.wait_for<wire::attempt_refused>();
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->reason.code, base::failure_code::server_leaving);
    EXPECT_EQ(refused->reason.state, base::execution::not_run);
    const auto last =
        entry.wait_for<wire::token>([](const auto& t) { return t.last; });
    ASSERT_TRUE(last);
    servers.close(m);
    EXPECT_EQ(servers.run.wait("agent-0"), 0);
}

wire::call call_for(const wire::stage& server, std::uint64_t sequence)
{
    wire::call m;
    m.request = {base::incarnation{7}, sequence};
    m.attempt = base::attempt_number{1};
    m.server = server.server;
    m.agent_incarnation = server.agent_incarnation;
    m.method = "POST";
    m.target = "/reserve";
    m.headers = {{"Content-Type", "application/json"}};
    m.body = R"({"part":"coil"})";
    m.budget_ms = 10000;
    return m;
}

constexpr auto service_lines =
    "kind = service\nservice = stores-desk\n[admission]\nlimit = 1\n";

TEST(agent, calls_run_at_most_once)
{
    entry_side entry;
    fleet servers(entry);
    servers.start_service({"--delay-ms", "300"});
    servers.start_agent(0, service_lines);
    servers.connect(1);
    const auto send = [&](const wire::message& m) {
        entry.links.send(servers.link[0], m);
    };
    const auto result_of = [&](std::uint64_t sequence) {
        const auto result = entry.wait_for<wire::call_result>(
            [&](const auto& r) { return r.request.sequence == sequence; });
        return result.value_or(wire::call_result{});
    };
    const auto running = call_for(servers.chain[0], 1);
    const auto queued = call_for(servers.chain[0], 2);
    send(running);
    // Delivered twice while it runs.
    send(running);
    send(queued);
    // One slot is taken, so the second call still waits.
    send(wire::cancel_call{queued.request, queued.attempt});
    const auto cancelled = result_of(2);
    EXPECT_EQ(cancelled.failure.state, base::execution::not_run);
    EXPECT_EQ(cancelled.failure.code, base::failure_code::fenced);
    // A call that already runs is not cut off.
    send(wire::cancel_call{running.request, running.attempt});
    EXPECT_EQ(result_of(1).answer.status, 201U);
    // Delivered again after its end, and after it was cancelled.
    send(running);
    EXPECT_EQ(result_of(1).answer.status, 201U);
    send(queued);
    EXPECT_EQ(result_of(2).failure.state, base::execution::not_run);
    EXPECT_EQ(servers.record(0).size(), 1U);
    servers.run.kill("service");
    send(call_for(servers.chain[0], 3));
    EXPECT_EQ(result_of(3).failure.state, base::execution::not_run);
}

wire::server_order order_with(std::uint64_t number, const std::string& model)
{
    wire::server_order order;
    order.server = base::backend_server_id{server_name(0)};
    order.model = base::model_id{model};
    order.version = "2";
    order.layers = {base::layer_index{0}, base::layer_index{layers_each}};
    order.number = base::fencing_number{number};
    return order;
}

// Orders reach engines that keep fencing numbers and ones that ignore them; the
// agent is restarted in between.
TEST(agent, orders_are_carried_out_in_order_of_their_numbers)
{
    for (const std::string honours : {"yes", "no"}) {
        SCOPED_TRACE("engine honours fencing numbers: " + honours);
        entry_side entry;
        fleet servers(entry);
        servers.start_engine(0, {"--honour-fencing", honours});
        servers.start_agent(0);
        entry.wait_for_state(server_name(0), wire::server_state::serving);
        const auto wait_for_model = [&](const std::string& model) {
            EXPECT_TRUE(entry.wait_until([&] {
                const auto& a =
                    entry.servers[base::backend_server_id{server_name(0)}];
                return a.model.value() == model &&
                       a.state == wire::server_state::serving;
            })) << model;
        };
        // The configuration of the sender is too old.
        entry.give_order(order_with(9, "old-configuration"), 6000);
        const auto before =
            entry.wait_for_state(server_name(0), wire::server_state::serving);
        EXPECT_TRUE(entry.wait_until([&] {
            return entry.servers[before.server].sequence > before.sequence + 1;
        }));
        entry.give_order(order_with(5, "model-five"), 100);
        wait_for_model("model-five");
        // An older order arrives late, for example from a registrar that was
        // cut off; it must not be carried out.
        entry.give_order(order_with(4, "model-four"), 100);
        servers.run.kill("agent-0");
        entry.give_order(order_with(6, "model-six"), 100);
        servers.start_agent(0);
        wait_for_model("model-six");
        const auto record = servers.run.read("record-0");
        EXPECT_EQ(record, "order 5 model-five\norder 6 model-six\n");
    }
}

TEST(agent, draining_order_stops_and_resumes_the_intake)
{
    entry_side entry;
    fleet servers(entry);
    servers.start_engine(0);
    servers.start_agent(0);
    entry.wait_for_state(server_name(0), wire::server_state::serving);
    auto order = order_with(3, "");
    order.draining = true;
    entry.give_order(order, 0);
    entry.wait_for_state(server_name(0), wire::server_state::leaving);
    // The state survives a restart of the agent.
    servers.run.kill("agent-0");
    servers.start_agent(0);
    entry.wait_until([&] { return entry.servers[order.server].sequence < 3; });
    entry.wait_for_state(server_name(0), wire::server_state::leaving);
    order.draining = false;
    order.number = base::fencing_number{4};
    entry.give_order(order, 0);
    entry.wait_for_state(server_name(0), wire::server_state::serving);
}

} // namespace
} // namespace oleanderhinge::tests
