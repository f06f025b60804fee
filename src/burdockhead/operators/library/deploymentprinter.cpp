#include <burdockhead/operators/library/deploymentprinter.h>

namespace burdockhead::declare {

void DeploymentPrinter::print(const DataCentre &dataCentre)
{
    startSection("data_centre", dataCentre.m_name);
    writeKey("state", dataCentre.m_takenOut ? "out" : "in");
}

void DeploymentPrinter::print(const Kind &kind)
{
    startSection("kind", kind.m_name);
    writeKey("repeatable", kind.m_repeatable == Repeatable::Yes ? "yes" : "no");
    writeKey("weight", kind.m_weight);
    writeKey("priority", kind.m_priority);
    writeKey("deadline_ms", static_cast<std::uint64_t>(kind.m_deadline.count()));
}

void DeploymentPrinter::print(const Workspace &workspace)
{
    startSection("workspace", workspace.m_name);
    writeKey("share", workspace.m_share);
}

void DeploymentPrinter::print(const ModelGroup &group)
{
    startSection("model_group", group.m_name);
    writeKey("model", group.m_model);
    writeKey("adapters", group.m_adapters);
    writeKey("kinds", group.m_kinds);
    writeLimits(group.m_limits);
    writeKey("ranks", group.m_ranks);
    writeKey("layers", group.m_layers);
    writeKey("experts_per_layer", group.m_expertsPerLayer);
    writeKey("expert_slots_per_rank", group.m_expertSlotsPerRank);
}

void DeploymentPrinter::print(const Service &service)
{
    startSection("service", service.m_name);
    writeKey("kinds", service.m_kinds);
    writeLimits(service.m_limits);
}

void DeploymentPrinter::print(const Endpoint &endpoint)
{
    startSection("endpoint", endpoint.m_name);
    writeKey("group", endpoint.m_group);
    writeKey("data_centre", endpoint.m_dataCentre);
    writeKey("rank", endpoint.m_rank);
    writeKey("checks_fencing", endpoint.m_checksFencing == ChecksFencing::Yes ? "yes" : "no");
    writeKey("state", endpoint.m_leaving ? "leaving" : "in");
}

void DeploymentPrinter::startSection(const std::string &type, const std::string &name)
{
    m_text += m_text.empty() ? "[" : "\n[";
    m_text += type;
    m_text += " ";
    m_text += name;
    m_text += "]\n";
}

void DeploymentPrinter::writeKey(const std::string &key, const std::string &value)
{
    m_text += key;
    m_text += value.empty() ? " =" : " = ";
    m_text += value;
    m_text += "\n";
}

void DeploymentPrinter::writeKey(const std::string &key, std::uint64_t value)
{
    writeKey(key, std::to_string(value));
}

void DeploymentPrinter::writeKey(const std::string &key, const std::vector<std::string> &values)
{
    std::string list;
    for (const std::string &value : values) {
        list += list.empty() ? "" : ", ";
        list += value;
    }
    writeKey(key, list);
}

void DeploymentPrinter::writeLimits(const Limits &limits)
{
    writeKey("cold_limit", limits.m_cold);
    writeKey("warm_limit", limits.m_warm);
    writeKey("queue_limit", limits.m_queue);
}

} // namespace burdockhead::declare
