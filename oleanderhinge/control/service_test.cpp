#include "oleanderhinge/control/service.hpp"

#include "oleanderhinge/control/peer_table.hpp"
#include "oleanderhinge/control/settings.hpp"
#include "oleanderhinge/control/status_watch.hpp"
#include "oleanderhinge/net/http_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/use_future.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <condition_variable>
#include <cstdlib>
#include <fstream>
#include <future>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>

namespace oleanderhinge::control
{

namespace
{

namespace asio = boost::asio;
using replica::propose_state;
using testing::HasSubstr;

// Timeout for events that must happen; a passing test never reaches it.
constexpr auto wait_timeout = std::chrono::seconds(20);
constexpr const char* token = "operator-token-0001";
constexpr const char* secret = "a secret of the test cluster";

// The committed log that all nodes of a test share, and its faults.
struct shared_log {
    std::mutex mutex;
    std::vector<std::string> entries;
    std::vector<replica::member> members;
    std::size_t leader = 0;
    bool quorum = true;
    // Followers have committed all that the leader has.
    bool followers_catch_up = true;
    // The next proposal is committed, but its answer is lost.
    bool lose_answer = false;
};

class fake_log final : public replica::replicated_log
{
public:
    fake_log(
        shared_log& log_in,
        std::size_t index_in,
        replica::state_machine machine_in)
        : shared(log_in)
        , index(index_in)
        , machine(std::move(machine_in))
    {
    }

    void propose(
        std::string command,
        std::function<void(replica::propose_result)> done) override
    {
        replica::propose_result result{propose_state::not_leader, {}, {}};
        {
            const std::lock_guard lock(this->shared.mutex);
            if (!this->shared.quorum) {
                result.state = propose_state::unavailable;
            } else if (this->shared.leader == this->index) {
                this->shared.entries.push_back(std::move(command));
                result.reply = this->catch_up();
                result.state = std::exchange(this->shared.lose_answer, false)
                                   ? propose_state::unknown
                                   : propose_state::applied;
            }
        }
        done(std::move(result));
    }
    void
    read_barrier(std::function<void(replica::barrier_result)> done) override
    {
        bool ok = false;
        {
            const std::lock_guard lock(this->shared.mutex);
            ok = this->shared.quorum && this->shared.leader == this->index;
            this->catch_up();
        }
        done({ok});
    }
    void add_member(
        replica::member,
        std::function<void(replica::propose_result)> done) override
    {
        done({propose_state::applied, {}, {}});
    }
    void remove_member(
        base::vm_id, std::function<void(replica::propose_result)> done) override
    {
        done({propose_state::applied, {}, {}});
    }
    replica::log_status status() const override
    {
        const std::lock_guard lock(this->shared.mutex);
        replica::log_status now;
        now.role = this->shared.leader == this->index
                       ? replica::member_role::leader
                       : replica::member_role::follower;
        now.current_term = base::term{this->shared.leader + 1};
        now.members = this->shared.members;
        if (this->shared.leader < now.members.size())
            now.leader = now.members[this->shared.leader].vm;
        now.committed = base::log_index{this->shared.entries.size()};
        now.applied = base::log_index{this->applied};
        now.last_index = now.committed;
        now.has_quorum = this->shared.quorum;
        now.has_caught_up = this->shared.followers_catch_up;
        now.lease_age_ms = 3;
        return now;
    }

private:
    // Applies all committed entries and returns the last reply. The caller
    // holds the lock.
    std::string catch_up()
    {
        std::string reply;
        while (this->applied < this->shared.entries.size()) {
            const auto& entry = this->shared.entries[this->applied];
            ++this->applied;
            reply = this->machine.apply(base::log_index{this->applied}, entry);
        }
        return reply;
    }

    shared_log& shared;
    const std::size_t index;
    const replica::state_machine machine;
    std::size_t applied = 0;
};

// The link of an entry node to a control node.
class entry_link
{
public:
    entry_link(
        asio::io_context& io,
        const wire::endpoint& to,
        wire::role sender = wire::role::entry)
        : links(
              io,
              clock,
              options(sender),
              {.opened = [](net::link_id, const wire::hello&) {},
               .received =
                   [this](net::link_id, wire::message content) {
                       const std::lock_guard lock(this->mutex);
                       this->messages.push_back(std::move(content));
                       this->arrived.notify_all();
                   },
               .closed = [](net::link_id, net::close_reason, bool) {}})
        , id(links.connect(to))
    {
    }

