#include <burdockhead/observe/processusage.h>

#include <sys/resource.h>

#include <fstream>
#include <unistd.h>

namespace burdockhead {

namespace {

constexpr double microsecondsPerSecond = 1e6;

double seconds(const timeval &time)
{
    return static_cast<double>(time.tv_sec)
           + static_cast<double>(time.tv_usec) / microsecondsPerSecond;
}

} // namespace

ProcessUsage readProcessUsage()
{
    rusage used = {};
    getrusage(RUSAGE_SELF, &used);
    std::ifstream file("/proc/self/statm");
    double totalPages = 0;
    double residentPages = 0;
    file >> totalPages >> residentPages;
    return {seconds(used.ru_utime) + seconds(used.ru_stime),
            residentPages * static_cast<double>(sysconf(_SC_PAGESIZE))};
}

} // namespace burdockhead
