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
    // Members of the cluster at its first start, or where to find it.
    // False: the group exists and admits this node.
    bool forms_group = true;
    std::vector<replica::member> members;
    // Empty: this VM has no disk.
    std::string data_folder;
    unsigned threads = 2;
};

// Fails with `out_of_range` if a relation between settings is broken; the
// message names the settings and their values.
base::result<control_settings> load_settings(const settings::values& checked);

// Parses "control-1=127.0.0.1:7501/127.0.0.1:7601, control-2=...": name, link
// endpoint and admin endpoint of each member.
base::result<std::vector<replica::member>>
parse_members(const std::string& text);

} // namespace oleanderhinge::control