    void send(const wire::message& content)
    {
        EXPECT_EQ(
            this->links.send(this->id, content), net::send_status::queued);
    }

    // The next message of type `T`, skipping others.
    template <class T>
    T next()
    {
        std::unique_lock lock(this->mutex);
        const bool found = this->arrived.wait_for(lock, wait_timeout, [this] {
            while (this->seen < this->messages.size()) {
                if (std::holds_alternative<T>(this->messages[this->seen++]))
                    return true;
            }
            return false;
        });
        EXPECT_TRUE(found) << "message not received in time";
        return found ? std::get<T>(this->messages[this->seen - 1]) : T{};
    }

    // Messages of type `T` so far.
    template <class T>
    std::size_t count()
    {
        const std::lock_guard lock(this->mutex);
        return std::size_t(std::count_if(
            this->messages.begin(), this->messages.end(), [](const auto& item) {
                return std::holds_alternative<T>(item);
            }));
    }

private:
    static net::link_options options(wire::role sender)
    {
        net::link_options made;
        made.self.sender = sender;
        made.cluster_secret = secret;
        made.self.vm = base::vm_id{"entry-1"};
        return made;
    }

    timeline::hybrid_clock clock;
    std::mutex mutex;
    std::condition_variable arrived;
    std::vector<wire::message> messages;
    std::size_t seen = 0;
    net::link_table links;
    const net::link_id id;
};

struct answer {
    unsigned status = 0;
    std::string body;
    std::string location;
};

class cluster
{
public:
    explicit cluster(
        std::size_t size, std::size_t fanout = 8, bool self_managed = false)
    {
        for (std::size_t i = 0; i < size; ++i) {
            this->shared.members.push_back(
                {base::vm_id{"control-" + std::to_string(i + 1)}, {}, {}});
            this->nodes.push_back(this->make_node(i, fanout, self_managed));
        }
        for (std::size_t i = 0; i < size; ++i) {
            const auto open = this->nodes[i]->start().value();
            const std::lock_guard lock(this->shared.mutex);
            this->shared.members[i].link = open.link;
            this->shared.members[i].admin = open.admin;
        }
        this->runner = std::jthread([this] { this->io.run(); });
    }
    ~cluster()
    {
        for (auto& node : this->nodes)
            node->stop();
        this->io.stop();
        this->runner.join();
    }

    answer call(
        std::size_t node,
        const std::string& method,
        const std::string& target,
        const std::string& body = {},
        const std::string& bearer = token)
    {
        net::http_call request{
            method, target, {{"Authorization", "Bearer " + bearer}}, body};
        net::http_client client(this->io, 0);
        auto outcome = asio::co_spawn(
                           this->io,
                           client.call(
                               this->member(node).admin,
                               std::move(request),
                               wait_timeout,
                               net::reuse::never),
                           asio::use_future)
                           .get();
        EXPECT_EQ(outcome.failure, net::http_failure::none) << outcome.detail;
        answer result{outcome.answer.status, outcome.answer.body, {}};
        for (const auto& field : outcome.answer.headers)
            if (field.name == "Location")
                result.location = field.value;
        return result;
    }
    answer plan(const std::string& id, const std::string& route)
    {
        return this->call(
            0,
            "POST",
            "/v1/plans",
            R"({"id":")" + id + R"(","intents":[{"op":"put_route","route":)" +
                R"({"id":")" + route +
                R"(","model":"hinge-llm","layer_count":32}}]})");
    }
    void confirm_new_plan(const std::string& id, const std::string& route)
    {
        EXPECT_EQ(this->plan(id, route).status, 201U);
        EXPECT_EQ(
            this->call(0, "POST", "/v1/plans/" + id + "/confirm").status, 200U);
    }
    // Whether the links between a node and another member are open, in both
    // directions.
    bool is_connected(std::size_t node, const std::string& other)
    {
        const auto events = this->call(node, "GET", "/v1/events").body;
        const auto first = events.find(other);
        return first != events.npos &&
               events.find(other, first + 1) != events.npos;
    }
    replica::member member(std::size_t node)
    {
        const std::lock_guard lock(this->shared.mutex);
        return this->shared.members[node];
    }
    // Tells a node that a server has ended; whether it acknowledged that.
    bool end_server(
        std::size_t node, const std::string& id, std::uint64_t started_ms = 5)
    {
        wire::server_record notice;
        notice.id = base::backend_server_id{id};
        notice.started_ms = started_ms;
        notice.state = wire::reported_state::gone;
        std::promise<bool> acknowledged;
        this->offered.at(node).end_server(
            notice, [&](bool done) { acknowledged.set_value(done); });
        return acknowledged.get_future().get();
    }
    // Ends that the log holds.
    std::size_t recorded_ends()
    {
        std::size_t count = 0;
        this->change_log([&](const shared_log& log) {
            for (const auto& entry : log.entries)
                count +=
                    std::holds_alternative<control_state::record_ended_server>(
                        control_state::decode_command(entry).value());
        });
        return count;
    }
    template <class Function>
    void change_log(Function&& change)
    {
        const std::lock_guard lock(this->shared.mutex);
        change(this->shared);
    }

    asio::io_context io;

