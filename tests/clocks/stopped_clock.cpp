// Preloaded into a program under test: clocks that do not count the time during
// which its VM stands still, as after a suspend. The test adds that time to the
// two numbers of a shared file (tests/harness/control_nodes.hpp).
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <dlfcn.h>
#include <fcntl.h>
#include <pthread.h>
#include <sys/mman.h>
#include <unistd.h>

namespace
{

struct stopped_times {
    volatile std::int64_t monotonic_ns;
    volatile std::int64_t boot_ns;
};

constexpr std::int64_t ns_per_second = 1'000'000'000;

const stopped_times& stopped()
{
    static const stopped_times* const shared = [] {
        static const stopped_times none{0, 0};
        const char* path = std::getenv("OLEANDERHINGE_STOPPED_CLOCK");
        const int file = path == nullptr ? -1 : ::open(path, O_RDONLY);
        if (file < 0)
            return &none;
        void* at = ::mmap(
            nullptr, sizeof(stopped_times), PROT_READ, MAP_SHARED, file, 0);
        ::close(file);
        return at == MAP_FAILED ? &none : static_cast<const stopped_times*>(at);
    }();
    return *shared;
}

std::int64_t stopped_on(clockid_t clock)
{
    if (clock == CLOCK_MONOTONIC)
        return stopped().monotonic_ns;
    return clock == CLOCK_BOOTTIME ? stopped().boot_ns : 0;
}

timespec moved(const timespec& from, std::int64_t by_ns)
{
    const auto total = from.tv_sec * ns_per_second + from.tv_nsec + by_ns;
    return {total / ns_per_second, total % ns_per_second};
}

template <class Function>
Function original(const char* name)
{
    return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

} // namespace

extern "C" int clock_gettime(clockid_t clock, timespec* now) noexcept
{
    static const auto call =
        original<int (*)(clockid_t, timespec*)>("clock_gettime");
    const int failed = call(clock, now);
    if (failed == 0)
        *now = moved(*now, -stopped_on(clock));
    return failed;
}

extern "C" int pthread_cond_clockwait(
    pthread_cond_t* condition,
    pthread_mutex_t* mutex,
    clockid_t clock,
    const timespec* limit)
{
    static const auto call = original<int (*)(
        pthread_cond_t*, pthread_mutex_t*, clockid_t, const timespec*)>(
        "pthread_cond_clockwait");
    const auto real_limit = moved(*limit, stopped_on(clock));
    return call(condition, mutex, clock, &real_limit);
}
