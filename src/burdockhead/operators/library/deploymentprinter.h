#pragma once

#include <burdockhead/declarations.h>

#include <cstdint>
#include <string>
#include <vector>

namespace burdockhead::declare {

// Formats declarations as sections of INI text in the order of the calls.
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
    void startSection(const std::string &type, const std::string &name);
    void writeKey(const std::string &key, const std::string &value);
    void writeKey(const std::string &key, std::uint64_t value);
    void writeKey(const std::string &key, const std::vector<std::string> &values);
    void writeLimits(const Limits &limits);

    std::string m_text;
};

} // namespace burdockhead::declare
