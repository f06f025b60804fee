#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/requestid.h>
#include <burdockhead/base/timepoint.h>

#include <cstdint>
#include <string>

namespace burdockhead {

// Attributes of a request used for routing and admission, at entries and agents.
struct RequestAttributes
{
    RequestId m_id;
    WorkspaceName m_workspace;
    KindName m_kind;
    ModelName m_model;              // Empty for a service without a model.
    AdapterName m_adapter;          // Empty for none.
    std::uint64_t m_prefixHash = 0; // Hash of the prompt's prefix; 0 for none.
    std::uint32_t m_priority = 1;   // 0 is the lowest, 9 the highest.
    bool m_repeatable = true;
    std::string m_idempotencyKey; // Value of the Idempotency-Key header; empty for none.
    TimePoint m_deadline;

    friend bool operator==(const RequestAttributes &, const RequestAttributes &) = default;
};

} // namespace burdockhead
