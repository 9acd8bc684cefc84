#include "oleanderhinge/net/shared_memory.hpp"

namespace oleanderhinge::net
{

bool may_hold(const shared_memory& memory, std::size_t held, std::size_t bytes)
{
    return bytes <= held || memory.used - held + 2 * bytes <= memory.limit;
}

memory_share::memory_share(shared_memory& memory_in)
    : memory(memory_in)
{
}

memory_share::~memory_share()
{
    this->memory.used -= this->held;
}

bool memory_share::resize(std::size_t bytes)
{
    if (!may_hold(this->memory, this->held, bytes))
        return false;
    this->memory.used = this->memory.used - this->held + bytes;
    this->held = bytes;
    return true;
}

} // namespace oleanderhinge::net
