#include "oleanderhinge/replica/node.hpp"

#include "oleanderhinge/base/random.hpp"
#include "oleanderhinge/replica/internal/event_loop.hpp"
#include "oleanderhinge/storage/formation.hpp"

#include <algorithm>
#include <utility>

namespace oleanderhinge::replica
{

struct node::implementation {
    internal::event_loop loop;
};

namespace
{

bool has_membership(const consensus::setup& options)
{
    const auto is_membership = [](const consensus::entry& e) {
        return e.kind == consensus::entry_kind::membership;
    };
    return options.snapshot ||
           std::any_of(
               options.entries.begin(), options.entries.end(), is_membership);
}

// Chooses the members that form the cluster: at a first start those of the
// settings, which it records; later those of the record.
base::result<void> choose_initial(
    const node_setup& setup,
    storage::file_system& files,
    consensus::setup& options)
{
    for (const auto& m : setup.initial)
        options.initial.push_back(internal::to_consensus(m));
    if (has_membership(options))
        return {};
    if (setup.first_start) {
        if (!options.initial.empty())
            BOOST_LEAF_CHECK(storage::write_formation(
                files, consensus::encode_membership(options.initial)));
        return {};
    }
    BOOST_LEAF_AUTO(recorded, storage::read_formation(files));
    options.waits_for_invitation = !recorded;
    if (recorded) {
        BOOST_LEAF_ASSIGN(
            options.initial, consensus::decode_membership(*recorded));
    }
    return {};
}

// Builds the state from the recovered folder. Checks what its checksums do not
// cover: kinds of entries, and that snapshot and memberships parse.
base::result<consensus::node_state> recover(
    const node_setup& setup,
    storage::file_system& files,
    storage::recovered_state& found)
{
    consensus::setup options;
    options.self = setup.self;
    options.disk = found.disk;
    options.times = setup.times;
    options.bounds = setup.bounds;
    options.seed = setup.seed;
    options.vote = {found.vote.current, found.vote.voted_for};
    if (found.snapshot) {
        BOOST_LEAF_ASSIGN(
            options.snapshot, internal::from_stored(*found.snapshot));
    }
    for (auto& r : found.records) {
        if (r.kind > std::uint8_t(consensus::entry_kind::membership))
            return base::fail(
                base::error_code::corrupt,
                "record " + std::to_string(r.index.value()) +
                    " has the unknown kind " + std::to_string(r.kind));
        options.entries.push_back(internal::to_entry(std::move(r)));
        const auto& e = options.entries.back();
        if (e.kind == consensus::entry_kind::membership)
            BOOST_LEAF_CHECK(consensus::decode_membership(e.payload));
    }
    BOOST_LEAF_CHECK(choose_initial(setup, files, options));
    return consensus::make_state(std::move(options), setup.clock());
}

} // namespace

node::node(std::unique_ptr<implementation> impl_in)
    : impl(std::move(impl_in))
{
}

node::~node() = default;

base::result<std::unique_ptr<node>>
node::open(node_setup setup, storage::file_system& files, state_machine machine)
{
    if (setup.seed == 0)
        setup.seed = base::entropy_seed();
    const auto new_incarnation =
        setup.new_disk_incarnation == base::incarnation{}
            ? base::incarnation{base::entropy_seed() | 1U}
            : setup.new_disk_incarnation;
    BOOST_LEAF_AUTO(
        opened, storage::log_store::open(files, setup.store, new_incarnation));
    BOOST_LEAF_AUTO(state, recover(setup, files, opened.state));
    // `event_loop` cannot be moved, so the aggregate is built in place.
    std::unique_ptr<implementation> impl(new implementation{
        {std::move(setup),
         std::move(machine),
         std::move(state),
         std::move(opened.store)}});
    return std::unique_ptr<node>(new node(std::move(impl)));
}

void node::propose(
    std::string command, std::function<void(propose_result)> done)
{
    this->impl->loop.add(
        internal::propose_input{std::move(command), std::move(done)});
}

void node::read_barrier(std::function<void(barrier_result)> done)
{
    this->impl->loop.add(internal::barrier_input{std::move(done)});
}

void node::add_member(member added, std::function<void(propose_result)> done)
{
    this->impl->loop.add(
        internal::add_member_input{std::move(added), std::move(done)});
}

void node::remove_member(
    base::vm_id removed, std::function<void(propose_result)> done)
{
    this->impl->loop.add(
        internal::remove_member_input{std::move(removed), std::move(done)});
}

log_status node::status() const
{
    return this->impl->loop.status();
}

void node::receive(const base::vm_id& from, wire::consensus_message encoded)
{
    this->impl->loop.add(internal::message_input{from, std::move(encoded)});
}

void node::transfer_leadership(std::function<void(barrier_result)> done)
{
    this->impl->loop.add(internal::transfer_input{std::move(done)});
}

void node::stop()
{
    this->impl->loop.stop();
}

node_counters node::counters() const
{
    return this->impl->loop.counters();
}

} // namespace oleanderhinge::replica
