#include <burdockhead/codec/boundedjson.h>
#include <burdockhead/platform/platformtext.h>

#include <nlohmann/json.hpp>

#include <cctype>

namespace burdockhead {

namespace {

using Json = nlohmann::json;

constexpr std::string_view hexDigits = "0123456789abcdef";

std::string toHex(std::string_view bytes)
{
    std::string text;
    for (const char byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        text += hexDigits[value >> 4];
        text += hexDigits[value & 15];
    }
    return text;
}

std::string fromHex(std::string_view text)
{
    std::string bytes;
    for (std::size_t index = 0; index + 1 < text.size(); index += 2) {
        const std::size_t high = hexDigits.find(text[index]);
        const std::size_t low = hexDigits.find(text[index + 1]);
        bytes += static_cast<char>((high << 4 | low) & 255);
    }
    return bytes;
}

// Runs a conversion that throws on malformed JSON or missing fields.
template <typename Convert>
auto parsed(const std::string &text, Convert convert)
    -> std::optional<decltype(convert(std::declval<const Json &>()))>
{
    try {
        return convert(parseBoundedJson(text));
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

Vm readVm(const Json &json)
{
    Vm vm;
    vm.m_name = ProcessName(json.at("name").get<std::string>());
    vm.m_role = json.at("role").get<std::string>() == "entry" ? VmRole::Entry : VmRole::Endpoint;
    vm.m_dataCentre = DataCentreName(json.at("data_centre").get<std::string>());
    const auto control = SocketAddress::parse(json.at("control").get<std::string>());
    vm.m_control = control.value_or(SocketAddress{});
    vm.m_leaving = json.value("leaving", false);
    return vm;
}

} // namespace

std::string writeObjectJson(std::uint64_t version, const std::string &value)
{
    try {
        return Json{{"version", version}, {"value", value}}.dump();
    } catch (const Json::exception &) {
        return Json{{"version", version}, {"value_hex", toHex(value)}}.dump();
    }
}

std::optional<PlatformObject> readObjectJson(const std::string &text)
{
    return parsed(text, [](const Json &json) {
        PlatformObject object;
        object.m_version = json.at("version").get<std::uint64_t>();
        object.m_value = json.contains("value_hex")
                             ? fromHex(json.at("value_hex").get<std::string>())
                             : json.at("value").get<std::string>();
        return object;
    });
}

std::string writeVersionJson(std::uint64_t version)
{
    return Json{{"version", version}}.dump();
}

std::optional<std::uint64_t> readVersionJson(const std::string &text)
{
    return parsed(text, [](const Json &json) { return json.at("version").get<std::uint64_t>(); });
}

std::string writeVmsJson(const std::vector<Vm> &vms)
{
    Json list = Json::array();
    for (const Vm &vm : vms) {
        list.push_back({{"name", vm.m_name.text()},
                        {"role", vm.m_role == VmRole::Entry ? "entry" : "endpoint"},
                        {"data_centre", vm.m_dataCentre.text()},
                        {"control", vm.m_control.toString()},
                        {"leaving", vm.m_leaving}});
    }
    return Json{{"vms", list}}.dump();
}

std::optional<std::vector<Vm>> readVmsJson(const std::string &text)
{
    return parsed(text, [](const Json &json) {
        std::vector<Vm> vms;
        for (const Json &item : json.is_array() ? json : json.at("vms"))
            vms.push_back(readVm(item));
        return vms;
    });
}

std::string escapePathSegment(std::string_view text)
{
    std::string escaped;
    for (const char character : text) {
        if (std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-'
            || character == '_' || character == '.')
            escaped += character;
        else
            escaped += "%" + toHex(std::string_view(&character, 1));
    }
    return escaped;
}

std::string unescapePathSegment(std::string_view text)
{
    std::string plain;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            std::string digits(text.substr(index + 1, 2));
            for (char &digit : digits)
                digit = static_cast<char>(std::tolower(static_cast<unsigned char>(digit)));
            plain += fromHex(digits);
            index += 2;
        } else {
            plain += text[index];
        }
    }
    return plain;
}

} // namespace burdockhead
