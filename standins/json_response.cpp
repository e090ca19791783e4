#include "standins/json_response.h"

namespace cornelswitch {

auto respond_json(exchange& call, int status, const nlohmann::json& body, header_list headers)
    -> void
{
    headers.push_back({"content-type", "application/json"});
    auto text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    call.respond({status, std::move(headers), std::nullopt}, text);
}

auto respond_error(exchange& call, int status, const std::string& text, header_list headers) -> void
{
    respond_json(call, status, {{"error", text}}, std::move(headers));
}

auto request_target::parse(const std::string& target) -> request_target
{
    auto question_mark = target.find('?');
    if (question_mark == std::string::npos) {
        return {target, ""};
    }
    return {target.substr(0, question_mark), target.substr(question_mark + 1)};
}

auto request_target::parameter(const std::string& name) const -> std::string
{
    auto wanted = "&" + name + "=";
    auto text = "&" + query;
    auto at = text.find(wanted);
    if (at == std::string::npos) {
        return "";
    }
    auto value = text.substr(at + wanted.size());
    return value.substr(0, value.find('&'));
}

auto request_target::number(const std::string& name, std::uint64_t fallback) const -> std::uint64_t
{
    return parse_decimal(parameter(name)).value_or(fallback);
}

} // namespace cornelswitch