private:
    std::unique_ptr<service>
    make_node(std::size_t index, std::size_t fanout, bool self_managed)
    {
        service_options options;
        options.link.cluster_secret = secret;
        options.link.self.sender = wire::role::control;
        options.link.self.vm = this->shared.members[index].vm;
        for (auto* local :
             {&options.link_listen,
              &options.admin_listen,
              &options.management_listen})
            *local = {"127.0.0.1", 0};
        options.admin_token = token;
        options.fanout = fanout;
        options.self_managed = self_managed;
        options.confirm_interval = std::chrono::milliseconds(20);
        options.config_lease = std::chrono::milliseconds(100);
        options.wall_ms = [] { return 1'700'000'000'000; };
        options.new_plan_id = [] { return std::string("chosen"); };
        options.extend_admin = [this](operations own, net::http_handler admin) {
            this->offered.push_back(std::move(own));
            return admin;
        };
        return std::make_unique<service>(
            this->io,
            this->clock,
            std::move(options),
            [this,
             index](replica::state_machine machine, const consensus_sender&) {
                return consensus_port{
                    .log = std::make_unique<fake_log>(
                        this->shared, index, std::move(machine)),
                    .receive = {},
                    .transfer_leadership = {}};
            });
    }

    timeline::hybrid_clock clock;
    shared_log shared;
    // What each node offers to an adapter.
    std::vector<operations> offered;
    std::vector<std::unique_ptr<service>> nodes;
    asio::executor_work_guard<asio::io_context::executor_type> work =
        asio::make_work_guard(io);
    std::jthread runner;
};

wire::claim_request claim_of(std::uint64_t owner, std::uint8_t digest = 1)
{
    return {
        owner,
        base::customer_id{"stores"},
        base::route_id{"book"},
        "key-1",
        {digest},
        {base::incarnation{7}, owner}};
}

} // namespace

// Guards against changes of the admin API that break operators' scripts. Covers
// plans, conflicts of concurrent operators, confirmation, and repeated requests
// after a lost answer and, through another node, after a change of leader.
TEST(admin_session, matches_the_golden_file)
{
    cluster group(2);
    std::ostringstream session;
    const auto step = [&](std::size_t node,
                          const std::string& method,
                          const std::string& target,
                          const std::string& body = {}) {
        const auto got = group.call(node, method, target, body);
        session << method << ' ' << target << ' ' << body << '\n'
                << got.status << ' ' << got.body
                << (got.body.ends_with('\n') ? "" : "\n");
    };
    const std::string first =
        R"({"id":"a","intents":[{"op":"put_route","route":{"id":"diagnose",)"
        R"("model":"hinge-llm","layer_count":32,"rank":"urgent"}}]})";
    const std::string second =
        R"({"id":"b","intents":[{"op":"put_route","route":{"id":"diagnose",)"
        R"("model":"hinge-llm","layer_count":48}}]})";
    step(0, "POST", "/v1/plans", first);
    step(0, "POST", "/v1/plans", second);
    step(0, "GET", "/v1/plans/b");
    group.change_log([](shared_log& log) { log.lose_answer = true; });
    step(0, "POST", "/v1/plans/a/confirm");
    step(0, "POST", "/v1/plans/a/confirm");
    step(0, "POST", "/v1/plans/b/confirm");
    group.change_log([](shared_log& log) { log.leader = 1; });
    step(1, "POST", "/v1/plans/a/confirm");
    step(1, "POST", "/v1/plans/b/confirm");
    step(1, "GET", "/v1/routes");
    step(
        1,
        "POST",
        "/v1/plans",
        R"({"intents":[{"op":"put_shares","shares":{"urgent":99,"x":1}}]})");
    step(1, "POST", "/v1/plans/none/confirm");
    const std::string path = std::string(OLEANDERHINGE_SOURCE_DIR) +
                             "/oleanderhinge/control/testdata/"
                             "admin_session.golden";
    if (std::getenv("OLEANDERHINGE_UPDATE_GOLDEN") != nullptr)
        std::ofstream(path) << session.str();
    std::ostringstream golden;
    golden << std::ifstream(path).rdbuf();
    EXPECT_EQ(session.str(), golden.str());
}

