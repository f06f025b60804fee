#pragma once

#include "standinsupport.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace burdockhead {

// A chat completion as a caller asked for it.
struct CompletionRequest
{
    std::string m_prompt; // The contents of all messages, one a line.
    std::uint64_t m_maxTokens = 16;
    std::uint64_t m_resumeFrom = 0; // Tokens that the caller already has.
    bool m_stream = false;

    // Reads the body of a call; none when it is malformed.
    static std::optional<CompletionRequest> read(const HttpRequest &request);
};

// The token at that position of the answer to a prompt: a pure function, so that tests can
// tell whether a resumed answer is whole.
std::string tokenAt(const std::string &prompt, std::uint64_t index);

// The hash of a prompt's leading part, as cache events name it: XXH3 of 256 bytes.
std::uint64_t prefixHashOf(const std::string &prompt);

// One request at the engine.
struct Generation
{
    CompletionRequest m_request;
    std::shared_ptr<HttpResponder> m_responder;
    std::uint64_t m_next = 0;         // Position of the token to be made.
    std::uint64_t m_prefillSteps = 0; // Steps before the first token.
    std::int64_t m_breakAfter = -1;   // Tokens after which the answer breaks; none if negative.
    bool m_begun = false;

    // Sends the next token, or the whole answer of a call without streaming once it is
    // complete. False when the caller is known to have gone.
    bool advance(std::uint64_t bootId);

    // True when all tokens have been made.
    bool complete() const { return m_next >= m_request.m_maxTokens; }

    // Ends the answer as a whole one.
    void finish(std::uint64_t bootId);

    // Ends the answer so that it is recognisably not whole.
    void breakOff();

private:
    void begin(std::uint64_t bootId);
};

} // namespace burdockhead
