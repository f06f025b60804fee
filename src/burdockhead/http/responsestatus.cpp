#include <burdockhead/http/responsestatus.h>

namespace burdockhead {

namespace {

constexpr unsigned statusNoContent = 204;
constexpr unsigned statusResetContent = 205;
constexpr unsigned statusNotModified = 304;
constexpr std::string_view switchingProtocols = "101";

// Where the status is in "HTTP/1.1 200 OK".
constexpr std::size_t statusAt = 9;
constexpr std::size_t statusDigits = 3;
static_assert(statusAt + statusDigits + 1 == statusLineBytes);

} // namespace

bool hasValidStatus(std::string_view statusLine)
{
    // A line may end with its status.
    const std::string_view line = statusLine.substr(0, statusLineBytes);
    if (line.size() < statusAt + statusDigits || line[statusAt - 1] != ' ')
        return false;
    const std::string_view digits = line.substr(statusAt, statusDigits);
    const std::string_view rest = line.substr(statusAt + statusDigits);
    const bool isNumber = digits.find_first_not_of("0123456789") == std::string_view::npos;
    const bool hasEnded = rest.empty() || rest == " " || rest == "\r" || rest == "\n";
    return isNumber && hasEnded && digits.front() >= '1' && digits.front() <= '5'
           && digits != switchingProtocols;
}

bool mayHaveBody(unsigned status)
{
    return status >= firstFinalStatus && status != statusNoContent && status != statusResetContent
           && status != statusNotModified;
}

bool mustAnnounceNoBody(unsigned status)
{
    return status < firstFinalStatus || status == statusNoContent || status == statusResetContent;
}

} // namespace burdockhead
