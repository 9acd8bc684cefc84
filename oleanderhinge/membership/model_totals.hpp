// Per-model summaries for other data centres (docs/design.md, 3.7).
//
// One entry node of a data centre, chosen by rendezvous hashing for each other
// data centre, sends it the totals of all models. The receiver passes them on
// inside its own data centre.
//
// Example:
//   auto totals = total_models(*view, now);
//   for (auto& summary : make_summaries(sender, totals)) ...
//   apply_summary(remote, summary, now);
#pragma once

#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/membership/directory_query.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderhinge::membership
{

// Time between summaries. A full set of 19 data centres with 32 models takes
// about 25 KB, so once a second would exceed the 12 KB/s of a node.
inline constexpr base::duration summary_interval = std::chrono::seconds(10);

// Totals of the live serving servers of each model and version, sorted. The
// capacity of a model is that of its layers with the fewest free slots; layers
// that no server holds make it zero.
std::vector<wire::model_total>
total_models(const directory_snapshot& view, base::time_point now);

// The same as a function of entries, for one model version.
wire::model_total total_of(const std::vector<server_entry_ptr>& servers);

struct summary_sender {
    base::data_centre_id data_centre;
    base::incarnation own_incarnation;
    std::uint64_t sequence = 0;
};

// Summaries in datagrams of at most wire::max_datagram bytes with header and
// tag; raises the sequence.
std::vector<wire::model_summary> make_summaries(
    summary_sender& sender, const std::vector<wire::model_total>& totals);

// Whether the entry node `self` sends the summaries of its data centre to
// another one; `nodes` are the live entry nodes with `self`.
bool sends_summary(
    const wire::endpoint& self,
    const std::vector<wire::endpoint>& nodes,
    const base::data_centre_id& own,
    const base::data_centre_id& other);

// --- Receiver ---------------------------------------------------------------

struct remote_model {
    wire::model_total total;
    // When the summary was made, on the clock of this VM.
    base::time_point made;
    base::incarnation sender;
    std::uint64_t sequence = 0;
};

struct remote_model_key {
    base::data_centre_id data_centre;
    base::model_id model;
    std::string version;

    auto operator<=>(const remote_model_key&) const = default;
};

struct remote_models {
    // A model of a data centre expires this long after its summary.
    base::duration lease = 3 * summary_interval;
    std::size_t max_models = 4096;
    std::map<remote_model_key, remote_model> models;
    std::uint64_t old = 0;
};

// Takes a summary. Returns false if it held nothing newer, in which case it
// must not be passed on.
bool apply_summary(
    remote_models& remote,
    const wire::model_summary& summary,
    base::time_point now);

void expire(remote_models& remote, base::time_point now);

// Data centres that serve a model, most free capacity first. An empty version
// means any.
std::vector<std::pair<base::data_centre_id, wire::model_total>>
data_centres_of_model(
    const remote_models& remote,
    const base::model_id& model,
    std::string_view version,
    base::time_point now);

} // namespace oleanderhinge::membership