// Guards against a follower that answers in place of the leader, and against a
// status that does not show the loss of the quorum.
TEST(admin_api, only_the_leader_answers_and_the_status_shows_the_quorum)
{
    cluster group(2);
    EXPECT_EQ(group.call(0, "GET", "/v1/routes", "", "wrong").status, 401U);
    const auto moved = group.call(1, "GET", "/v1/routes");
    EXPECT_EQ(moved.status, 307U);
    EXPECT_EQ(
        moved.location,
        "http://127.0.0.1:" + std::to_string(group.member(0).admin.port) +
            "/v1/routes");
    group.change_log([](shared_log& log) { log.quorum = false; });
    for (const std::size_t node : {0U, 1U}) {
        const auto refused = group.call(node, "GET", "/v1/routes");
        EXPECT_EQ(refused.status, 503U);
        EXPECT_THAT(refused.body, HasSubstr(R"("code":"no_quorum")"));
        EXPECT_THAT(refused.body, HasSubstr(R"("execution":"not_run")"));
        const auto status = group.call(node, "GET", "/v1/status");
        EXPECT_EQ(status.status, 200U);
        EXPECT_THAT(status.body, HasSubstr(R"("state":"no quorum")"));
    }
}

struct bad_body {
    const char* body;
    const char* message;
};

// Guards against malformed bodies that crash the daemon or are accepted in
// part.
TEST(admin_api, refuses_malformed_bodies)
{
    const std::vector<bad_body> table{
        {"", "body: "},
        {"[1]", "body: must be a JSON object"},
        {"{}", "intents is missing, must be a list"},
        {R"({"intents":[7]})", "intents[0]: must be an object"},
        {R"({"intents":[]})", "the list has 0 entries"},
        {R"({"intents":[{"op":"put"}]})", "op is 'put', must be put_route"},
        {R"({"intents":[{"op":"put_route"}]})", "route is missing"},
        {R"({"intents":[{"op":"put_route","route":3}]})",
         "route is 3, must be an object"},
        {R"({"intents":[{"op":"put_route","route":{"layer_count":-1}}]})",
         "layer_count is -1, must be an integer from 0"},
        {R"({"intents":[{"op":"put_route","route":{"rank":"hot"}}]})",
         "must be one of urgent, standard, deferrable"},
        {R"({"intents":[{"op":"put_customer","customer":{"routes":"a"}}]})",
         "must be a list of strings"},
        {R"({"intents":[{"op":"put_shares","shares":{"urgnt":1}}]})",
         "'urgnt' is no member of this object"},
    };
    cluster group(1);
    for (const auto& row : table) {
        const auto got = group.call(0, "POST", "/v1/plans", row.body);
        EXPECT_EQ(got.status, 400U) << row.body;
        // Quotes inside the JSON string are escaped.
        EXPECT_THAT(got.body, HasSubstr(row.message)) << row.body;
    }
    EXPECT_EQ(group.call(0, "PUT", "/v1/plans", "{}").status, 404U);
}

