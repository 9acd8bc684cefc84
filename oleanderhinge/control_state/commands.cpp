#include "oleanderhinge/control_state/commands.hpp"

#include "oleanderhinge/control_state/internal/claims.hpp"
#include "oleanderhinge/control_state/internal/forwarding.hpp"
#include "oleanderhinge/control_state/internal/plans.hpp"
#include "oleanderhinge/wire/archive.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace oleanderhinge::control_state
{

namespace
{

// First byte of an encoded command. The log keeps commands across upgrades, so
// a later release has to recognise older encodings.
constexpr char command_version = 1;

void advance_clock(state& target, std::uint64_t now_ms)
{
    target.clock_ms = std::max(target.clock_ms, now_ms);
}

// Time before which objects with this retention period are expired.
std::uint64_t expiry_cutoff_ms(const state& target, std::uint64_t retention_ms)
{
    return target.clock_ms - std::min(target.clock_ms, retention_ms);
}

void record_end(state& target, const record_ended_server& item)
{
    auto& all = target.ended_servers;
    const auto known = std::ranges::find(all, item.id, &ended_server::id);
    if (known != all.end()) {
        if (known->started_ms >= item.started_ms)
            return;
        all.erase(known);
    }
    all.push_back({item.id, item.started_ms, target.applied, target.clock_ms});
    const auto cutoff = expiry_cutoff_ms(target, ended_server_retention_ms);
    while (all.size() > max_ended_servers || all.front().recorded_ms < cutoff)
        all.pop_front();
}

struct applier {
    state& target;

    reply operator()(const create_plan& item) const
    {
        advance_clock(this->target, item.now_ms);
        return internal::apply_create(this->target, item);
    }
    reply operator()(const confirm_plan& item) const
    {
        advance_clock(this->target, item.now_ms);
        return internal::apply_confirm(this->target, item);
    }
    reply operator()(const claim& item) const
    {
        advance_clock(this->target, item.now_ms);
        return internal::apply_claim(this->target, item);
    }
    reply operator()(const record_outcome& item) const
    {
        return internal::apply_outcome(this->target, item);
    }
    reply operator()(const replace_forwarding& item) const
    {
        return internal::apply_replace(this->target, item);
    }
    reply operator()(const record_places& item) const
    {
        this->target.places[item.service] = item.places;
        return places_reply{};
    }
    reply operator()(const record_ended_server& item) const
    {
        advance_clock(this->target, item.now_ms);
        record_end(this->target, item);
        return ended_server_reply{};
    }
    reply operator()(const expire& item) const
    {
        advance_clock(this->target, item.now_ms);
        return expire_reply{
            internal::expire_claims(
                this->target,
                expiry_cutoff_ms(this->target, item.claim_retention_ms)),
            internal::expire_plans(
                this->target,
                expiry_cutoff_ms(this->target, item.plan_retention_ms))};
    }
};

void advance_index(state& target, base::log_index index)
{
    if (index <= target.applied)
        throw std::logic_error(
            "command at index " + std::to_string(index.value()) +
            " after index " + std::to_string(target.applied.value()));
    target.applied = index;
}

} // namespace

reply apply(state& target, const command& item, base::log_index index)
{
    advance_index(target, index);
    return std::visit(applier{target}, item);
}

reply apply_encoded(
    state& target, std::string_view bytes, base::log_index index)
{
    return base::handle(
        [&]() -> base::result<reply> {
            BOOST_LEAF_AUTO(item, decode_command(bytes));
            return apply(target, item, index);
        },
        [&](const base::error& failure) -> reply {
            advance_index(target, index);
            return malformed_command{failure.detail};
        });
}

std::string encode(const command& item)
{
    return command_version + wire::to_bytes(item);
}

base::result<command> decode_command(std::string_view bytes)
{
    if (bytes.empty() || bytes.front() != command_version)
        return base::fail(
            base::error_code::unsupported_version,
            "the command has an unknown version");
    return wire::from_bytes<command>(bytes.substr(1));
}

std::string encode(const reply& item)
{
    return wire::to_bytes(item);
}

base::result<reply> decode_reply(std::string_view bytes)
{
    return wire::from_bytes<reply>(bytes);
}

} // namespace oleanderhinge::control_state
