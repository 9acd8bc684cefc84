// Validation of intents before they become a plan.
//
// Example:
//   auto faults = validate(config, intents);
//   // {"route diagnose: layer_count is 0, must be 1 to 4096"}
#pragma once

#include "oleanderhinge/wire/configuration.hpp"

#include <string>
#include <vector>

namespace oleanderhinge::control_state
{

// Returns one message for each fault, with object, field, value and allowed
// values, and at most 50 of them. Empty if the intents are valid for a plan on
// top of `config`.
std::vector<std::string> validate(
    const wire::configuration& config,
    const std::vector<wire::change>& intents);

} // namespace oleanderhinge::control_state
