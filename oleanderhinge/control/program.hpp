// The program `oleanderhinge-control`.
#pragma once

#include "oleanderhinge/control/extension.hpp"

namespace oleanderhinge::control
{

// Exit codes: 0 after a complete shutdown or a clean check, 1 if the daemon
// cannot start, 2 for a wrong command line or wrong settings, 3 if work was
// cut off, 4 after a failed write or sync of the log.
int run_program(int argc, const char* const* argv, const extension& added = {});

} // namespace oleanderhinge::control