// Guards against subscribers that miss a change, receive one twice, or receive
// a confirmation of a revision that they do not have.
TEST(feed, pushes_changes_and_confirms_them)
{
    cluster group(1);
    group.confirm_new_plan("p1", "a");
    entry_link entry(group.io, group.member(0).link);
    entry.send(wire::subscribe{});
    const auto whole = entry.next<wire::config_update>();
    ASSERT_EQ(whole.full.size(), 1U);
    EXPECT_EQ(whole.to, base::revision{1});
    EXPECT_EQ(entry.next<wire::config_confirm>().at, base::revision{1});
    group.confirm_new_plan("p2", "b");
    const auto delta = entry.next<wire::config_update>();
    EXPECT_EQ(delta.from, base::revision{1});
    EXPECT_EQ(delta.to, base::revision{2});
    EXPECT_EQ(delta.changes.size(), 1U);
    EXPECT_EQ(entry.next<wire::config_confirm>().at, base::revision{2});
}

// Guards against a node that confirms a configuration without a quorum.
TEST(feed, confirms_nothing_without_quorum_and_redirects_above_the_fanout)
{
    cluster group(2, 1);
    entry_link first(group.io, group.member(0).link);
    first.send(wire::subscribe{});
    first.next<wire::config_confirm>();
    entry_link second(group.io, group.member(0).link);
    second.send(wire::subscribe{});
    EXPECT_THAT(
        second.next<wire::subscribe_redirect>().parents,
        testing::ElementsAre(group.member(1).link));
    group.change_log([](shared_log& log) { log.quorum = false; });
    // After the lease, the subscriber is redirected to another node. Earlier
    // confirmations may still arrive first.
    first.next<wire::subscribe_redirect>();
}

// Guards against a follower that lags behind its leader and confirms the
// revision that it has as the newest: a gateway that has just started would
// serve with it.
TEST(feed, a_follower_that_lags_confirms_nothing)
{
    cluster group(2);
    group.change_log([](shared_log& log) { log.followers_catch_up = false; });
    entry_link entry(group.io, group.member(1).link);
    entry.send(wire::subscribe{});
    entry.next<wire::config_update>();
    group.change_log([](shared_log& log) { log.quorum = false; });
    entry.next<wire::subscribe_redirect>();
    EXPECT_EQ(entry.count<wire::config_confirm>(), 0U);
}

// Guards against gateways that are redirected and never get a table: of 105,
// each member of the group served 64.
TEST(feed, every_gateway_of_a_self_managed_group_is_served)
{
    cluster group(1, 1, true);
    entry_link first(group.io, group.member(0).link);
    first.send(wire::subscribe{});
    first.next<wire::config_update>();
    entry_link second(group.io, group.member(0).link);
    second.send(wire::subscribe{});
    EXPECT_EQ(second.next<wire::config_update>().full.size(), 1U);
    second.next<wire::config_confirm>();
}

// Guards against a member that knows only the servers that report to it: it
// would plan the layers of all others anew as leader.
TEST(feed, a_member_that_connects_is_sent_all_servers)
{
    cluster group(1);
    entry_link reporter(group.io, group.member(0).link, wire::role::control);
    wire::server_record record;
    record.id = base::backend_server_id{"a"};
    record.service = "chat";
    reporter.send(wire::server_batch{{record}});
    reporter.next<wire::server_batch>();
    // Another one, after the record has arrived.
    while (!testing::Test::HasFailure()) {
        entry_link other(group.io, group.member(0).link, wire::role::control);
        const auto batch = other.next<wire::server_batch>();
        if (batch.records.empty())
            continue;
        EXPECT_EQ(batch.records.front().id, record.id);
        break;
    }
}

// Guards against an end that is acknowledged while it would be lost with the
// processes of control: the server exits, and a late report brings it back.
TEST(ended_servers, an_end_is_acknowledged_once_the_log_holds_it)
{
    cluster group(1);
    group.change_log([](shared_log& log) { log.quorum = false; });
    EXPECT_FALSE(group.end_server(0, "desk"));
    EXPECT_EQ(group.recorded_ends(), 0U);
    group.change_log([](shared_log& log) { log.quorum = true; });
    EXPECT_TRUE(group.end_server(0, "desk"));
    // Told once more, since the server did not get the answer.
    EXPECT_TRUE(group.end_server(0, "desk"));
    EXPECT_EQ(group.recorded_ends(), 1U);
}

// Guards against a record that also ends the next process under the id, as
// nothing tells the two apart.
TEST(ended_servers, an_end_without_a_start_is_not_recorded)
{
    cluster group(1);
    EXPECT_TRUE(group.end_server(0, "desk", 0));
    EXPECT_EQ(group.recorded_ends(), 0U);
}

