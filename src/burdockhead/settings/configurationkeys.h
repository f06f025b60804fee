#pragma once

#include <burdockhead/configuration/configuration.h>
#include <burdockhead/settings/keybinding.h>

namespace burdockhead {

// Section types of a configuration file.
constexpr const char *dataCentreSection = "data_centre";
constexpr const char *kindSection = "kind";
constexpr const char *workspaceSection = "workspace";
constexpr const char *modelGroupSection = "model_group";
constexpr const char *serviceSection = "service";
constexpr const char *endpointSection = "endpoint";
constexpr const char *allowedConfigurationSections =
    "[data_centre NAME], [kind NAME], [workspace NAME], [model_group NAME], [service NAME], "
    "[endpoint NAME]";

// The key bindings of each section type.
const std::vector<KeyBinding<DataCentre>> &dataCentreKeys();
const std::vector<KeyBinding<RequestKind>> &kindKeys();
const std::vector<KeyBinding<Workspace>> &workspaceKeys();
const std::vector<KeyBinding<EndpointGroup>> &modelGroupKeys();
const std::vector<KeyBinding<EndpointGroup>> &serviceKeys();
const std::vector<KeyBinding<Endpoint>> &endpointKeys();

} // namespace burdockhead
