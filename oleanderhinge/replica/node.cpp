#include "oleanderhinge/replica/node.hpp"

#include "oleanderhinge/base/random.hpp"
#include "oleanderhinge/replica/internal/core.hpp"

#include <utility>

namespace oleanderhinge::replica
{

struct node::implementation {
    internal::core core;
};

namespace
{

// Checks what the folder says beyond the checksums, and builds the state.
base::result<consensus::node_state>
recover(const node_setup& setup, storage::recovered_state& found)
{
    consensus::setup from;
    from.self = setup.self;
    from.disk = found.disk;
    from.times = setup.times;
    from.bounds = setup.bounds;
    from.seed = setup.seed;
    for (const auto& m : setup.initial)
        from.initial.push_back(internal::to_consensus(m));
    from.vote = {found.vote.current, found.vote.voted_for};
    if (found.snapshot) {
        BOOST_LEAF_ASSIGN(
            from.snapshot, internal::from_stored(*found.snapshot));
    }
    for (auto& r : found.records) {
        if (r.kind > std::uint8_t(consensus::entry_kind::membership))
            return base::fail(
                base::error_code::corrupt,
                "record " + std::to_string(r.index.value()) +
                    " has the unknown kind " + std::to_string(r.kind));
        from.entries.push_back(internal::to_entry(std::move(r)));
        const auto& e = from.entries.back();
        if (e.kind == consensus::entry_kind::membership)
            BOOST_LEAF_CHECK(consensus::decode_membership(e.payload));
    }
    return consensus::make_state(std::move(from), setup.clock());
}

} // namespace

node::node(std::unique_ptr<implementation> parts_in)
    : parts(std::move(parts_in))
{
}

node::~node() = default;

base::result<std::unique_ptr<node>>
node::open(node_setup setup, storage::file_system& files, state_machine machine)
{
    if (setup.seed == 0)
        setup.seed = base::entropy_seed();
    const auto drawn = setup.fresh_disk == base::incarnation{}
                           ? base::incarnation{base::entropy_seed() | 1U}
                           : setup.fresh_disk;
    BOOST_LEAF_AUTO(
        opened, storage::log_store::open(files, setup.files, drawn));
    BOOST_LEAF_AUTO(state, recover(setup, opened.state));
    // `core` cannot be moved, so the aggregate is built in place.
    std::unique_ptr<implementation> made(new implementation{
        {std::move(setup),
         std::move(machine),
         std::move(state),
         std::move(opened.store)}});
    return std::unique_ptr<node>(new node(std::move(made)));
}

void node::propose(
    std::string command, std::function<void(propose_result)> done)
{
    this->parts->core.add(
        internal::propose_input{std::move(command), std::move(done)});
}

void node::read_barrier(std::function<void(barrier_result)> done)
{
    this->parts->core.add(internal::barrier_input{std::move(done)});
}

void node::add_member(member added, std::function<void(propose_result)> done)
{
    this->parts->core.add(
        internal::add_input{std::move(added), std::move(done)});
}

void node::remove_member(
    base::vm_id removed, std::function<void(propose_result)> done)
{
    this->parts->core.add(
        internal::remove_input{std::move(removed), std::move(done)});
}

log_status node::status() const
{
    return this->parts->core.status();
}

void node::receive(const base::vm_id& from, wire::consensus_message packed)
{
    this->parts->core.add(internal::packed_input{from, std::move(packed)});
}

void node::hand_over(std::function<void(barrier_result)> done)
{
    this->parts->core.add(internal::hand_over_input{std::move(done)});
}

void node::stop()
{
    this->parts->core.stop();
}

node_counters node::counters() const
{
    return this->parts->core.counters();
}

} // namespace oleanderhinge::replica