// Guards against an end that only the member knows to which it was told.
TEST(ended_servers, the_leader_records_an_end_that_another_member_was_told)
{
    cluster group(1);
    entry_link other(group.io, group.member(0).link, wire::role::control);
    wire::server_record notice;
    notice.id = base::backend_server_id{"desk"};
    notice.started_ms = 5;
    notice.state = wire::reported_state::gone;
    other.send(wire::server_batch{{notice}});
    const auto limit = std::chrono::steady_clock::now() + wait_timeout;
    while (group.recorded_ends() == 0 &&
           std::chrono::steady_clock::now() < limit)
        group.call(0, "GET", "/v1/status");
    EXPECT_EQ(group.recorded_ends(), 1U);
}

// Names of other writers make the records of all servers larger than a message
// may be. Guards against a list that closes the link of each gateway that asks
// for it, again and again.
TEST(feed, a_list_larger_than_a_message_reaches_gateways_and_members)
{
    cluster group(1, 8, true);
    entry_link reporter(group.io, group.member(0).link, wire::role::control);
    constexpr std::size_t count = 5000;
    const std::string name(256, 'n');
    for (std::size_t i = 0; i < count;) {
        wire::server_batch batch;
        for (; batch.records.size() < 500; ++i) {
            wire::server_record record;
            record.id =
                base::backend_server_id{name.substr(8) + std::to_string(i)};
            record.service = record.kind = name;
            record.data_centre = base::data_centre_id{name};
            batch.records.push_back(std::move(record));
        }
        reporter.send(batch);
    }
    entry_link witness(group.io, group.member(0).link);
    witness.send(wire::subscribe{});
    std::set<base::backend_server_id> known;
    while (known.size() < count && !testing::Test::HasFailure())
        for (const auto& record : witness.next<wire::server_batch>().records)
            known.insert(record.id);
    // Both get the whole list when they connect.
    for (const auto role : {wire::role::entry, wire::role::control}) {
        entry_link late(group.io, group.member(0).link, role);
        if (role == wire::role::entry)
            late.send(wire::subscribe{});
        known.clear();
        while (known.size() < count && !testing::Test::HasFailure())
            for (const auto& record : late.next<wire::server_batch>().records)
                known.insert(record.id);
        EXPECT_EQ(known.size(), count);
    }
}

// Servers crash on a prompt while control has no leader. Guards against crashes
// that stay with the gateway that saw them, and against a gateway that connects
// later and does not learn of them.
TEST(feed, evidence_of_crashes_reaches_all_gateways_without_a_leader)
{
    cluster group(1, 8, true);
    group.change_log([](shared_log& log) { log.quorum = false; });
    entry_link first(group.io, group.member(0).link);
    first.send(wire::subscribe{});
    first.next<wire::control_group>();
    entry_link second(group.io, group.member(0).link);
    second.send(wire::subscribe{});
    second.next<wire::control_group>();
    const wire::crash_evidence seen{
        {{base::prompt_part{1}, {base::prompt_part{2}}, {"10.0.0.1", 80}, 0}},
        {}};
    first.send(seen);
    const auto relayed = second.next<wire::crash_evidence>();
    ASSERT_EQ(relayed.crashes.size(), 1U);
    EXPECT_EQ(relayed.crashes[0].shared, seen.crashes[0].shared);
    entry_link late(group.io, group.member(0).link);
    EXPECT_EQ(late.next<wire::crash_evidence>().crashes.size(), 1U);
}

// Evidence from another member goes to gateways only. Guards against messages
// that circulate among the members.
TEST(feed, evidence_of_a_member_is_not_sent_to_members)
{
    cluster group(2, 8, true);
    // A link that opens later carries all evidence, also to a member.
    while (!testing::Test::HasFailure() && !group.is_connected(0, "control-2"))
        std::this_thread::yield();
    entry_link gateway(group.io, group.member(0).link);
    gateway.send(wire::subscribe{});
    gateway.next<wire::control_group>();
    entry_link member(group.io, group.member(0).link, wire::role::control);
    member.send(wire::crash_evidence{
        {{base::prompt_part{1}, {base::prompt_part{2}}, {"10.0.0.1", 80}, 0}},
        {}});
    gateway.next<wire::crash_evidence>();
    // The other members have sent all that they know when a gateway connects.
    entry_link elsewhere(group.io, group.member(1).link);
    elsewhere.send(wire::subscribe{});
    elsewhere.next<wire::control_group>();
    EXPECT_EQ(elsewhere.count<wire::crash_evidence>(), 0U);
}

