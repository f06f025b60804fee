#include <burdockhead/routing/leastreportedloadchooser.h>
#include <burdockhead/routing/powerofchoiceschooser.h>
#include <burdockhead/routing/replicachooser.h>
#include <burdockhead/routing/roundrobinchooser.h>

namespace burdockhead {

std::unique_ptr<ReplicaChooser> ReplicaChooser::create(ChooserType type)
{
    switch (type) {
    case ChooserType::RoundRobin:
        return std::make_unique<RoundRobinChooser>();
    case ChooserType::LeastReportedLoad:
        return std::make_unique<LeastReportedLoadChooser>();
    case ChooserType::PowerOfChoices:
        break;
    }
    return std::make_unique<PowerOfChoicesChooser>();
}

} // namespace burdockhead
