// Settings of the control daemon.
//
// Example:
//   BOOST_LEAF_AUTO(values, settings::load("control.ini", control_keys()));
//   BOOST_LEAF_AUTO(chosen, load_settings(values));
#pragma once

#include "oleanderhinge/base/error.hpp"
#include "oleanderhinge/control/service.hpp"
#include "oleanderhinge/settings/schema.hpp"
#include "oleanderhinge/settings/timing.hpp"

#include <string>
#include <vector>

namespace oleanderhinge::control
{

// Sections node, control, link, raft, config, claims, admin and management,
// and the timing constants that all daemons share.
settings::schema control_keys();

struct control_settings {
    service_options service;
    settings::timing times;
    // True if this node may form a new group with `members`; false if it has to
    // be admitted to an existing group.
    bool forms_group = true;
    // `members` contains this node.
    bool is_named = true;
    // Members of the group at its first start, or seed nodes that may know it.
    std::vector<replica::member> members;
    // Empty if this VM has no disk.
    std::string data_folder;
    unsigned threads = 2;
};

// Fails with `out_of_range` if settings contradict each other, or if a required
// one is missing, malformed or too short; the message names the settings.
base::result<control_settings> load_settings(const settings::values& checked);

// Parses "control-1=127.0.0.1:7501/127.0.0.1:7601, control-2=...": name, link
// endpoint and admin endpoint of each member. Fails with `out_of_range` if an
// entry is malformed or a name is repeated.
base::result<std::vector<replica::member>>
parse_members(const std::string& text);

} // namespace oleanderhinge::control
