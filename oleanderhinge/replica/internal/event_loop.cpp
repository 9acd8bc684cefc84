#include "oleanderhinge/replica/internal/event_loop.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace oleanderhinge::replica::internal
{

namespace
{

constexpr int ticks_per_heartbeat = 3;

void end_process(const std::string& reason)
{
    spdlog::critical("replicated log: {}", reason);
    spdlog::shutdown();
    std::_Exit(EXIT_FAILURE);
}

node_setup with_defaults(node_setup setup)
{
    if (!setup.on_fatal_error)
        setup.on_fatal_error = &end_process;
    if (!setup.network)
        setup.network = [](const base::vm_id&, const wire::consensus_message&) {
        };
    return setup;
}

} // namespace

consensus::member to_consensus(const member& m)
{
    return {m.vm, {}, m.link, m.admin, m.voter, false};
}

std::vector<member> to_members(const consensus::membership& members)
{
    std::vector<member> out;
    for (const auto& m : members)
        out.push_back({m.vm, m.link, m.admin, m.voter});
    return out;
}

event_loop::event_loop(
    node_setup setup_in,
    state_machine machine_in,
    consensus::node_state state_in,
    std::unique_ptr<storage::log_store> store)
    : setup(with_defaults(std::move(setup_in)))
    , machine(std::move(machine_in))
    , state(std::move(state_in))
    , disk(
          std::move(store),
          {[this](std::uint64_t write_sequence) {
               this->add(persisted_input{write_sequence});
           },
           [this](const consensus::snapshot_content& content) {
               this->add(snapshot_saved_input{content});
           },
           [this](const std::string& reason) {
               this->add(disk_input{{true}, reason});
           },
           [this] {
               this->add(disk_input{{false}, {}});
           },
           [this](const std::string& reason) {
               this->setup.on_fatal_error(reason);
           }})
{
    this->publish();
    this->thread = std::thread([this] { this->run(); });
}

event_loop::~event_loop()
{
    this->stop();
}

void event_loop::add(input in)
{
    {
        const std::lock_guard lock(this->inbox_mutex);
        if (!this->stopping) {
            if (auto* p = std::get_if<propose_input>(&in)) {
                p->refused =
                    this->queued_proposals >= this->setup.max_queued_proposals;
                if (!p->refused)
                    ++this->queued_proposals;
            }
            this->inbox.push_back(std::move(in));
            this->wake.notify_one();
            return;
        }
    }
    refuse(in);
}

void event_loop::refuse(input& in)
{
    if (auto* p = std::get_if<propose_input>(&in))
        p->done({propose_state::unavailable, {}, {}});
    else if (auto* b = std::get_if<barrier_input>(&in))
        b->done({false});
    else if (auto* a = std::get_if<add_member_input>(&in))
        a->done({propose_state::unavailable, {}, {}});
    else if (auto* r = std::get_if<remove_member_input>(&in))
        r->done({propose_state::unavailable, {}, {}});
    else if (auto* h = std::get_if<transfer_input>(&in))
        h->done({false});
}

void event_loop::stop()
{
    {
        const std::lock_guard lock(this->inbox_mutex);
        this->stopping = true;
        this->wake.notify_one();
    }
    if (this->thread.joinable())
        this->thread.join();
    this->disk.stop();
}

void event_loop::run()
{
    if (this->state.snapshot)
        this->machine.restore(
            this->state.snapshot->last, *this->state.snapshot->data);
    const auto interval =
        this->setup.times.heartbeat_interval / ticks_per_heartbeat;
    for (;;) {
        std::deque<input> inputs;
        bool is_stopping = false;
        {
            std::unique_lock lock(this->inbox_mutex);
            this->wake.wait_for(lock, interval, [&] {
                return this->stopping || !this->inbox.empty();
            });
            inputs.swap(this->inbox);
            this->queued_proposals = 0;
            is_stopping = this->stopping;
        }
        if (is_stopping) {
            for (auto& in : inputs)
                refuse(in);
            break;
        }
        this->run_round(std::move(inputs));
    }
    this->waiting.close();
    this->finish_transfers(false);
}

void event_loop::run_round(std::deque<input> inputs)
{
    consensus::proposals batch;
    for (auto& in : inputs)
        std::visit([&](auto& i) { this->handle_input(i, batch); }, in);
    if (!batch.batch.empty())
        this->advance(std::move(batch));
    const auto now = this->setup.clock();
    if (now >= this->next_tick) {
        this->next_tick =
            now + this->setup.times.heartbeat_interval / ticks_per_heartbeat;
        this->advance(consensus::tick{});
        this->waiting.expire(now);
        if (std::any_of(
                this->pending_transfers.begin(),
                this->pending_transfers.end(),
                [&](const pending_barrier& w) { return w.deadline <= now; }))
            this->finish_transfers(false);
    }
    this->take_snapshot_if_due();
    this->publish();
}

void event_loop::handle_input(propose_input& in, consensus::proposals& batch)
{
    if (in.refused) {
        in.done({propose_state::unavailable, {}, {}});
        return;
    }
    const auto deadline = this->setup.clock() + this->setup.propose_timeout;
    const auto tag = this->waiting.add(
        pending_proposal{std::move(in.done), deadline, {}, {}});
    batch.batch.push_back({tag, std::move(in.command)});
}

void event_loop::handle_input(barrier_input& in, consensus::proposals&)
{
    const auto deadline = this->setup.clock() + this->setup.propose_timeout;
    const auto tag =
        this->waiting.add(pending_barrier{std::move(in.done), deadline});
    this->advance(consensus::read_requested{tag});
}

void event_loop::handle_input(add_member_input& in, consensus::proposals&)
{
    const auto deadline =
        this->setup.clock() + this->setup.membership_change_timeout;
    const auto tag = this->waiting.add(
        pending_proposal{std::move(in.done), deadline, in.added.vm, {}});
    this->advance(consensus::member_added{tag, to_consensus(in.added)});
}

void event_loop::handle_input(remove_member_input& in, consensus::proposals&)
{
    const auto deadline =
        this->setup.clock() + this->setup.membership_change_timeout;
    const auto tag = this->waiting.add(
        pending_proposal{std::move(in.done), deadline, {}, {}});
    this->advance(consensus::member_removed{tag, in.removed});
}

void event_loop::handle_input(message_input& in, consensus::proposals&)
{
    ++this->counts.messages_received;
    if (in.encoded.group != this->setup.group)
        return;
    std::optional<consensus::message> m;
    base::handle(
        [&]() -> base::result<void> {
            BOOST_LEAF_ASSIGN(m, consensus::decode(in.encoded));
            return {};
        },
        [&](const base::error&) { ++this->counts.messages_malformed; });
    if (m)
        this->advance(
            consensus::message_received{std::move(in.from), std::move(*m)});
}

void event_loop::handle_input(transfer_input& in, consensus::proposals&)
{
    if (this->state.role != consensus::role::leader) {
        in.done({true});
        return;
    }
    this->pending_transfers.push_back(
        {std::move(in.done),
         this->setup.clock() + this->setup.times.election_timeout_min});
    this->advance(consensus::transfer_requested{});
}

void event_loop::handle_input(persisted_input& in, consensus::proposals&)
{
    this->advance(consensus::persisted{in.write_sequence});
}

void event_loop::handle_input(disk_input& in, consensus::proposals&)
{
    if (in.state.refuses_writes) {
        ++this->counts.disk_refusals;
        spdlog::error("event=disk_refuses_writes reason=\"{}\"", in.reason);
    } else {
        spdlog::info("event=disk_writable");
    }
    this->advance(in.state);
}

void event_loop::handle_input(snapshot_saved_input& in, consensus::proposals&)
{
    this->snapshot_in_progress = false;
    ++this->counts.snapshots_taken;
    this->advance(consensus::snapshot_taken{in.content.last, in.content.data});
}

void event_loop::advance(consensus::event what)
{
    auto actions =
        consensus::step(this->state, std::move(what), this->setup.clock());
    for (auto& a : actions)
        std::visit([&](auto& item) { this->carry_out(item); }, a);
}

void event_loop::carry_out(consensus::send& a)
{
    ++this->counts.messages_sent;
    this->setup.network(a.to, consensus::encode(this->setup.group, a.content));
}

void event_loop::carry_out(consensus::persist& a)
{
    this->disk.add(std::move(a));
}

void event_loop::carry_out(consensus::apply& a)
{
    for (const auto& e : a.entries) {
        std::string reply;
        if (e.kind == consensus::entry_kind::command) {
            reply = this->machine.apply(e.index, e.payload);
            ++this->counts.applied;
            this->bytes_since_snapshot += e.payload.size();
        }
        ++this->entries_since_snapshot;
        this->waiting.on_applied(e, std::move(reply));
        if (e.kind != consensus::entry_kind::membership)
            continue;
        base::handle(
            [&]() -> base::result<void> {
                BOOST_LEAF_AUTO(
                    members, consensus::decode_membership(e.payload));
                this->waiting.on_members(members);
                return {};
            },
            [&](const base::error& error) {
                this->setup.on_fatal_error(error.detail);
            });
    }
}

void event_loop::carry_out(consensus::install_snapshot& a)
{
    this->machine.restore(a.snapshot.last, *a.snapshot.data);
    this->entries_since_snapshot = 0;
    this->bytes_since_snapshot = 0;
    this->disk.add(std::move(a));
}

void event_loop::carry_out(consensus::accepted& a)
{
    this->waiting.on_accepted(a);
}

void event_loop::carry_out(consensus::rejected& a)
{
    this->waiting.on_rejected(a);
}

void event_loop::carry_out(consensus::read_ready& a)
{
    // Earlier actions have applied all committed entries.
    this->waiting.on_read_ready(a.tag);
}

void event_loop::carry_out(consensus::role_changed& a)
{
    const bool is_leader = a.now == consensus::role::leader;
    if (this->was_leader && !is_leader) {
        this->waiting.on_leadership_lost();
        this->finish_transfers(true);
    }
    this->was_leader = is_leader;
}

void event_loop::finish_transfers(bool ok)
{
    for (auto& w : std::exchange(this->pending_transfers, {}))
        w.done({ok});
}

void event_loop::take_snapshot_if_due()
{
    const bool is_due =
        this->entries_since_snapshot >= this->setup.snapshot_interval_entries ||
        this->bytes_since_snapshot >= this->setup.snapshot_interval_bytes;
    if (!is_due || this->snapshot_in_progress)
        return;
    this->snapshot_in_progress = true;
    this->entries_since_snapshot = 0;
    this->bytes_since_snapshot = 0;
    const auto last = this->state.applied;
    const auto& log = this->state.log;
    this->disk.add(save_snapshot{consensus::snapshot_content{
        last,
        *consensus::term_at(log, last),
        consensus::membership_at(log, last),
        std::make_shared<const std::string>(this->machine.take_snapshot())}});
}

} // namespace oleanderhinge::replica::internal
