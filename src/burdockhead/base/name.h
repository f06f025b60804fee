#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace burdockhead {

// A name that can't be mixed up with a name of another sort. Compares and hashes as its text.
template <typename Tag>
class Name
{
public:
    Name() = default;
    explicit Name(std::string text)
        : m_text(std::move(text))
    {}

    // The name as written in the configuration.
    const std::string &text() const { return m_text; }

    // True for a default-constructed name, which names nothing.
    bool empty() const { return m_text.empty(); }

    friend bool operator==(const Name &, const Name &) = default;
    friend std::strong_ordering operator<=>(const Name &left, const Name &right)
    {
        return left.m_text.compare(right.m_text) <=> 0;
    }

private:
    std::string m_text;
};

struct WorkspaceTag;
struct EndpointTag;
struct DataCentreTag;
struct KindTag;
struct GroupTag;
struct ModelTag;
struct AdapterTag;
struct ProcessTag;

// A customer of the operators; limits and fair shares are kept per workspace.
using WorkspaceName = Name<WorkspaceTag>;
// One back end: an engine rank or one replica of a plain service.
using EndpointName = Name<EndpointTag>;
// A data centre that operators can take out and bring back.
using DataCentreName = Name<DataCentreTag>;
// A kind of request, such as a digest or a fee payment.
using KindName = Name<KindTag>;
// A model group or a plain service with its replicas.
using GroupName = Name<GroupTag>;
// A model as callers name it.
using ModelName = Name<ModelTag>;
// An adapter loaded on top of a model.
using AdapterName = Name<AdapterTag>;
// One process of the system: an entry or an agent.
using ProcessName = Name<ProcessTag>;

} // namespace burdockhead

template <typename Tag>
struct std::hash<burdockhead::Name<Tag>>
{
    std::size_t operator()(const burdockhead::Name<Tag> &name) const noexcept
    {
        return std::hash<std::string>()(name.text());
    }
};
