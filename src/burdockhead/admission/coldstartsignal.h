#pragma once

namespace burdockhead {

// A sign that the endpoint may have turned cold.
enum class ColdStartSignal {
    ConnectionReset, // The endpoint's end of a connection died.
    NewBootId,       // An answer carried another boot id, or said that it is cold.
    ProbeFailed,     // A probe got no answer. The endpoint may only be slow.
};

} // namespace burdockhead
