// Capacity summaries per model for other data centres (docs/design.md, 3.7).
//
// For each other data centre, one entry node chosen by rendezvous hashing sends
// the totals of all models. The receiver relays them inside its data centre.
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

// Time between summaries. A full set for 19 data centres with 32 models takes
// about 25 KB, so sending it once a second would exceed the limit of 12 KB/s of
// a node.
inline constexpr base::duration summary_interval = std::chrono::seconds(10);

// Totals of the servers of each model and version that are in state `serving`
// and have not expired, sorted by model and version. The free slots of a model
// are those of its layer range with the fewest; they are zero if no server
// holds some layer.
std::vector<wire::model_total>
total_models(const directory_snapshot& view, base::time_point now);

// The total of the given servers, which must all have the same model and
// version. Empty if there are none.
wire::model_total total_of(const std::vector<server_entry_ptr>& servers);

struct summary_sender {
    base::data_centre_id data_centre;
    base::incarnation own_incarnation;
    std::uint64_t sequence = 0;
};

// Increments the sequence and returns summaries that fit datagrams of
// wire::max_datagram bytes with header and tag.
std::vector<wire::model_summary> make_summaries(
    summary_sender& sender, const std::vector<wire::model_total>& totals);

// Whether the entry node `self` sends the summaries of its data centre `own` to
// the data centre `other`. `nodes` are the live entry nodes, including `self`.
bool sends_summary(
    const wire::endpoint& self,
    const std::vector<wire::endpoint>& nodes,
    const base::data_centre_id& own,
    const base::data_centre_id& other);

// --- Receiver ---------------------------------------------------------------

struct remote_model {
    wire::model_total total;
    // When the summary was made, on the clock of this VM: the time of receipt
    // minus the stated age.
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
    // A model of a data centre expires this long after its summary was made.
    base::duration lease = 3 * summary_interval;
    std::size_t max_models = 4096;
    std::map<remote_model_key, remote_model> models;
    // Totals dropped because they were not newer or had expired on arrival.
    std::uint64_t outdated = 0;
};

// Applies a summary. Returns false if it contained nothing newer, in which case
// it must not be relayed.
bool apply_summary(
    remote_models& remote,
    const wire::model_summary& summary,
    base::time_point now);

// Removes the models whose lease has ended.
void expire(remote_models& remote, base::time_point now);

// Data centres that serve a model, with the most free slots first. An empty
// version means any. Expired models are left out.
std::vector<std::pair<base::data_centre_id, wire::model_total>>
data_centres_of_model(
    const remote_models& remote,
    const base::model_id& model,
    std::string_view version,
    base::time_point now);

} // namespace oleanderhinge::membership