// Guards against a limit that only the gateway knows that got the answer, also
// one that connects later or when another node begins to lead.
TEST(limits, a_statement_reaches_the_other_gateways)
{
    cluster group(1, 8, true);
    entry_link first(group.io, group.member(0).link);
    entry_link second(group.io, group.member(0).link);
    first.next<wire::control_group>();
    second.next<wire::control_group>();
    const base::backend_server_id id{"a"};
    const auto wait_for = [](entry_link& gateway,
                             std::optional<double> per_second) {
        while (!testing::Test::HasFailure()) {
            const auto limits = gateway.next<wire::server_limits>();
            if (!limits.items.empty() &&
                limits.items[0].per_second == per_second)
                break;
        }
    };
    first.send(wire::server_limits{{{id, 7, 3.0, 0}}});
    const auto relayed = second.next<wire::server_limits>();
    ASSERT_EQ(relayed.items.size(), 1U);
    EXPECT_EQ(relayed.items[0].server, id);
    EXPECT_EQ(relayed.items[0].started_ms, 7U);
    EXPECT_EQ(relayed.items[0].per_second, 3.0);
    second.send(wire::server_limits{{{id, 7, std::nullopt, 0}}});
    wait_for(first, std::nullopt);
    group.change_log([](shared_log& log) { log.quorum = false; });
    while (!testing::Test::HasFailure() &&
           !first.next<wire::control_group>().members.empty())
        ;
    // The node has seen the change of the quorum.
    first.next<wire::control_group>();
    const auto before = first.count<wire::server_limits>();
    second.send(wire::server_limits{{{id, 7, 5.0, 0}}});
    first.next<wire::control_group>();
    first.next<wire::control_group>();
    EXPECT_EQ(first.count<wire::server_limits>(), before);
    entry_link late(group.io, group.member(0).link);
    wait_for(late, 5.0);
    group.change_log([](shared_log& log) { log.quorum = true; });
    wait_for(first, 5.0);
}

// Guards against permits for gateways without requests, and against permits of
// a node that has lost its quorum: another one may issue them then.
TEST(limits, permits_reach_the_gateway_with_demand_and_none_without_quorum)
{
    cluster group(1, 8, true);
    entry_link reporter(group.io, group.member(0).link, wire::role::control);
    wire::server_record record;
    record.id = base::backend_server_id{"a"};
    record.service = "chat";
    record.started_ms = 7;
    reporter.send(wire::server_batch{{record}});
    entry_link idle(group.io, group.member(0).link);
    entry_link busy(group.io, group.member(0).link);
    const auto ask = [&] {
        busy.send(wire::server_limits{{{record.id, 7, 1000.0, 0}}});
        busy.send(wire::permit_demand{{{"chat", 10}}});
        idle.send(wire::permit_demand{{{"other", 10}}});
    };
    // Each message follows ticks: the group is sent at most once in a tick.
    const auto ask_through_ticks = [&](std::size_t messages) {
        for (std::size_t i = 0; i < messages; ++i) {
            ask();
            busy.next<wire::control_group>();
        }
    };
    ask();
    // The first ones may be empty.
    auto grant = busy.next<wire::permit_grant>();
    while (grant.items.empty() && !testing::Test::HasFailure())
        grant = busy.next<wire::permit_grant>();
    ASSERT_EQ(grant.items.size(), 1U);
    EXPECT_EQ(grant.items[0].server, record.id);
    EXPECT_EQ(grant.items[0].started_ms, 7U);
    EXPECT_GT(grant.items[0].permits, 0U);
    group.change_log([](shared_log& log) { log.quorum = false; });
    // One may have been sent before the change.
    ask_through_ticks(2);
    const auto granted = busy.count<wire::permit_grant>();
    ask_through_ticks(2);
    EXPECT_EQ(busy.count<wire::permit_grant>(), granted);
    group.change_log([](shared_log& log) { log.quorum = true; });
    ask();
    busy.next<wire::permit_grant>();
    // Empty ones show that there is a leader.
    EXPECT_GT(idle.count<wire::permit_grant>(), 0U);
    for (auto left = idle.count<wire::permit_grant>(); left > 0; --left)
        EXPECT_TRUE(idle.next<wire::permit_grant>().items.empty());
}

