#pragma once

#include <burdockhead/base/errorkind.h>
#include <burdockhead/base/runstate.h>

namespace burdockhead {

// How an error kind is answered to a caller.
struct ErrorAnswer
{
    ErrorKind m_kind;
    const char *m_name;
    int m_httpStatus;
    RunState m_runState;        // What the kind alone says; a handler that knows more says it.
    bool m_tryAnotherReplica;   // An entry may try the next replica at once.
    bool m_tellsWhenToComeBack; // The answer carries Retry-After.
    const char *m_text;         // One line for a person.
};

// The answer to a kind, from the one table.
const ErrorAnswer &answerFor(ErrorKind kind);

} // namespace burdockhead
