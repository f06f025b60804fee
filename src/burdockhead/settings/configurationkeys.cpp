#include <burdockhead/settings/configurationkeys.h>

namespace burdockhead {

namespace {

constexpr std::uint64_t maxWeight = 1000000;
constexpr std::uint64_t maxPriority = 9;
constexpr std::uint64_t maxDeadlineMilliseconds = 24ULL * 60 * 60 * 1000;
constexpr std::uint64_t maxRequests = 100000;
constexpr std::uint64_t maxRanks = 1024;
constexpr std::uint64_t maxLayers = 1024;
constexpr std::uint64_t maxExperts = 4096;

using GroupKeys = std::vector<KeyBinding<EndpointGroup>>;

// Returns the keys shared by model groups and services.
GroupKeys commonGroupKeys()
{
    using Group = EndpointGroup;
    return {bindKey<Group>("kinds", &Group::m_kinds, allowedNameList,
                           "The kinds of request that the group serves")
                .required(),
            bindNumber<Group>("cold_limit", &Group::m_coldLimit, 0, maxRequests,
                              "Concurrent requests of an endpoint in cold start"),
            bindNumber<Group>("warm_limit", &Group::m_warmLimit, 1, maxRequests,
                              "Concurrent requests of a warm endpoint"),
            bindNumber<Group>("queue_limit", &Group::m_queueLimit, 0, maxRequests,
                              "Requests that may be queued at an endpoint's agent")};
}

GroupKeys makeModelGroupKeys()
{
    using Group = EndpointGroup;
    GroupKeys keys = {
        bindKey<Group>("model", &Group::m_model, allowedName, "The model name that callers use")
            .required(),
        bindKey<Group>("adapters", &Group::m_adapters, allowedNameList,
                       "The adapters loaded on top of the model")};
    for (KeyBinding<Group> &key : commonGroupKeys())
        keys.push_back(std::move(key));
    keys.push_back(
        bindNumber<Group>("ranks", &Group::m_ranks, 1, maxRanks, "Ranks that run in lock-step"));
    keys.push_back(
        bindNumber<Group>("layers", &Group::m_layers, 1, maxLayers, "Layers with experts"));
    keys.push_back(bindNumber<Group>("experts_per_layer", &Group::m_expertsPerLayer, 1, maxExperts,
                                     "Experts of one layer"));
    keys.push_back(bindNumber<Group>("expert_slots_per_rank", &Group::m_expertSlotsPerRank, 1,
                                     maxExperts, "Experts of one layer that fit on a rank"));
    return keys;
}

} // namespace

const std::vector<KeyBinding<DataCentre>> &dataCentreKeys()
{
    static const std::vector<KeyBinding<DataCentre>> keys = {
        bindFlag<DataCentre>("state", &DataCentre::m_takenOut, "out", "in",
                             "Whether the data centre is in service or taken out")};
    return keys;
}

const std::vector<KeyBinding<RequestKind>> &kindKeys()
{
    using Kind = RequestKind;
    static const std::vector<KeyBinding<Kind>> keys = {
        bindFlag<Kind>("repeatable", &Kind::m_repeatable, "yes", "no",
                       "Whether a request may run more than once")
            .required(),
        bindNumber<Kind>("weight", &Kind::m_weight, 1, maxWeight, "Value of one completed request"),
        bindNumber<Kind>("priority", &Kind::m_priority, 0, maxPriority,
                         "0 is the lowest, 9 the highest"),
        bindNumber<Kind>("deadline_ms", &Kind::m_deadline, 1, maxDeadlineMilliseconds,
                         "Default when the caller sets no deadline, and the maximum")};
    return keys;
}

const std::vector<KeyBinding<Workspace>> &workspaceKeys()
{
    static const std::vector<KeyBinding<Workspace>> keys = {
        bindNumber<Workspace>("share", &Workspace::m_share, 1, maxWeight,
                              "Share of each group's capacity, relative to the others")};
    return keys;
}

const std::vector<KeyBinding<EndpointGroup>> &modelGroupKeys()
{
    static const GroupKeys keys = makeModelGroupKeys();
    return keys;
}

const std::vector<KeyBinding<EndpointGroup>> &serviceKeys()
{
    static const GroupKeys keys = commonGroupKeys();
    return keys;
}

const std::vector<KeyBinding<Endpoint>> &endpointKeys()
{
    static const std::vector<KeyBinding<Endpoint>> keys = {
        bindKey<Endpoint>("group", &Endpoint::m_group, allowedName,
                          "The model group or service that it belongs to")
            .required(),
        bindKey<Endpoint>("data_centre", &Endpoint::m_dataCentre, allowedName,
                          "The data centre that it runs in")
            .required(),
        bindNumber<Endpoint>("rank", &Endpoint::m_rank, 0, maxRanks - 1,
                             "Position in the model group; 0 for a service"),
        bindFlag<Endpoint>("checks_fencing", &Endpoint::m_checksFencing, "yes", "no",
                           "Whether the endpoint itself rejects orders with an old fencing number"),
        bindFlag<Endpoint>("state", &Endpoint::m_leaving, "leaving", "in",
                           "Whether the endpoint is in service or being drained")};
    return keys;
}

} // namespace burdockhead
