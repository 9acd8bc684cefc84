// The program `oleanderhinge`, the operator's command line.
#pragma once

namespace oleanderhinge::admin
{

// Returns one of the exit codes in client.hpp.
int run_program(int argc, const char* const* argv);

} // namespace oleanderhinge::admin
