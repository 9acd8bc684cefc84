#include "oleanderhinge/control_state/validate.hpp"

#include "oleanderhinge/control_state/state.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <variant>

namespace oleanderhinge::control_state
{

namespace
{

constexpr std::size_t max_faults = 50;
// The largest known models have fewer than 200 layers.
constexpr std::uint32_t max_layers = 4096;
constexpr std::uint32_t max_timeout_ms = 3'600'000;
constexpr std::uint32_t max_weight = 1'000'000;
constexpr std::size_t max_customer_routes = 64;
constexpr std::size_t credential_digits = 64;

constexpr std::string_view id_punctuation = "._-";
// Names of models and versions often contain a path or a tag.
constexpr std::string_view name_punctuation = "._-:/@+";

bool consists_of(std::string_view text, std::string_view punctuation)
{
    return std::all_of(text.begin(), text.end(), [punctuation](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               (c >= '0' && c <= '9') ||
               punctuation.find(c) != punctuation.npos;
    });
}

// Text of a client for use in a message: shortened, with '?' in place of
// everything but printable ASCII.
std::string quoted(std::string_view text)
{
    constexpr std::size_t max_shown_bytes = 40;
    std::string out = "'";
    for (const char c : text.substr(0, max_shown_bytes))
        out += c >= ' ' && c <= '~' ? c : '?';
    return out + (text.size() > max_shown_bytes ? "...'" : "'");
}

class intent_validator
{
public:
    intent_validator(
        const wire::configuration& base_config,
        const std::vector<wire::change>& items)
        : config(base_config)
        , intents(items)
    {
        for (const auto& item : this->intents)
            this->collect_references(item);
    }

    std::vector<std::string> run()
    {
        if (this->intents.empty() || this->intents.size() > max_plan_intents)
            this->faults.push_back(
                "intents: the list has " +
                std::to_string(this->intents.size()) +
                " entries, must have 1 to " + std::to_string(max_plan_intents));
        for (const auto& item : this->intents) {
            if (this->faults.size() >= max_faults)
                break;
            this->current_object = wire::object_name(item);
            if (!this->seen_objects.insert(this->current_object).second)
                this->add_fault(
                    "the object is named by two intents, must be one");
            std::visit([this](const auto& value) { this->check(value); }, item);
        }
        this->faults.resize(std::min(this->faults.size(), max_faults));
        return std::move(this->faults);
    }

private:
    // Collects the routes, customers and credentials that the plan adds or
    // removes: references are checked against the state after the whole plan.
    void collect_references(const wire::change& item)
    {
        if (const auto* put = std::get_if<wire::put_route>(&item))
            this->added_routes.insert(put->value.id);
        else if (
            const auto* removed_route = std::get_if<wire::remove_route>(&item))
            this->removed_routes.insert(removed_route->id);
        else if (const auto* customer = std::get_if<wire::put_customer>(&item))
            this->collect_customer(customer->value);
        else if (
            const auto* removed_customer =
                std::get_if<wire::remove_customer>(&item))
            this->replaced_customers.insert(removed_customer->id);
    }

    void collect_customer(const wire::customer& value)
    {
        this->replaced_customers.insert(value.id);
        this->credentials[value.credential_sha256].insert(value.id);
    }

    void add_fault(const std::string& text)
    {
        this->faults.push_back(this->current_object + ": " + text);
    }

    void check_id(const char* field, const std::string& id)
    {
        if (id.empty() || id.size() > max_text_bytes ||
            !consists_of(id, id_punctuation))
            this->add_fault(
                std::string(field) + " is " + quoted(id) + ", must be 1 to " +
                std::to_string(max_text_bytes) +
                " letters, digits, '.', '_' and '-'");
    }

    void check_name(const char* field, const std::string& name, bool required)
    {
        if ((required && name.empty()) || name.size() > max_text_bytes ||
            !consists_of(name, name_punctuation))
            this->add_fault(
                std::string(field) + " is " + quoted(name) + ", must be " +
                (required ? "1" : "0") + " to " +
                std::to_string(max_text_bytes) +
                " letters, digits and any of ._-:/@+");
    }

    void check_range(
        const char* field,
        std::uint64_t value,
        std::uint64_t smallest,
        std::uint64_t largest)
    {
        if (value < smallest || value > largest)
            this->add_fault(
                std::string(field) + " is " + std::to_string(value) +
                ", must be " + std::to_string(smallest) + " to " +
                std::to_string(largest));
    }

    void check_empty(const char* field, const std::string& text, const char* of)
    {
        if (!text.empty())
            this->add_fault(
                std::string(field) + " is " + quoted(text) +
                ", must be empty for " + of);
    }

    void check_model_route(const wire::route& value)
    {
        this->check_name("model", value.model.value(), true);
        this->check_name("version", value.version, false);
        this->check_name("adapter", value.adapter, false);
        this->check_range("layer_count", value.layer_count, 1, max_layers);
        this->check_empty("service", value.service, "a model route");
        if (value.idempotent)
            this->add_fault(
                "idempotent is true, only allowed for a service route");
    }

    void check_service_route(const wire::route& value)
    {
        this->check_name("service", value.service, true);
        this->check_empty("model", value.model.value(), "a service route");
        this->check_empty("version", value.version, "a service route");
        this->check_empty("adapter", value.adapter, "a service route");
        this->check_range("layer_count", value.layer_count, 0, 0);
        if (value.isolation == wire::isolation_policy::serve_last)
            this->add_fault(
                "isolation is 'serve_last', only allowed for a model route");
    }

