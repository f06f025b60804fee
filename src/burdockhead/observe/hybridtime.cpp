#include <burdockhead/observe/hybridtime.h>
#include <burdockhead/observe/wallclock.h>

namespace burdockhead {

std::string HybridTime::toString() const
{
    return wallTimeText(m_milliseconds) + "+" + std::to_string(m_counter);
}

} // namespace burdockhead
