#include "oleanderhinge/control/program.hpp"

#include "platform/control_calls.hpp"

int main(int argc, char** argv)
{
    return oleanderhinge::control::run_program(
        argc, argv, oleanderhinge::platform::control_extension());
}
