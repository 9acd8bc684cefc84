// Lowers the limit on open descriptors for the processes that a test starts.
//
// Example:
//   {
//       limited_descriptors limit(256);
//       run.start("gateway", command);
//   }
#pragma once

#include <cstddef>
#include <sys/resource.h>

namespace oleanderhinge::tests
{

class limited_descriptors
{
public:
    explicit limited_descriptors(std::size_t count)
    {
        ::getrlimit(RLIMIT_NOFILE, &this->before);
        rlimit lowered = this->before;
        lowered.rlim_cur = count;
        ::setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~limited_descriptors() { ::setrlimit(RLIMIT_NOFILE, &this->before); }
    limited_descriptors(const limited_descriptors&) = delete;
    limited_descriptors& operator=(const limited_descriptors&) = delete;

private:
    rlimit before{};
};

} // namespace oleanderhinge::tests