    void check(const wire::put_route& item)
    {
        const auto& value = item.value;
        this->check_id("id", value.id.value());
        if (value.kind == base::route_kind::model)
            this->check_model_route(value);
        else if (value.kind == base::route_kind::service)
            this->check_service_route(value);
        else
            this->check_range("kind", std::uint64_t(value.kind), 0, 1);
        this->check_range(
            "rank", std::uint64_t(value.work_rank), 0, base::rank_count - 1);
        this->check_range("isolation", std::uint64_t(value.isolation), 0, 1);
        this->check_range(
            "first_token_target_ms",
            value.first_token_target_ms,
            0,
            max_timeout_ms);
        this->check_range(
            "token_target_ms", value.token_target_ms, 0, max_timeout_ms);
        this->check_range(
            "request_timeout_ms", value.request_timeout_ms, 1, max_timeout_ms);
    }

    void check(const wire::remove_route& item)
    {
        if (!this->config.routes.contains(item.id))
            this->add_fault("there is no such route to remove");
    }

    void check(const wire::put_customer& item)
    {
        const auto& value = item.value;
        this->check_id("id", value.id.value());
        this->check_range("weight", value.weight, 1, max_weight);
        this->check_credential(value);
        if (value.routes.size() > max_customer_routes)
            this->add_fault(
                "routes has " + std::to_string(value.routes.size()) +
                " entries, must have at most " +
                std::to_string(max_customer_routes));
        else
            for (const auto& route : value.routes)
                if (!this->will_exist(route))
                    this->add_fault(
                        "routes has " + quoted(route.value()) +
                        ", must be a route of the configuration or the plan");
    }

    void check_credential(const wire::customer& value)
    {
        const auto& digits = value.credential_sha256;
        const bool hexadecimal =
            std::all_of(digits.begin(), digits.end(), [](char c) {
                return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
            });
        if (digits.size() != credential_digits || !hexadecimal)
            this->add_fault(
                "credential_sha256 has " + std::to_string(digits.size()) +
                " characters, must be 64 hexadecimal digits in lower case");
        else if (const auto* other = this->same_credential(value))
            this->add_fault(
                "credential_sha256 is that of customer " + other->value() +
                ", must be unique");
    }

    // Another customer that will have the same credential after the plan; null
    // if there is none.
    const base::customer_id* same_credential(const wire::customer& value)
    {
        if (!this->credentials_indexed) {
            for (const auto& [id, present] : this->config.customers)
                if (!this->replaced_customers.contains(id))
                    this->credentials[present.credential_sha256].insert(id);
            this->credentials_indexed = true;
        }
        for (const auto& id : this->credentials[value.credential_sha256])
            if (id != value.id)
                return &id;
        return nullptr;
    }

    bool will_exist(const base::route_id& id) const
    {
        return this->added_routes.contains(id) ||
               (this->config.routes.contains(id) &&
                !this->removed_routes.contains(id));
    }

    void check(const wire::remove_customer& item)
    {
        if (!this->config.customers.contains(item.id))
            this->add_fault("there is no such customer to remove");
    }

    void check(const wire::put_order& item)
    {
        const auto& value = item.value;
        this->check_id("server", value.server.value());
        const auto first = value.layers.first.value();
        const auto end = value.layers.end.value();
        if (value.model.value().empty()) {
            this->check_empty("version", value.version, "an order to drain");
            this->check_empty("adapter", value.adapter, "an order to drain");
            if (first != 0 || end != 0)
                this->add_fault(
                    "layers is " + std::to_string(first) + " to " +
                    std::to_string(end) +
                    ", must be 0 to 0 for an order to drain");
            return;
        }
        this->check_name("model", value.model.value(), true);
        this->check_name("version", value.version, false);
        this->check_name("adapter", value.adapter, false);
        if (first >= end || end > max_layers)
            this->add_fault(
                "layers is " + std::to_string(first) + " to " +
                std::to_string(end) +
                ", first must be below end and end at most " +
                std::to_string(max_layers));
    }

    void check(const wire::remove_order& item)
    {
        if (!this->config.orders.contains(item.server))
            this->add_fault("there is no order for this server to remove");
    }

    void check(const wire::put_shares& item)
    {
        const auto& value = item.value;
        const std::uint64_t sum =
            std::uint64_t(value.urgent) + value.standard + value.deferrable;
        if (sum > 100)
            this->add_fault(
                "urgent, standard and deferrable sum to " +
                std::to_string(sum) + ", must be at most 100");
    }

    void check(const wire::put_forwarding&)
    {
        this->add_fault("is replaced as a whole, not by a plan");
    }

    void check(const wire::patch_forwarding&)
    {
        this->add_fault("is replaced as a whole, not by a plan");
    }

    const wire::configuration& config;
    const std::vector<wire::change>& intents;
    std::set<base::route_id> added_routes;
    std::set<base::route_id> removed_routes;
    // Customers of `config` that the plan removes or replaces.
    std::set<base::customer_id> replaced_customers;
    // Customers by the digest of their credential, after the plan.
    std::map<std::string, std::set<base::customer_id>> credentials;
    // True once `credentials` holds the customers of `config`.
    bool credentials_indexed = false;
    std::set<std::string> seen_objects;
    // Name of the object that is checked, for the messages.
    std::string current_object;
    std::vector<std::string> faults;
};

} // namespace

std::vector<std::string> validate(
    const wire::configuration& config, const std::vector<wire::change>& intents)
{
    return intent_validator(config, intents).run();
}

} // namespace oleanderhinge::control_state
