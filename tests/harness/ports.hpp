// Ports for the processes that a test starts:
//
//   port_allocator ports(::getpid());
//   const auto port = ports.take();
#pragma once

#include <cstdint>

namespace oleanderhinge::tests
{

// Hands out ports that are free for TCP and UDP on the loopback address.
class port_allocator
{
public:
    // `seed` says where the search begins; test programs that run at the same
    // time pass different ones.
    explicit port_allocator(std::uint32_t seed);

    std::uint16_t take();

private:
    std::uint32_t next;
};

} // namespace oleanderhinge::tests
