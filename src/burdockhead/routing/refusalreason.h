#pragma once

#include <burdockhead/base/errorkind.h>
#include <burdockhead/routing/choicecontext.h>

namespace burdockhead {

// Returns the error for a request without a permitted replica. Of the reasons of all replicas it is
// the one expected to clear first.
ErrorKind refusalReason(const ChoiceContext &context);

} // namespace burdockhead
