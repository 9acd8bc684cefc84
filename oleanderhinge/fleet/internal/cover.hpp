// What servers should hold while others are out of use: first servers stand in
// for a server behind them, or its neighbours take over its layers.
#pragma once

#include "oleanderhinge/fleet/internal/chains.hpp"

#include <vector>

namespace oleanderhinge::fleet::internal
{

bool is_missing(const placed_server& server, base::time_point now);

// Notes what the servers hold, and which of them hold their places and are in
// use. Slow ones count as out: a path is as slow as its slowest part.
void observe_places(
    placement& plan,
    const std::vector<wire::server_record>& ready,
    base::time_point now);

// Sets what each server should hold now.
void cover_gaps(
    placement& plan, const wire::engine_profile& profile, base::time_point now);

// True if a layer of the model has no place at a present member, and too few
// first servers are left to stand in for the missing ones.
bool needs_new_division(
    const group& members,
    const wire::engine_profile& profile,
    base::time_point now);

} // namespace oleanderhinge::fleet::internal
