#include <burdockhead/operators/library/deploymentprinter.h>

namespace burdockhead::declare {

void DeploymentPrinter::print(const DataCentre &dataCentre)
{
    start("data_centre", dataCentre.m_name);
    put("state", dataCentre.m_takenOut ? "out" : "in");
}

void DeploymentPrinter::print(const Kind &kind)
{
    start("kind", kind.m_name);
    put("repeatable", kind.m_repeatable == Repeatable::Yes ? "yes" : "no");
    put("weight", kind.m_weight);
    put("priority", kind.m_priority);
    put("deadline_ms", static_cast<std::uint64_t>(kind.m_deadline.count()));
}

void DeploymentPrinter::print(const Workspace &workspace)
{
    start("workspace", workspace.m_name);
    put("share", workspace.m_share);
}

void DeploymentPrinter::print(const ModelGroup &group)
{
    start("model_group", group.m_name);
    put("model", group.m_model);
    put("adapters", group.m_adapters);
    put("kinds", group.m_kinds);
    putLimits(group.m_limits);
    put("ranks", group.m_ranks);
    put("layers", group.m_layers);
    put("experts_per_layer", group.m_expertsPerLayer);
    put("expert_slots_per_rank", group.m_expertSlotsPerRank);
}

void DeploymentPrinter::print(const Service &service)
{
    start("service", service.m_name);
    put("kinds", service.m_kinds);
    putLimits(service.m_limits);
}

void DeploymentPrinter::print(const Endpoint &endpoint)
{
    start("endpoint", endpoint.m_name);
    put("group", endpoint.m_group);
    put("data_centre", endpoint.m_dataCentre);
    put("rank", endpoint.m_rank);
    put("checks_fencing", endpoint.m_checksFencing == ChecksFencing::Yes ? "yes" : "no");
    put("state", endpoint.m_leaving ? "leaving" : "in");
}

void DeploymentPrinter::start(const std::string &type, const std::string &name)
{
    m_text += m_text.empty() ? "[" : "\n[";
    m_text += type;
    m_text += " ";
    m_text += name;
    m_text += "]\n";
}

void DeploymentPrinter::put(const std::string &key, const std::string &value)
{
    m_text += key;
    m_text += value.empty() ? " =" : " = ";
    m_text += value;
    m_text += "\n";
}

void DeploymentPrinter::put(const std::string &key, std::uint64_t value)
{
    put(key, std::to_string(value));
}

void DeploymentPrinter::put(const std::string &key, const std::vector<std::string> &values)
{
    std::string list;
    for (const std::string &value : values) {
        list += list.empty() ? "" : ", ";
        list += value;
    }
    put(key, list);
}

void DeploymentPrinter::putLimits(const Limits &limits)
{
    put("cold_limit", limits.m_cold);
    put("warm_limit", limits.m_warm);
    put("queue_limit", limits.m_queue);
}

} // namespace burdockhead::declare
