#include "oleanderhinge/admin/program.hpp"

int main(int argc, char** argv)
{
    return oleanderhinge::admin::run_program(argc, argv);
}
