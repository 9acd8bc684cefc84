#include "oleanderhinge/control/program.hpp"

int main(int argc, char** argv)
{
    return oleanderhinge::control::run_program(argc, argv);
}
