#pragma once

#include <burdockhead/declarations.h>

#include <cstdint>
#include <string>
#include <vector>

namespace burdockhead::declare {

// Prints declarations as sections of INI text, in the order in which they are handed in.
class DeploymentPrinter
{
public:
    void print(const DataCentre &dataCentre);
    void print(const Kind &kind);
    void print(const Workspace &workspace);
    void print(const ModelGroup &group);
    void print(const Service &service);
    void print(const Endpoint &endpoint);

    const std::string &text() const { return m_text; }

private:
    void start(const std::string &type, const std::string &name);
    void put(const std::string &key, const std::string &value);
    void put(const std::string &key, std::uint64_t value);
    void put(const std::string &key, const std::vector<std::string> &values);
    void putLimits(const Limits &limits);

    std::string m_text;
};

} // namespace burdockhead::declare
