// Memory that several holders share, each of which may hold as much as is
// unused, so that large holders leave room for others. Source: Choudhury and
// Hahne, "Dynamic Queue Length Thresholds in a Shared Memory ATM Switch", 1996.
//
// Example:
//   memory_share share(memory);
//   while (read(body))
//       if (!share.resize(body.capacity()))
//           return too_large;
#pragma once

#include <cstddef>

namespace oleanderhinge::net
{

// In bytes.
struct shared_memory {
    std::size_t limit = 0;
    std::size_t used = 0;
};

// Whether a holder of `held` bytes may hold `bytes`: always if that is less,
// else if no more than that would be left unused.
bool may_hold(const shared_memory& memory, std::size_t held, std::size_t bytes);

// What one holder has; returned to the memory at the end of its life.
class memory_share
{
public:
    explicit memory_share(shared_memory& memory);
    ~memory_share();
    memory_share(const memory_share&) = delete;
    memory_share& operator=(const memory_share&) = delete;

    // Returns false, without a change, if the holder may not hold that much.
    bool resize(std::size_t bytes);

private:
    shared_memory& memory;
    std::size_t held = 0;
};

} // namespace oleanderhinge::net
