// Memory for answers that have arrived in part, over all requests of a gateway.
//
// An answer may hold as much as is unused, so that servers which write without
// end leave room for the answers of others. Source: Choudhury and Hahne,
// "Dynamic Queue Length Thresholds in a Shared Memory ATM Switch", 1996.
//
// Example:
//   answer_share share(memory);
//   while (read(body))
//       if (!share.resize(body.capacity()))
//           return too_large;
#pragma once

#include <cstddef>

namespace oleanderhinge::gateway
{

// In bytes.
struct answer_memory {
    std::size_t limit = 0;
    std::size_t used = 0;
};

// What one answer holds; returned to the memory at the end of its life.
class answer_share
{
public:
    explicit answer_share(answer_memory& memory);
    ~answer_share();
    answer_share(const answer_share&) = delete;
    answer_share& operator=(const answer_share&) = delete;

    // Changes what the answer holds. Returns false, without a change, if that
    // is more than would be left unused.
    bool resize(std::size_t bytes);

private:
    answer_memory& memory;
    std::size_t held = 0;
};

} // namespace oleanderhinge::gateway
