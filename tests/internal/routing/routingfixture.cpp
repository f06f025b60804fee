#include "routingfixture.h"

#include <string>

namespace burdockhead {

namespace {

constexpr unsigned dataCentres = 3;

EndpointGroup makeGroup(const char *name, GroupType type, const char *model, const char *kind)
{
    EndpointGroup group;
    group.m_name = GroupName(name);
    group.m_type = type;
    group.m_model = ModelName(model);
    group.m_kinds = {KindName(kind)};
    group.m_coldLimit = 2;
    group.m_warmLimit = 4;
    group.m_queueLimit = 4;
    return group;
}

RequestAttributes makeRequest(const char *kind, const char *model, bool repeatable)
{
    RequestAttributes request;
    request.m_id = {1, 2};
    request.m_workspace = WorkspaceName("w");
    request.m_kind = KindName(kind);
    request.m_model = ModelName(model);
    request.m_repeatable = repeatable;
    request.m_deadline = startTime + std::chrono::hours(24);
    return request;
}

} // namespace

Configuration makeConfiguration(unsigned endpoints)
{
    Configuration configuration;
    for (unsigned number = 0; number < dataCentres; ++number)
        configuration.m_dataCentres.push_back({dataCentreName(number), false});
    configuration.m_kinds = {{KindName("digest")}, {KindName("payment"), false}};
    configuration.m_workspaces = {{WorkspaceName("w")}};
    configuration.m_groups = {makeGroup("model", GroupType::Model, "m", "digest"),
                              makeGroup("service", GroupType::Service, "", "payment")};
    for (unsigned number = 0; number < endpoints; ++number) {
        Endpoint endpoint;
        endpoint.m_name = endpointName(number);
        endpoint.m_group = configuration.m_groups[number % 2].m_name;
        endpoint.m_dataCentre = dataCentreName(number % dataCentres);
        configuration.m_endpoints.push_back(endpoint);
    }
    return configuration;
}

ConfigurationPointer makeVersion(std::uint64_t version, const Configuration &configuration)
{
    return std::make_shared<const VersionedConfiguration>(
        VersionedConfiguration{version, {}, configuration});
}

EndpointName endpointName(unsigned number)
{
    return EndpointName("e" + std::to_string(number));
}

DataCentreName dataCentreName(unsigned number)
{
    return DataCentreName("d" + std::to_string(number));
}

ReplicaAnnouncement makeAnnouncement(unsigned number, std::uint64_t incarnation, ReplicaState state)
{
    return {endpointName(number),
            dataCentreName(number % dataCentres),
            {"127.0.0.1", static_cast<std::uint16_t>(9000 + number)},
            {incarnation},
            state};
}

RequestAttributes modelRequest()
{
    return makeRequest("digest", "m", true);
}

RequestAttributes paymentRequest()
{
    return makeRequest("payment", "", false);
}

} // namespace burdockhead
