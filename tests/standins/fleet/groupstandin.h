#pragma once

#include <burdockhead/base/random.h>
#include <burdockhead/net/httplistener.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace burdockhead::test {

// Sizes and times of a group.
struct GroupShape
{
    std::size_t m_experts = 16;
    std::size_t m_places = 6;   // For experts at a rank.
    Milliseconds m_loadTime{0}; // Of an expert that is new to a rank.
    Milliseconds m_stepTime{30};
    Milliseconds m_networkTime{0}; // Of a call from another VM, there and back.
};

// A group of ranks in lock-step, each behind an address of its own, as the platform forms them.
// Its requests choose experts unevenly: those of one rank under the first map take most, which
// rank that is can be changed.
class GroupStandIn
{
public:
    // One rank on each host, all on one port.
    GroupStandIn(EventLoop &loop, const std::vector<std::string> &hosts, std::uint16_t port,
                 std::uint64_t seed, const GroupShape &shape = {});

    // The entry of a rank for service discovery, the service in the configuration, and where a
    // rank is.
    std::string entry(std::size_t rank) const;
    std::string service() const;
    std::string address(std::size_t rank) const;

    // Serves each rank on a further port, as to its own VM, where reports are fresh; from now on
    // those on the first port are this old. Returns the address there below.
    void serveOwnVms(std::uint16_t port, Milliseconds lag);
    std::string ownAddress(std::size_t rank) const;

    // Leaves a part of the orders unanswered and carries them out this much later.
    void setLateOrders(double part, Milliseconds delay);

    // Leaves a part of the orders unanswered and never carries them out.
    void setLostOrders(double part) { m_lostPart = part; }

    // Carries out a part of the orders once more, this much later.
    void setDoubledOrders(double part, Milliseconds delay);

    // Gives the first map this version, as planned by a coordinator whose clock was ahead.
    void setFirstVersion(std::uint64_t version);

    // Lets ranks have had versions up to this one, which they don't report.
    void setHighestVersion(std::uint64_t version);

    // Sets how long a rank takes for its work, relative to a healthy one.
    void setPace(std::size_t rank, double pace);

    // Lets requests choose the experts of another rank most.
    void shiftDemand(std::size_t rank);

    // Lets requests choose a few experts often, drawn at random. One change of the map rarely
    // suffices for that.
    void drawDemand();

    // Leaves each order to prepare unanswered the first time, and never carries that one out.
    void dropFirstPreparations() { m_dropsPreparations = true; }

    // The longest time between an order that was dropped and its repetition; none before any.
    std::optional<Duration> longestRepetition() const { return m_longestRepetition; }

    // Answers nothing for a rank, as while its VM is frozen, from the moment that the group is
    // held; `frozen` is called then.
    void freezeOnHold(std::size_t rank, std::function<void()> frozen);
    void thaw() { m_frozen.reset(); }

    std::uint64_t step() const { return m_step; }
    bool isHeld() const { return m_held == m_step + 1; }
    bool hasNewMap() const { return mapVersion() > m_firstVersion; }
    std::uint64_t mapVersion() const { return m_ranks.front().m_map.m_version; }
    bool isFrozen() const { return m_frozen.has_value(); }
    bool hasSplit() const { return m_hasSplit; }

    // Whether ranks were ordered to prepare two maps with the same version.
    bool hasReusedVersion() const { return m_hasReusedVersion; }

    Milliseconds stepTime() const { return m_shape.m_stepTime; }

private:
    using RankMap = std::vector<std::vector<std::size_t>>; // Experts, by rank.

    struct Map
    {
        std::uint64_t m_version = 0;
        RankMap m_experts;

        friend bool operator==(const Map &, const Map &) = default;
    };

    struct Armed
    {
        std::uint64_t m_version = 0;
        std::uint64_t m_step = 0;
    };

    // Report of a rank from this time on.
    struct PastReport
    {
        TimePoint m_since;
        std::string m_report;
    };

    struct Rank
    {
        Map m_map;
        std::optional<Map> m_prepared;
        std::optional<Armed> m_armed;
        std::uint64_t m_highestVersion = 0;
        double m_pace = 1;
        std::vector<std::uint64_t> m_counts;
        std::uint64_t m_sequence = 0;
        std::unique_ptr<HttpListener> m_listener;
        std::unique_ptr<HttpListener> m_ownListener;
        std::deque<PastReport> m_reports; // Oldest first.
    };

    bool isOneOf(double part);
    std::unique_ptr<HttpListener> listen(std::size_t rank, std::uint16_t port, bool isOwnVm);
    void handle(std::size_t rank, const std::shared_ptr<HttpExchange> &exchange, bool isOwnVm);
    void respond(std::size_t rank, const std::shared_ptr<HttpExchange> &exchange, bool isOwnVm);
    void takeOrder(std::size_t rank, const std::shared_ptr<HttpExchange> &exchange);
    int carryOut(std::size_t rank, const std::string &order);
    int execute(std::size_t rank, const std::string &order);
    void load(std::size_t rank, Map map);
    std::string report(std::size_t rank) const;
    const std::string &laggingReport(std::size_t rank) const;
    void recordReport(std::size_t rank);
    std::string picked(std::size_t rank, bool hasLists) const;
    void makeSteps();
    void beginStep();

    EventLoop &m_loop;
    const std::vector<std::string> m_hosts;
    const std::uint16_t m_port;
    const GroupShape m_shape;
    std::uint16_t m_ownPort = 0;
    Milliseconds m_reportLag{0};
    Random m_random;
    std::vector<Rank> m_ranks;
    std::uint64_t m_step = 1;
    std::uint64_t m_firstVersion = 0;
    std::optional<std::uint64_t> m_held;
    std::size_t m_holder = 0;
    bool m_dropsPreparations = false;
    std::map<std::pair<std::size_t, std::string>, TimePoint> m_dropped; // By rank and order.
    std::optional<Duration> m_longestRepetition;
    double m_lostPart = 0;
    double m_latePart = 0;
    Milliseconds m_lateBy{0};
    double m_doubledPart = 0;
    Milliseconds m_doubledAfter{0};
    std::vector<std::uint64_t> m_choices; // Of each expert in a step.
    std::optional<std::size_t> m_frozen;
    std::optional<std::size_t> m_freezesOnHold;
    std::function<void()> m_onFrozen;
    bool m_hasSplit = false;
    std::map<std::uint64_t, std::string> m_orderedMaps; // By version.
    bool m_hasReusedVersion = false;
};

} // namespace burdockhead::test
