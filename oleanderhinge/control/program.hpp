// The program `oleanderhinge-control`.
#pragma once

#include "oleanderhinge/control/extension.hpp"

namespace oleanderhinge::control
{

// Runs the daemon until it is stopped. Exit codes: 0 after a complete shutdown
// or a successful check of the settings, 1 if the daemon cannot start, 2 for a
// wrong command line or wrong settings, 3 if work was aborted at shutdown, 4
// after a failed write or sync of the log.
int run_program(int argc, const char* const* argv, const extension& added = {});

} // namespace oleanderhinge::control