// Guards against two owners of one call, with claims sent over links.
TEST(claims, race_resend_and_outcome)
{
    cluster group(2);
    entry_link entry(group.io, group.member(0).link);
    const auto state = [&](const wire::claim_request& request) {
        entry.send(request);
        return entry.next<wire::claim_reply>().state;
    };
    group.change_log([](shared_log& log) { log.lose_answer = true; });
    EXPECT_EQ(state(claim_of(1)), wire::claim_state::unavailable);
    EXPECT_EQ(state(claim_of(1)), wire::claim_state::granted);
    EXPECT_EQ(state(claim_of(2)), wire::claim_state::in_progress);
    EXPECT_EQ(state(claim_of(2, 9)), wire::claim_state::digest_mismatch);
    wire::outcome_report report;
    report.customer = base::customer_id{"stores"};
    report.route = base::route_id{"book"};
    report.key = "key-1";
    report.request = {base::incarnation{7}, 1};
    report.failure.state = base::execution::ran;
    report.answer.body = "booked";
    entry.send(report);
    EXPECT_TRUE(entry.next<wire::outcome_ack>().stored);
    entry.send(claim_of(2));
    EXPECT_EQ(entry.next<wire::claim_reply>().answer.body, "booked");
}

// Guards against a follower whose refusal tells an entry node that the claim
// may have been recorded.
TEST(claims, follower_refuses_and_names_the_leader)
{
    cluster group(2);
    entry_link entry(group.io, group.member(1).link);
    entry.send(claim_of(1));
    const auto refused = entry.next<wire::claim_reply>();
    EXPECT_EQ(refused.state, wire::claim_state::unavailable);
    EXPECT_EQ(refused.failure.state, base::execution::not_run);
    EXPECT_THAT(
        entry.next<wire::subscribe_redirect>().parents,
        testing::ElementsAre(group.member(0).link));
}

// Guards against too many connection attempts to an unreachable member, and
// against links to removed members.
TEST(peers, back_off_grows_and_removed_members_are_dropped)
{
    peer_table table{.self = base::vm_id{"a"}, .peers = {}};
    base::random_source random{1};
    const std::vector<replica::member> members{
        {base::vm_id{"a"}, {"127.0.0.1", 1}, {}},
        {base::vm_id{"b"}, {"127.0.0.1", 2}, {}}};
    std::vector<net::link_id> dropped;
    base::time_point now{};
    base::duration waited{};
    for (std::uint64_t i = 1; i <= 8; ++i) {
        ASSERT_EQ(due(table, members, now, dropped).size(), 1U);
        connecting(table, base::vm_id{"b"}, net::link_id{i});
        EXPECT_TRUE(due(table, members, now, dropped).empty());
        closed(table, net::link_id{i}, now, random);
        waited = table.peers.begin()->second.next_attempt - now;
        EXPECT_LE(waited, largest_back_off);
        now += waited;
    }
    EXPECT_GE(waited, largest_back_off / 2);
    connecting(table, base::vm_id{"b"}, net::link_id{9});
    EXPECT_FALSE(opened(table, net::link_id{9}, base::vm_id{"c"}));
    EXPECT_TRUE(opened(table, net::link_id{9}, base::vm_id{"b"}));
    EXPECT_EQ(link_to(table, base::vm_id{"b"}), net::link_id{9});
    due(table, {}, now, dropped);
    EXPECT_THAT(dropped, testing::ElementsAre(net::link_id{9}));
}

// Guards against malformed member lists that would form a wrong group.
TEST(settings, refuses_malformed_members)
{
    const auto good = parse_members(
        "a=127.0.0.1:1/127.0.0.1:2, b = 127.0.0.1:3 / 127.0.0.1:4");
    ASSERT_TRUE(good);
    EXPECT_EQ(good.value()[1].admin.port, 4);
    for (const char* bad :
         {"",
          "a",
          "a=127.0.0.1:1",
          "a=127.0.0.1:0/127.0.0.1:2",
          "a=here:1/127.0.0.1:2",
          "a=127.0.0.1:1/127.0.0.1:2,a=127.0.0.1:3/127.0.0.1:4"})
        EXPECT_FALSE(parse_members(bad)) << bad;
}

} // namespace oleanderhinge::control
