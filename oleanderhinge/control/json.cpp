#include "oleanderhinge/control/json.hpp"

#include "oleanderhinge/control/internal/object_reader.hpp"

#include <boost/json.hpp>

#include <array>
#include <utility>
#include <variant>

namespace oleanderhinge::control
{

namespace json = boost::json;

namespace
{

using internal::object_reader;

constexpr std::array<std::string_view, 3> ranks{
    "urgent", "standard", "deferrable"};
constexpr std::array<std::string_view, 2> kinds{"model", "service"};
constexpr std::array<std::string_view, 2> isolation_policies{
    "refuse", "serve_last"};

wire::route read_route(object_reader& from)
{
    wire::route value;
    from.id("id", value.id);
    from.choice("kind", kinds, value.kind);
    from.id("model", value.model);
    from.text("version", value.version);
    from.text("adapter", value.adapter);
    from.number("layer_count", value.layer_count);
    from.text("service", value.service);
    from.boolean("idempotent", value.idempotent);
    from.choice("rank", ranks, value.work_rank);
    from.number("first_token_target_ms", value.first_token_target_ms);
    from.number("token_target_ms", value.token_target_ms);
    from.number("request_timeout_ms", value.request_timeout_ms);
    from.choice("isolation", isolation_policies, value.isolation);
    return value;
}

wire::customer read_customer(object_reader& from)
{
    wire::customer value;
    from.id("id", value.id);
    from.text("credential_sha256", value.credential_sha256);
    from.number("weight", value.weight);
    from.ids("routes", value.routes);
    return value;
}

wire::server_order read_order(object_reader& from)
{
    wire::server_order value;
    from.id("server", value.server);
    from.boolean("draining", value.draining);
    from.id("model", value.model);
    from.text("version", value.version);
    from.text("adapter", value.adapter);
    from.object("layers", [&](object_reader& layers) {
        std::uint32_t first = 0;
        std::uint32_t end = 0;
        layers.number("first", first);
        layers.number("end", end);
        value.layers = {base::layer_index{first}, base::layer_index{end}};
    });
    return value;
}

wire::rank_shares read_shares(object_reader& from)
{
    wire::rank_shares value;
    from.number("urgent", value.urgent);
    from.number("standard", value.standard);
    from.number("deferrable", value.deferrable);
    return value;
}

template <class Put, class Read>
wire::change
read_put(object_reader& intent, const char* member, const Read& read)
{
    Put put;
    if (!intent.object(
            member, [&](object_reader& from) { put.value = read(from); }))
        intent.fault(std::string(member) + " is missing, must be an object");
    return put;
}

constexpr std::string_view known_ops =
    "put_route, remove_route, put_customer, remove_customer, put_order, "
    "remove_order or put_shares";

wire::change read_intent(object_reader& intent)
{
    std::string op;
    intent.text("op", op);
    if (op == "put_route")
        return read_put<wire::put_route>(intent, "route", read_route);
    if (op == "put_customer")
        return read_put<wire::put_customer>(intent, "customer", read_customer);
    if (op == "put_order")
        return read_put<wire::put_order>(intent, "order", read_order);
    if (op == "put_shares")
        return read_put<wire::put_shares>(intent, "shares", read_shares);
    wire::remove_route route;
    wire::remove_customer customer;
    wire::remove_order order;
    if (op == "remove_customer") {
        intent.id("id", customer.id);
        return customer;
    }
    if (op == "remove_order") {
        intent.id("server", order.server);
        return order;
    }
    if (op == "remove_route")
        intent.id("id", route.id);
    else
        intent.fault(
            "op is '" + op.substr(0, 40) + "', must be " +
            std::string(known_ops));
    return route;
}

void read_intents(object_reader& body, plan_request& request)
{
    const auto* list = body.find_member("intents");
    if (list == nullptr || !list->is_array()) {
        body.fault("intents is missing, must be a list of objects");
        return;
    }
    std::size_t place = 0;
    for (const auto& item : list->as_array()) {
        const auto where = "intents[" + std::to_string(place++) + "]";
        if (request.faults.size() >= internal::max_faults)
            return;
        if (!item.is_object()) {
            request.faults.push_back(where + ": must be an object");
            continue;
        }
        object_reader reader(item.as_object(), where, request.faults);
        request.intents.push_back(read_intent(reader));
        reader.report_unknown_members();
    }
}

// Parses `body` and passes the reader of its object to `read`.
template <class Read>
void read_body(
    std::string_view body, std::vector<std::string>& faults, const Read& read)
{
    boost::system::error_code failed;
    const auto value = json::parse(body, failed);
    if (failed || !value.is_object()) {
        faults.push_back(
            "body: " + (failed ? failed.message() : "must be a JSON object"));
        return;
    }
    object_reader reader(value.as_object(), "body", faults);
    read(reader);
    reader.report_unknown_members();
}

template <class Choices, class Value>
json::string name_of(const Choices& choices, Value value)
{
    const auto at = std::size_t(value);
    return json::string(at < choices.size() ? choices[at] : "unknown");
}

std::string op_of(const wire::change& item)
{
    constexpr std::array<const char*, std::variant_size_v<wire::change>> names{
        "put_route",
        "remove_route",
        "put_customer",
        "remove_customer",
        "put_order",
        "remove_order",
        "put_shares",
        "put_forwarding",
        "patch_forwarding"};
    return names[item.index()];
}

// Formats the object of a `put_*` change; null for a removal.
json::value object_of(const wire::change& item)
{
    return std::visit(
        [](const auto& value) -> json::value {
            if constexpr (
                std::is_same_v<decltype(value), const wire::put_forwarding&> ||
                std::is_same_v<decltype(value), const wire::patch_forwarding&>)
                return json::object{{"version", value.value.version}};
            else if constexpr (requires { value.value; })
                return to_json(value.value);
            else
                return nullptr;
        },
        item);
}

const char* to_string(control_state::plan_status status)
{
    switch (status) {
    case control_state::plan_status::open:
        return "open";
    case control_state::plan_status::confirmed:
        return "confirmed";
    case control_state::plan_status::conflicted:
        return "conflicted";
    }
    return "unknown";
}

} // namespace

plan_request parse_plan_request(std::string_view body)
{
    plan_request request;
    read_body(body, request.faults, [&](object_reader& reader) {
        reader.id("id", request.id);
        read_intents(reader, request);
    });
    return request;
}

member_request parse_member_request(std::string_view body)
{
    member_request request;
    read_body(body, request.faults, [&](object_reader& reader) {
        reader.id("vm", request.added.vm);
        reader.endpoint("link", request.added.link);
        reader.endpoint("admin", request.added.admin);
        if (request.added.vm.value().empty())
            reader.fault("vm is missing, must be the name of the VM");
    });
    return request;
}

json::value to_json(const wire::route& item)
{
    return json::object{
        {"id", item.id.value()},
        {"kind", name_of(kinds, item.kind)},
        {"model", item.model.value()},
        {"version", item.version},
        {"adapter", item.adapter},
        {"layer_count", item.layer_count},
        {"service", item.service},
        {"idempotent", item.idempotent},
        {"rank", name_of(ranks, item.work_rank)},
        {"first_token_target_ms", item.first_token_target_ms},
        {"token_target_ms", item.token_target_ms},
        {"request_timeout_ms", item.request_timeout_ms},
        {"isolation", name_of(isolation_policies, item.isolation)},
        {"modified", item.modified.value()}};
}

json::value to_json(const wire::customer& item)
{
    json::array routes;
    for (const auto& route : item.routes)
        routes.emplace_back(route.value());
    return json::object{
        {"id", item.id.value()},
        {"credential_sha256", item.credential_sha256},
        {"weight", item.weight},
        {"routes", std::move(routes)},
        {"modified", item.modified.value()}};
}

json::value to_json(const wire::server_order& item)
{
    return json::object{
        {"server", item.server.value()},
        {"draining", item.draining},
        {"model", item.model.value()},
        {"version", item.version},
        {"adapter", item.adapter},
        {"layers",
         {{"first", item.layers.first.value()},
          {"end", item.layers.end.value()}}},
        {"number", item.number.value()},
        {"modified", item.modified.value()}};
}

json::value to_json(const wire::rank_shares& item)
{
    return json::object{
        {"urgent", item.urgent},
        {"standard", item.standard},
        {"deferrable", item.deferrable},
        {"modified", item.modified.value()}};
}

json::value to_json(const control_state::plan_conflict& item)
{
    return json::object{
        {"object", item.object}, {"changed_at", item.changed_at.value()}};
}

json::value to_json(const control_state::plan& item)
{
    json::array changes;
    for (const auto& change : item.changes)
        changes.push_back(json::object{
            {"object", wire::object_name(change.after)},
            {"op", op_of(change.after)},
            {"before",
             change.before ? object_of(*change.before) : json::value()},
            {"after", object_of(change.after)}});
    json::object out{
        {"id", item.id.value()},
        {"base_revision", item.base_revision.value()},
        {"created_ms", item.created_ms},
        {"status", to_string(item.status)},
        {"changes", std::move(changes)}};
    if (item.status == control_state::plan_status::confirmed)
        out["confirmed_at"] = item.confirmed_at.value();
    if (item.status != control_state::plan_status::conflicted)
        return out;
    json::array conflicts;
    for (const auto& conflict : item.conflicts)
        conflicts.push_back(to_json(conflict));
    out["conflicts"] = std::move(conflicts);
    return out;
}

json::value to_json(const replica::member& item)
{
    return json::object{
        {"vm", item.vm.value()},
        {"link", to_text(item.link)},
        {"admin", to_text(item.admin)},
        {"voter", item.voter}};
}

std::string to_text(const wire::endpoint& item)
{
    return item.port == 0 ? std::string()
                          : item.address + ":" + std::to_string(item.port);
}

} // namespace oleanderhinge::control
