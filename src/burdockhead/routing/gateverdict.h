#pragma once

namespace burdockhead {

// Whether a replica may be chosen for a request, and if not, why.
enum class GateVerdict {
    Permitted,
    NotEligible, // Not configured, not running, or tried already.
    Leaving,
    DataCentreOut,
    Failing, // Its circuit breaker or its data centre's lets nothing through.
    Cold,    // The entry's share of a cold replica or of a returning data centre is used up.
    Full,
};

} // namespace burdockhead
