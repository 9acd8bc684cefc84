#include "oleanderhinge/control/admin_api.hpp"

#include "oleanderhinge/base/hash.hpp"
#include "oleanderhinge/control/json.hpp"
#include "oleanderhinge/control/proposals.hpp"
#include "oleanderhinge/control/status_watch.hpp"
#include "oleanderhinge/control_state/commands.hpp"
#include "oleanderhinge/control_state/queries.hpp"

#include <boost/json.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>
#include <variant>

namespace oleanderhinge::control
{

namespace asio = boost::asio;
namespace json = boost::json;
using base::failure_code;
using replica::propose_state;
using timeline::event_kind;

// Path of a request, split at '/': "/v1/plans/7/confirm" has the collection
// "plans", the id "7" and the action "confirm".
struct admin_api::target {
    std::string method;
    std::string path;
    std::string collection;
    std::string id;
    std::string action;

    bool matches_collection(
        std::string_view wanted_method, std::string_view name) const
    {
        return this->method == wanted_method && this->collection == name &&
               this->id.empty();
    }
    bool matches_object(
        std::string_view wanted_method,
        std::string_view name,
        std::string_view wanted_action = {}) const
    {
        return this->method == wanted_method && this->collection == name &&
               !this->id.empty() && this->action == wanted_action;
    }
};

struct admin_api::answer {
    unsigned status = 200;
    json::value body;
    // If set, the answer is a problem document, with the members of `body`
    // added.
    std::optional<base::verdict> problem;
    std::vector<wire::header> headers;
};

namespace
{

constexpr std::chrono::milliseconds retry_without_quorum{1000};
constexpr std::size_t max_events = 10000;

// Decodes the reply of type `Reply`; returns `Reply{}` if the log returned
// anything else.
template <class Reply>
Reply reply_of(const replica::propose_result& result)
{
    return base::handle(
        [&]() -> base::result<Reply> {
            BOOST_LEAF_AUTO(decoded, control_state::decode_reply(result.reply));
            if (auto* found = std::get_if<Reply>(&decoded))
                return std::move(*found);
            return Reply{};
        },
        [](const base::error&) { return Reply{}; });
}

json::array to_array(const std::vector<std::string>& texts)
{
    json::array out;
    for (const auto& text : texts)
        out.emplace_back(text);
    return out;
}

std::string objects_of(const control_state::plan& item)
{
    constexpr std::size_t max_shown = 5;
    std::string text;
    for (std::size_t i = 0; i < item.changes.size() && i < max_shown; ++i)
        text += (i == 0 ? "" : ", ") + wire::object_name(item.changes[i].after);
    if (item.changes.size() > max_shown)
        text += ", and " + std::to_string(item.changes.size() - max_shown) +
                " more";
    return text;
}

template <class Map>
json::value list_of(base::revision at, const char* name, const Map& objects)
{
    json::array items;
    for (const auto& [id, item] : objects)
        items.push_back(to_json(item));
    return json::object{{"revision", at.value()}, {name, std::move(items)}};
}

template <class Answer>
asio::awaitable<Answer> finished(Answer result)
{
    co_return result;
}

// Not part of the coroutines, because GCC 12 destroys the aggregate twice when
// it is a temporary of a coroutine that is converted to the variant.
std::string encode_create(const plan_request& request, std::uint64_t now_ms)
{
    return control_state::encode(
        control_state::create_plan{request.id, request.intents, now_ms});
}

std::string encode_confirm(const base::plan_id& id, std::uint64_t now_ms)
{
    return control_state::encode(control_state::confirm_plan{id, now_ms});
}

base::verdict no_quorum()
{
    return base::not_run(
        failure_code::no_quorum, "control has no quorum", retry_without_quorum);
}

} // namespace

admin_api::admin_api(
    replica::replicated_log& replicated,
    const replicated_state& machine,
    timeline::recorder& recorder,
    metrics& counters,
    admin_options chosen)
    : log(replicated)
    , state(machine)
    , events(recorder)
    , numbers(counters)
    , options(std::move(chosen))
{
}

net::http_handler admin_api::handler()
{
    return [this](
               net::http_request request,
               net::http_exchange& exchange) -> asio::awaitable<void> {
        co_await this->serve(request, exchange);
    };
}

asio::awaitable<void>
admin_api::serve(const net::http_request& request, net::http_exchange& exchange)
{
    target at;
    at.method = std::string(request.method_string());
    at.path = std::string(request.target());
    at.path = at.path.substr(0, at.path.find('?'));
    std::vector<std::string> parts;
    for (std::size_t from = 1; from <= at.path.size();) {
        const auto end = std::min(at.path.find('/', from), at.path.size());
        parts.push_back(at.path.substr(from, end - from));
        from = end + 1;
    }
    constexpr std::size_t max_parts = 4;
    const bool known =
        parts.size() >= 2 && parts.size() <= max_parts && parts[0] == "v1";
    parts.resize(max_parts);
    if (known) {
        at.collection = parts[1];
        at.id = parts[2];
        at.action = parts[3];
    }
    auto result = co_await this->answer_to(request, at);
    if (!result.problem) {
        co_await exchange.respond(
            result.status,
            "application/json",
            json::serialize(result.body) + "\n",
            std::move(result.headers));
    } else if (!result.body.is_object()) {
        co_await net::respond_problem(exchange, *result.problem);
    } else {
        auto body = json::parse(net::problem_json(*result.problem)).as_object();
        for (auto& member : result.body.as_object())
            body[member.key()] = std::move(member.value());
        co_await exchange.respond(
            base::http_status(*result.problem),
            "application/problem+json",
            json::serialize(body),
            std::move(result.headers));
    }
}

asio::awaitable<admin_api::answer>
admin_api::answer_to(const net::http_request& request, const target& at)
{
    if (!this->authorised(request))
        return finished(answer{
            .problem = base::not_run(
                failure_code::unauthenticated,
                "the request has no valid bearer token")});
    // The status and the events describe this node and need no quorum.
    if (at.matches_collection("GET", "status"))
        return finished(this->status());
    if (at.matches_collection("GET", "events"))
        return finished(answer{
            .body = json::parse(timeline::to_json(
                this->events.since(base::stamp{}, max_events)))});
    if (this->log.status().role != replica::member_role::leader)
        return finished(this->redirect(at.path));
    return this->serve_as_leader(request, at);
}

asio::awaitable<admin_api::answer>
admin_api::serve_as_leader(const net::http_request& request, const target& at)
{
    if (at.matches_collection("POST", "plans"))
        return this->create(request.body());
    if (at.matches_object("POST", "plans", "confirm"))
        return this->confirm(base::plan_id{at.id});
    if (at.matches_collection("POST", "members"))
        return this->add(request.body());
    if (at.matches_object("DELETE", "members"))
        return this->remove(base::vm_id{at.id});
    constexpr std::array<std::string_view, 5> lists{
        "routes", "customers", "orders", "shares", "members"};
    const bool list =
        std::any_of(lists.begin(), lists.end(), [&at](std::string_view name) {
            return at.matches_collection("GET", name);
        });
    if (list || at.matches_object("GET", "plans"))
        return this->query(at);
    return finished(answer{
        .problem = base::not_run(
            failure_code::unknown_route,
            "no resource " + at.method + " " + at.path.substr(0, 80))});
}

asio::awaitable<admin_api::answer> admin_api::create(const std::string& body)
{
    auto request = parse_plan_request(body);
    if (!request.faults.empty())
        co_return this->invalid(request.faults);
    if (request.id.value().empty())
        request.id = base::plan_id{this->options.new_plan_id()};
    auto command = encode_create(request, this->options.wall_ms());
    const auto result = co_await propose(this->log, std::move(command));
    if (result.state != propose_state::applied)
        co_return this->not_applied(result.state, "the plan was made");
    co_return this->created(
        request.id, reply_of<control_state::plan_reply>(result));
}

admin_api::answer
admin_api::invalid(const std::vector<std::string>& faults) const
{
    this->numbers.plans_invalid.Increment();
    return {
        .body = json::object{{"faults", to_array(faults)}},
        .problem = base::not_run(
            failure_code::invalid_request,
            faults.empty() ? "invalid" : faults.front())};
}

admin_api::answer admin_api::created(
    const base::plan_id& id, const control_state::plan_reply& reply) const
{
    using outcome = control_state::plan_reply::outcome;
    switch (reply.result) {
    case outcome::created:
        this->numbers.plans_created.Increment();
        this->events.record(
            event_kind::plan_created,
            "plan " + id.value() + ": " + objects_of(reply.content));
        return {.status = 201, .body = to_json(reply.content)};
    case outcome::repeated:
        return {.body = to_json(reply.content)};
    case outcome::id_taken:
        return {
            .problem = base::not_run(
                failure_code::conflict,
                "plan " + id.value() + " has other intents")};
    case outcome::full:
        return {
            .problem = base::not_run(
                failure_code::overloaded,
                "too many plans are kept, wait until old ones expire")};
    case outcome::invalid:
        break;
    }
    return this->invalid(reply.faults);
}

asio::awaitable<admin_api::answer> admin_api::confirm(base::plan_id id)
{
    auto command = encode_confirm(id, this->options.wall_ms());
    const auto result = co_await propose(this->log, std::move(command));
    if (result.state != propose_state::applied)
        co_return this->not_applied(result.state, "the plan was confirmed");
    co_return this->confirmed(
        id, reply_of<control_state::confirm_reply>(result));
}

admin_api::answer admin_api::confirmed(
    const base::plan_id& id, const control_state::confirm_reply& reply) const
{
    using outcome = control_state::confirm_reply::outcome;
    const auto name = "plan " + id.value();
    switch (reply.result) {
    case outcome::confirmed:
        if (!reply.repeated) {
            const auto text =
                name + " is revision " +
                std::to_string(reply.content.confirmed_at.value()) + ": " +
                objects_of(reply.content);
            this->numbers.plans_confirmed.Increment();
            this->events.record(event_kind::plan_confirmed, text);
            spdlog::info("event=plan_confirmed detail=\"{}\"", text);
        }
        return {.body = to_json(reply.content)};
    case outcome::conflict:
        return this->conflicted(name, reply);
    case outcome::too_large:
        return {
            .problem = base::not_run(
                failure_code::invalid_request,
                name + ": the configuration would exceed " +
                    std::to_string(control_state::max_configuration_bytes) +
                    " bytes")};
    case outcome::unknown_plan:
        break;
    }
    return not_found(name);
}

admin_api::answer admin_api::conflicted(
    const std::string& name, const control_state::confirm_reply& reply) const
{
    const auto& first = reply.content.conflicts.front();
    const auto text = name + ": " + first.object + " was changed at revision " +
                      std::to_string(first.changed_at.value()) +
                      ", after the base revision " +
                      std::to_string(reply.content.base_revision.value());
    if (!reply.repeated) {
        this->numbers.plans_conflicted.Increment();
        this->events.record(event_kind::plan_conflict, text);
    }
    json::array conflicts;
    for (const auto& conflict : reply.content.conflicts)
        conflicts.push_back(to_json(conflict));
    return {
        .body = json::object{{"conflicts", std::move(conflicts)}},
        .problem = base::not_run(failure_code::conflict, text)};
}

asio::awaitable<admin_api::answer> admin_api::query(const target& at)
{
    // Without the barrier, a leader that does not know yet that it was replaced
    // would answer with an old configuration.
    const bool current = co_await read_barrier(this->log);
    co_return current ? this->read(at)
                      : this->not_applied(propose_state::unavailable, "");
}

admin_api::answer admin_api::read(const target& at) const
{
    const auto& name = at.collection;
    if (name == "members")
        return this->members();
    if (name == "plans") {
        const auto found = this->state.read(
            [&](const auto& from) -> std::optional<control_state::plan> {
                const auto* kept =
                    control_state::find_plan(from, base::plan_id{at.id});
                return kept ? std::optional(*kept) : std::nullopt;
            });
        if (found)
            return {.body = to_json(*found)};
        return not_found("plan " + at.id);
    }
    // Copied, so that the JSON is built outside the lock.
    const auto config =
        this->state.read([](const auto& from) { return from.config; });
    if (name == "routes")
        return {.body = list_of(config.at, "routes", config.routes)};
    if (name == "customers")
        return {.body = list_of(config.at, "customers", config.customers)};
    if (name == "orders")
        return {.body = list_of(config.at, "orders", config.orders)};
    return {
        .body = json::object{
            {"revision", config.at.value()},
            {"shares", to_json(config.shares)}}};
}

admin_api::answer admin_api::members() const
{
    const auto status = this->log.status();
    json::array items;
    for (const auto& item : status.members)
        items.push_back(to_json(item));
    return {
        .body = json::object{
            {"term", status.current_term.value()},
            {"leader", status.leader.value()},
            {"members", std::move(items)}}};
}

admin_api::answer admin_api::status() const
{
    const auto status = this->log.status();
    const auto sizes = this->state.read(sizes_of);
    json::array items;
    for (const auto& item : status.members)
        items.push_back(to_json(item));
    return {
        .body = json::object{
            {"vm", this->options.self.value()},
            {"state", status.has_quorum ? "quorum" : "no quorum"},
            {"quorum", status.has_quorum},
            {"role", to_string(status.role)},
            {"leader", status.leader.value()},
            {"term", status.current_term.value()},
            {"last_index", status.last_index.value()},
            {"committed_index", status.committed.value()},
            {"applied_index", status.applied.value()},
            {"lease_age_ms", status.lease_age_ms},
            {"revision", sizes.revision.value()},
            {"plans", sizes.plans},
            {"claims", sizes.claims},
            {"claim_bytes", sizes.claim_bytes},
            {"subscribers", this->options.subscribers()},
            {"members", std::move(items)}}};
}

asio::awaitable<admin_api::answer> admin_api::add(const std::string& body)
{
    const auto request = parse_member_request(body);
    if (!request.faults.empty())
        co_return this->invalid(request.faults);
    auto added = request.added;
    const auto result = co_await add_member(this->log, std::move(added));
    if (result.state != propose_state::applied)
        co_return this->not_applied(result.state, "the member was added");
    co_return this->membership_changed(request.added.vm, "added");
}

asio::awaitable<admin_api::answer> admin_api::remove(base::vm_id vm)
{
    const auto members = this->log.status().members;
    const bool known =
        std::any_of(members.begin(), members.end(), [&vm](const auto& item) {
            return item.vm == vm;
        });
    if (!known)
        co_return not_found("member " + vm.value());
    const auto result = co_await remove_member(this->log, vm);
    if (result.state != propose_state::applied)
        co_return this->not_applied(result.state, "the member was removed");
    co_return this->membership_changed(vm, "removed");
}

admin_api::answer
admin_api::membership_changed(const base::vm_id& vm, const char* how) const
{
    const auto text = vm.value() + " " + how;
    this->events.record(event_kind::member_changed, text);
    spdlog::info("event=member_changed detail=\"{}\"", text);
    return this->members();
}

admin_api::answer admin_api::not_found(const std::string& what)
{
    return {
        .problem = base::not_run(
            failure_code::unknown_route,
            "there is no " + what.substr(0, 80) + ", or it has expired")};
}

admin_api::answer admin_api::redirect(const std::string& path) const
{
    const auto status = this->log.status();
    const auto leader = std::find_if(
        status.members.begin(), status.members.end(), [&](const auto& item) {
            return item.vm == status.leader;
        });
    if (!status.has_quorum || leader == status.members.end() ||
        leader->admin.port == 0 || leader->vm == this->options.self) {
        this->numbers.admin_unavailable.Increment();
        return {.problem = no_quorum()};
    }
    this->numbers.admin_redirected.Increment();
    return {
        .status = 307,
        .body = json::object{{"leader", status.leader.value()}},
        .headers = {{"Location", "http://" + to_text(leader->admin) + path}}};
}

admin_api::answer
admin_api::not_applied(propose_state result, const char* what) const
{
    this->numbers.admin_unavailable.Increment();
    if (result == propose_state::unknown)
        return {
            .problem = base::may_have_run(
                failure_code::no_quorum,
                std::string("leadership was lost; it is unknown whether ") +
                    what + ", so send the request again")};
    return {.problem = no_quorum()};
}

bool admin_api::authorised(const net::http_request& request) const
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view field =
        request[boost::beast::http::field::authorization];
    // Digests have equal lengths, so the time of the comparison does not reveal
    // the length of the token.
    return field.substr(0, scheme.size()) == scheme &&
           base::equal_constant_time(
               base::sha256(field.substr(scheme.size())),
               base::sha256(this->options.token));
}

} // namespace oleanderhinge::control
