#include "oleanderhinge/gateway/answer_memory.hpp"

namespace oleanderhinge::gateway
{

answer_share::answer_share(answer_memory& memory_in)
    : memory(memory_in)
{
}

answer_share::~answer_share()
{
    this->memory.used -= this->held;
}

bool answer_share::resize(std::size_t bytes)
{
    const auto used = this->memory.used - this->held + bytes;
    if (bytes > this->held && used + bytes > this->memory.limit)
        return false;
    this->memory.used = used;
    this->held = bytes;
    return true;
}

} // namespace oleanderhinge::gateway
