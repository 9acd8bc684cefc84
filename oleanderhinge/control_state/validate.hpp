// Validation of intents before they become a plan.
//
// Example:
//   auto faults = validate(config, intents);
//   // {"route diagnose: layer_count is 0, must be at least 1"}
#pragma once

#include "oleanderhinge/wire/configuration.hpp"

#include <string>
#include <vector>

namespace oleanderhinge::control_state
{

// One sentence for each fault, with object, field, value and what is allowed;
// empty if the intents can be planned on top of `config`. At most 50 faults
// are listed.
std::vector<std::string> validate(
    const wire::configuration& config,
    const std::vector<wire::change>& intents);

} // namespace oleanderhinge::control_state
