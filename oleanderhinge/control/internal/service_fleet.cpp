#include "oleanderhinge/control/internal/service_impl.hpp"

namespace oleanderhinge::control
{

namespace
{

const char* operation_name(operation_state state)
{
    switch (state) {
    case operation_state::done:
        return "done";
    case operation_state::not_leader:
        return "elsewhere";
    case operation_state::unavailable:
        return "unavailable";
    }
    return "unknown";
}

} // namespace

net::http_handler service::impl::admin_handler()
{
    auto own = this->api.handler();
    if (!this->options.extend_admin)
        return own;
    return this->options.extend_admin(
        {.replace_forwarding =
             [this](auto command, auto done) {
                 this->replace_forwarding(std::move(command), std::move(done));
             },
         .read_forwarding =
             [this](auto done) { this->read_forwarding(std::move(done)); },
         .report_server =
             [this](wire::server_record record) {
                 if (this->isolated)
                     return false;
                 this->on_strand([this, record = std::move(record)] {
                     this->on_report(record, false);
                 });
                 return true;
             },
         .end_server =
             [this](wire::server_record notice, auto done) {
                 if (this->isolated)
                     return done(false);
                 this->on_strand([this,
                                  notice = std::move(notice),
                                  done = std::move(done)]() mutable {
                     this->on_leave(notice, std::move(done));
                 });
             }},
        std::move(own));
}

wire::endpoint service::impl::leader_endpoint() const
{
    const auto status = this->consensus.log->status();
    for (const auto& item : status.members)
        if (item.vm == status.leader && item.vm != this->self)
            return item.admin;
    const std::lock_guard lock(this->reserve_mutex);
    if (this->reserve_targets.empty())
        return {};
    return this->reserve_targets
        [this->reserve_redirects++ % this->reserve_targets.size()];
}

void service::impl::replace_forwarding(
    control_state::replace_forwarding command,
    std::function<void(replace_outcome)> done)
{
    const auto version = command.table.version;
    this->consensus.log->propose(
        control_state::encode(command),
        [this, version, done = std::move(done)](
            const replica::propose_result& result) {
            replace_outcome outcome;
            if (result.state == replica::propose_state::not_leader)
                outcome = this->not_leader_outcome<replace_outcome>();
            else if (result.state == replica::propose_state::applied)
                outcome = applied_replacement(result);
            spdlog::info(
                "event=replace_forwarding version={} outcome={} "
                "version_in_force={} index={}",
                version,
                operation_name(outcome.state),
                outcome.reply.version_in_force,
                result.index.value());
            done(outcome);
        });
}

replace_outcome
service::impl::applied_replacement(const replica::propose_result& result)
{
    return base::handle(
        [&]() -> base::result<replace_outcome> {
            BOOST_LEAF_AUTO(reply, control_state::decode_reply(result.reply));
            const auto* replaced =
                std::get_if<control_state::replace_reply>(&reply);
            if (replaced == nullptr)
                return base::fail(
                    base::error_code::malformed,
                    "the reply has an unexpected type");
            return replace_outcome{operation_state::done, {}, *replaced};
        },
        [](const base::error& failure) -> replace_outcome {
            spdlog::error(
                "event=replace_forwarding reply is unreadable: {}",
                failure.detail);
            return {};
        });
}

void service::impl::read_forwarding(std::function<void(document_outcome)> done)
{
    const auto status = this->consensus.log->status();
    if (status.role != replica::member_role::leader)
        return done(this->not_leader_outcome<document_outcome>());
    const auto came = base::monotonic_now();
    this->consensus.log->read_barrier([this, came, done = std::move(done)](
                                          replica::barrier_result result) {
        document_outcome outcome;
        if (result.ok)
            outcome = this->state.read([](const control_state::state& from) {
                return document_outcome{
                    operation_state::done,
                    {},
                    from.config.forwarding.version,
                    from.forwarding_document};
            });
        const auto present = this->consensus.log->status();
        spdlog::info(
            "event=read_forwarding version={} outcome={} term={} applied={} "
            "lease_age_ms={} waited_us={}",
            outcome.version,
            operation_name(outcome.state),
            present.current_term.value(),
            present.applied.value(),
            present.lease_age_ms,
            (base::monotonic_now() - came).count());
        done(outcome);
    });
}

void service::impl::on_report(const wire::server_record& record, bool relayed)
{
    const auto outcome =
        report(this->fleet, record, relayed, base::monotonic_now());
    if (outcome != fleet::report_outcome::changed)
        return;
    spdlog::info(
        "event=server_changed server={} state={} address={}:{} "
        "layers={}-{} started_ms={} sequence={} age_ms={} relayed={}",
        record.id.value(),
        int(record.state),
        record.address,
        record.port,
        record.layers.first.value(),
        record.layers.end.value(),
        record.started_ms,
        record.sequence,
        record.age_ms,
        relayed);
    this->send_servers();
    if (record.state != wire::reported_state::gone)
        return;
    // The notice may lack the start of the process. If no report has stated it
    // either, a record would also end the next process under the id.
    const auto& known = this->fleet.servers.servers.at(record.id).record;
    if (known.started_ms == 0)
        return;
    note_end(this->ends, known.id, known.started_ms);
    this->propose_ends();
}

void service::impl::on_suspicion(
    net::link_id from, const wire::server_suspicion& suspicion)
{
    const auto now = base::monotonic_now();
    if (!fleet::suspect(
            this->fleet.servers,
            suspicion.server,
            now - std::chrono::milliseconds(suspicion.age_ms)))
        return;
    spdlog::warn(
        "event=server_suspected address={}:{} age_ms={} from={}",
        suspicion.server.address,
        suspicion.server.port,
        suspicion.age_ms,
        this->open_links[from].vm.value());
    auto others = this->gateway_and_member_links();
    std::erase(others, from);
    this->links.send(others, suspicion);
}

void service::impl::on_crash_evidence(
    net::link_id from, const wire::crash_evidence& received)
{
    const auto& sender = this->open_links.at(from);
    auto effect =
        fleet::apply(this->quarantine, received, base::monotonic_now());
    if (!fleet::is_empty(effect.relay)) {
        spdlog::info(
            "event=crash_evidence from={} crashes={} answered={}",
            sender.vm.value(),
            effect.relay.crashes.size(),
            effect.relay.answered.size());
        auto others = sender.sender == wire::role::entry
                          ? this->gateway_and_member_links()
                          : this->gateway_links();
        std::erase(others, from);
        this->links.send(others, effect.relay);
    }
    if (!fleet::is_empty(effect.reply))
        this->links.send(from, std::move(effect.reply));
}

void service::impl::send_crashes(net::link_id to)
{
    auto crashes = fleet::all_crashes(this->quarantine, base::monotonic_now());
    if (!fleet::is_empty(crashes))
        this->links.send(to, std::move(crashes));
}

void service::impl::send_records(
    const std::vector<net::link_id>& to, const wire::server_batch& records)
{
    for (const auto& batch : split(records))
        this->links.send(to, batch);
}

void service::impl::send_servers()
{
    const auto changes = take_changes(this->fleet, base::monotonic_now());
    const auto gateways = this->gateway_links();
    const auto members = this->member_links();
    const auto send_common = [&](const std::vector<net::link_id>& to,
                                 const wire::server_batch& changed) {
        if (!changed.records.empty())
            this->send_records(to, changed);
        if (!changes.numbers.servers.empty())
            this->links.send(to, changes.numbers);
        if (changes.refreshed_here)
            this->links.send(to, *changes.refreshed_here);
    };
    send_common(gateways, changes.for_gateways);
    send_common(members, changes.for_members);
    if (changes.refreshed_elsewhere)
        this->links.send(gateways, *changes.refreshed_elsewhere);
}

void service::impl::place_layers(
    const replica::log_status& status, base::time_point now)
{
    if (!this->options.send_order)
        return;
    const bool leads =
        status.role == replica::member_role::leader && status.has_quorum;
    const auto orders = this->state.read([&](const control_state::state& from) {
        return plan_orders(
            this->fleet, from.config.forwarding, from.places, leads, now);
    });
    if (leads)
        for (auto& record : due_records(this->fleet)) {
            spdlog::info(
                "event=record_places service={} servers={}",
                record.service,
                record.places.size());
            this->consensus.log->propose(
                control_state::encode(record),
                [](const replica::propose_result& result) {
                    if (result.state != replica::propose_state::applied)
                        spdlog::warn(
                            "event=record_places_failed state={}",
                            int(result.state));
                });
        }
    for (const auto& order : orders) {
        const bool aborts = order.running == fleet::handover::abort_running;
        this->numbers.layer_orders.Increment();
        if (aborts)
            this->numbers.layer_orders_aborting.Increment();
        spdlog::info(
            "event=order server={} layers={}-{} aborts={} term={}",
            order.server.value(),
            order.layers.first.value(),
            order.layers.end.value(),
            aborts,
            status.current_term.value());
        this->options.send_order(order, [this, order](order_result result) {
            if (result == order_result::accepted)
                return;
            const bool refused = result == order_result::refused;
            spdlog::warn(
                "event=order_failed server={} result={}",
                order.server.value(),
                refused ? "refused" : "unknown");
            if (refused)
                this->on_strand([this, order] {
                    for (auto& [service, plan] : this->fleet.placements)
                        fleet::note_refused(plan, order);
                });
        });
    }
}

load_duty service::impl::duty_for_loads(const replica::log_status& status) const
{
    load_duty duty;
    duty.home = this->options.link.self.data_centre;
    duty.active = status.has_quorum;
    duty.leads = status.role == replica::member_role::leader;
    duty.with_member.insert(duty.home);
    std::set<base::vm_id> at_home{this->self};
    for (const auto& [link, peer] : this->open_links) {
        if (peer.sender != wire::role::control)
            continue;
        duty.with_member.insert(peer.data_centre);
        if (peer.data_centre == duty.home)
            at_home.insert(peer.vm);
    }
    duty.members = at_home.size();
    duty.position =
        std::size_t(std::distance(at_home.begin(), at_home.find(this->self)));
    return duty;
}

void service::impl::request_loads(
    const replica::log_status& status, base::time_point now)
{
    if (!this->options.read_load)
        return;
    const auto duty = this->duty_for_loads(status);
    const auto due = this->state.read([&](const control_state::state& from) {
        return due_for_load(this->fleet, from.config.forwarding, duty, now);
    });
    for (const auto& server : due)
        this->options.read_load(
            {server.address, server.port},
            [this, id = server.id](std::optional<wire::engine_load> load) {
                if (load)
                    this->on_strand([this, id, load = *load] {
                        if (fleet::note_load(this->fleet.servers, id, load))
                            this->fleet.changed.insert(id);
                        this->fleet.new_loads.insert_or_assign(id, load);
                    });
            });
}

void service::impl::send_loads()
{
    if (this->fleet.new_loads.empty())
        return;
    const auto changes = take_loads(this->fleet);
    const auto receivers = this->gateway_and_member_links();
    if (!changes.numbers.servers.empty())
        this->links.send(receivers, changes.numbers);
    this->links.send(receivers, changes.loads);
}

} // namespace oleanderhinge::control
