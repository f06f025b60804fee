#include "groupstandin.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <stdexcept>
#include <utility>

namespace burdockhead::test {

namespace {

using Json = nlohmann::json;

// Choices of each expert in a step; those of one rank under the first map are in demand.
constexpr std::uint64_t manyChoices = 40000;
constexpr std::uint64_t fewChoices = 1000;

} // namespace

GroupStandIn::GroupStandIn(EventLoop &loop, const std::vector<std::string> &hosts,
                           std::uint16_t port, std::uint64_t seed, const GroupShape &shape)
    : m_loop(loop)
    , m_hosts(hosts)
    , m_port(port)
    , m_shape(shape)
    , m_random(seed)
    , m_ranks(hosts.size())
{
    shiftDemand(0);
    Map first;
    first.m_experts.resize(hosts.size());
    for (std::size_t expert = 0; expert < m_shape.m_experts; ++expert)
        first.m_experts[expert % hosts.size()].push_back(expert);
    for (std::size_t rank = 0; rank < hosts.size(); ++rank) {
        m_ranks[rank].m_map = first;
        m_ranks[rank].m_counts.resize(m_shape.m_experts);
        m_ranks[rank].m_listener = listen(rank, port, false);
        recordReport(rank);
    }
    makeSteps();
}

std::unique_ptr<HttpListener> GroupStandIn::listen(std::size_t rank, std::uint16_t port,
                                                   bool isOwnVm)
{
    auto listener = std::make_unique<HttpListener>(
        m_loop, [this, rank, isOwnVm](const auto &exchange) { handle(rank, exchange, isOwnVm); });
    std::string error;
    if (!listener->start({m_hosts[rank], port}, error))
        throw std::runtime_error(error);
    return listener;
}

void GroupStandIn::serveOwnVms(std::uint16_t port, Milliseconds lag)
{
    m_ownPort = port;
    m_reportLag = lag;
    for (std::size_t rank = 0; rank < m_ranks.size(); ++rank)
        m_ranks[rank].m_ownListener = listen(rank, port, true);
}

std::string GroupStandIn::ownAddress(std::size_t rank) const
{
    return m_hosts[rank] + ":" + std::to_string(m_ownPort);
}

std::string GroupStandIn::entry(std::size_t rank) const
{
    const Json entry = {
        {"service", "llm"},   {"address", address(rank)}, {"zone", "a"},          {"version", 1},
        {"slots", 4},         {"state", "ready"},         {"coldRemainingMs", 0}, {"sequence", 1},
        {"born", 1000 + rank}};
    return entry.dump();
}

std::string GroupStandIn::address(std::size_t rank) const
{
    return m_hosts[rank] + ":" + std::to_string(m_port);
}

std::string GroupStandIn::service() const
{
    const Json engine = {{"slots", 4},
                         {"sets", 1},
                         {"experts", m_shape.m_experts},
                         {"places", m_shape.m_places},
                         {"spare", 2},
                         {"expertMb", 10.0},
                         {"linkMbps", 10000.0},
                         {"expertShare", 0.8}};
    return Json({{"name", "llm"}, {"healthPath", "/health"}, {"engine", engine}}).dump();
}

void GroupStandIn::setLateOrders(double part, Milliseconds delay)
{
    m_latePart = part;
    m_lateBy = delay;
}

void GroupStandIn::setDoubledOrders(double part, Milliseconds delay)
{
    m_doubledPart = part;
    m_doubledAfter = delay;
}

// Draws no number for a part of nothing.
bool GroupStandIn::isOneOf(double part)
{
    return part > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < part;
}

void GroupStandIn::setFirstVersion(std::uint64_t version)
{
    m_firstVersion = version;
    for (Rank &rank : m_ranks)
        rank.m_map.m_version = version;
    setHighestVersion(version);
}

void GroupStandIn::setHighestVersion(std::uint64_t version)
{
    for (Rank &rank : m_ranks)
        rank.m_highestVersion = version;
}

void GroupStandIn::setPace(std::size_t rank, double pace)
{
    m_ranks[rank].m_pace = pace;
}

void GroupStandIn::shiftDemand(std::size_t rank)
{
    m_choices.clear();
    for (std::size_t expert = 0; expert < m_shape.m_experts; ++expert)
        m_choices.push_back(expert % m_ranks.size() == rank ? manyChoices : fewChoices);
}

void GroupStandIn::drawDemand()
{
    constexpr double exponent = 1.3;
    constexpr double least = 0.02;
    std::uniform_real_distribution<double> uniform(0, 1);
    for (std::uint64_t &choices : m_choices)
        choices =
            static_cast<std::uint64_t>(fewChoices / std::pow(uniform(m_random) + least, exponent));
}

void GroupStandIn::freezeOnHold(std::size_t rank, std::function<void()> frozen)
{
    m_freezesOnHold = rank;
    m_onFrozen = std::move(frozen);
}

void GroupStandIn::handle(std::size_t rank, const std::shared_ptr<HttpExchange> &exchange,
                          bool isOwnVm)
{
    // Calls from other VMs take some time on their way, once there are calls from the own one.
    if (!isOwnVm && m_ownPort != 0)
        m_loop.callAt(Clock::now() + m_shape.m_networkTime,
                      [this, rank, exchange] { respond(rank, exchange, false); });
    else
        respond(rank, exchange, isOwnVm);
}

void GroupStandIn::respond(std::size_t rank, const std::shared_ptr<HttpExchange> &exchange,
                           bool isOwnVm)
{
    // A frozen VM answers nothing; the caller's own time-out ends the call.
    if (m_frozen == rank)
        return;
    const std::string &target = exchange->head().m_target;
    const HttpHeaders headers = {{"Content-Type", "application/json"}};
    if (target == "/-/report")
        exchange->answer(200, headers, isOwnVm ? report(rank) : laggingReport(rank));
    else if (target.starts_with("/-/picked"))
        exchange->answer(200, headers, picked(rank, target.find("lists") != std::string::npos));
    else if (target == "/-/order")
        takeOrder(rank, exchange);
    else
        exchange->answer(404, {}, "");
}

void GroupStandIn::takeOrder(std::size_t rank, const std::shared_ptr<HttpExchange> &exchange)
{
    const std::string order = exchange->body();
    if (m_dropsPreparations && Json::parse(order).at("operation") == "prepare") {
        const TimePoint now = Clock::now();
        const auto [dropped, isFirst] = m_dropped.try_emplace({rank, order}, now);
        if (isFirst)
            return;
        m_longestRepetition =
            std::max(m_longestRepetition.value_or(Duration(0)), now - dropped->second);
    }
    if (isOneOf(m_lostPart))
        return;
    if (isOneOf(m_doubledPart))
        m_loop.callAt(Clock::now() + m_doubledAfter,
                      [this, rank, order] { carryOut(rank, order); });
    if (isOneOf(m_latePart)) {
        m_loop.callAt(Clock::now() + m_lateBy, [this, rank, order] { carryOut(rank, order); });
        return;
    }
    const int status = carryOut(rank, order);
    if (m_frozen != rank)
        exchange->answer(status, {}, "");
}

int GroupStandIn::carryOut(std::size_t number, const std::string &text)
{
    const int status = execute(number, text);
    recordReport(number);
    return status;
}

int GroupStandIn::execute(std::size_t number, const std::string &text)
{
    constexpr int done = 202;
    constexpr int refused = 409;
    const Json order = Json::parse(text);
    const std::string operation = order.at("operation");
    const std::uint64_t version = order.value("version", std::uint64_t(0));
    const std::uint64_t step = order.value("step", std::uint64_t(0));
    Rank &rank = m_ranks[number];
    if (order.value("expected", rank.m_sequence) != rank.m_sequence)
        return refused;
    if (operation == "prepare") {
        const std::string map = order.at("map").dump();
        m_hasReusedVersion |= m_orderedMaps.try_emplace(version, map).first->second != map;
        if (version <= rank.m_highestVersion || rank.m_armed)
            return refused;
        rank.m_highestVersion = version;
        load(number, Map{version, order.at("map").at(0).get<RankMap>()});
    } else if (operation == "arm") {
        if (!rank.m_prepared || rank.m_prepared->m_version != version || step <= m_step)
            return refused;
        rank.m_armed = Armed{version, step};
    } else if (operation == "disarm") {
        if (rank.m_armed && rank.m_armed->m_version == version)
            rank.m_armed.reset();
    } else if (operation == "hold") {
        const bool holdsOtherwise = m_held && (m_held != step || m_holder != number);
        if (step <= m_step || holdsOtherwise)
            return refused;
        m_held = step;
        m_holder = number;
        if (m_freezesOnHold) {
            m_frozen = std::exchange(m_freezesOnHold, std::nullopt);
            m_onFrozen();
        }
    } else if (m_held == step && m_holder == number) {
        m_held.reset();
    }
    ++rank.m_sequence;
    return done;
}

// A map is prepared once all its experts are loaded, unless another one has been ordered since.
void GroupStandIn::load(std::size_t number, Map map)
{
    Rank &rank = m_ranks[number];
    const std::vector<std::size_t> &held = rank.m_map.m_experts[number];
    const std::vector<std::size_t> &wanted = map.m_experts[number];
    const auto added = std::count_if(wanted.begin(), wanted.end(), [&](std::size_t expert) {
        return std::find(held.begin(), held.end(), expert) == held.end();
    });
    if (added == 0 || m_shape.m_loadTime == Milliseconds(0)) {
        rank.m_prepared = std::move(map);
        return;
    }
    rank.m_prepared.reset();
    m_loop.callAt(Clock::now() + m_shape.m_loadTime * added, [this, number, map = std::move(map)] {
        if (m_ranks[number].m_highestVersion != map.m_version)
            return;
        m_ranks[number].m_prepared = map;
        recordReport(number);
    });
}

std::string GroupStandIn::report(std::size_t number) const
{
    const Rank &rank = m_ranks[number];
    const Json group = {{"name", "g0"}, {"epoch", 1}, {"rank", number}, {"state", "open"}};
    Json report = {
        {"group", group},      {"size", m_ranks.size()},      {"born", 1000 + number},
        {"step", m_step},      {"sequence", rank.m_sequence}, {"map", rank.m_map.m_version},
        {"pace", rank.m_pace}, {"prepared", nullptr},         {"armed", nullptr},
        {"held", nullptr}};
    if (rank.m_prepared)
        report["prepared"] = rank.m_prepared->m_version;
    if (rank.m_armed)
        report["armed"] = {{"version", rank.m_armed->m_version}, {"step", rank.m_armed->m_step}};
    if (m_held && m_holder == number)
        report["held"] = *m_held;
    return report.dump();
}

const std::string &GroupStandIn::laggingReport(std::size_t number) const
{
    const std::deque<PastReport> &reports = m_ranks[number].m_reports;
    const TimePoint at = Clock::now() - m_reportLag;
    const auto later = std::find_if(reports.begin() + 1, reports.end(),
                                    [&](const PastReport &past) { return past.m_since > at; });
    return std::prev(later)->m_report;
}

void GroupStandIn::recordReport(std::size_t number)
{
    constexpr std::size_t mostReports = 200;
    std::deque<PastReport> &reports = m_ranks[number].m_reports;
    reports.push_back({Clock::now(), report(number)});
    if (reports.size() > mostReports)
        reports.pop_front();
}

std::string GroupStandIn::picked(std::size_t number, bool hasLists) const
{
    const Rank &rank = m_ranks[number];
    Json picked = {{"step", m_step}, {"epoch", 1}, {"counts", rank.m_counts}};
    if (hasLists)
        picked = {{"map",
                   {{"version", rank.m_map.m_version},
                    {"experts", Json::array({rank.m_map.m_experts[number]})}}}};
    return picked.dump();
}

void GroupStandIn::makeSteps()
{
    if (!isHeld())
        beginStep();
    m_loop.callAt(Clock::now() + m_shape.m_stepTime, [this] { makeSteps(); });
}

void GroupStandIn::beginStep()
{
    ++m_step;
    for (Rank &rank : m_ranks) {
        for (std::size_t expert = 0; expert < m_shape.m_experts; ++expert)
            rank.m_counts[expert] += m_choices[expert];
        if (!rank.m_armed || rank.m_armed->m_step != m_step)
            continue;
        rank.m_map = *std::exchange(rank.m_prepared, std::nullopt);
        rank.m_armed.reset();
    }
    for (std::size_t rank = 0; rank < m_ranks.size(); ++rank)
        recordReport(rank);
    const Map &first = m_ranks.front().m_map;
    m_hasSplit |= std::any_of(m_ranks.begin(), m_ranks.end(),
                              [&](const Rank &rank) { return rank.m_map != first; });
}

} // namespace burdockhead::test
